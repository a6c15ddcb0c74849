//! Spans of a scenario document as spans of the clock.

use linnetcart_conformance::Time;

/// Seconds as nanoseconds.
pub fn seconds(seconds: f64) -> Time {
    (seconds * 1e9) as Time
}

/// Milliseconds as nanoseconds.
pub fn millis(millis: f64) -> Time {
    (millis * 1e6) as Time
}
