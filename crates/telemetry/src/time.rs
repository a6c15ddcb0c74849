//! Units of time.

use linnetcart::Time;

/// Nanoseconds of a second.
pub(crate) const SECOND: Time = 1_000_000_000;

/// A duration in seconds.
pub(crate) fn as_seconds(duration: Time) -> f64 {
    duration as f64 / SECOND as f64
}
