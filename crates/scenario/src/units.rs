//! Conversion of the durations in scenario documents to [`Time`], which is in nanoseconds.

use linnetcart_conformance::Time;

/// Converts seconds to nanoseconds.
pub fn seconds(seconds: f64) -> Time {
    (seconds * 1e9) as Time
}

/// Converts milliseconds to nanoseconds.
pub fn millis(millis: f64) -> Time {
    (millis * 1e6) as Time
}
