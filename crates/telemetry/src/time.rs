//! Units of time.

use linnetcart::Time;

/// Nanoseconds in a second.
pub(crate) const SECOND: Time = 1_000_000_000;

/// Converts a duration in nanoseconds to seconds.
pub(crate) fn as_seconds(duration: Time) -> f64 {
    duration as f64 / SECOND as f64
}
