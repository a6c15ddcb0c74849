//! Units of time. Clock readings and durations are in nanoseconds.

use linnetcart::Time;

pub(crate) const NANOS_PER_US: Time = 1000;
pub(crate) const NANOS_PER_MS: Time = 1_000_000;
pub(crate) const NANOS_PER_SECOND: Time = 1_000_000_000;
