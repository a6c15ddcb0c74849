//! Points of time series: the contents of a report, independent of the format of a receiver.

use std::fmt;

/// What a series measures: the courier or a part of its traffic. Names are safe for paths, see
/// [`crate::names::sanitize`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SeriesSubject {
    /// The courier.
    Courier,
    /// A class.
    Class(String),
    /// A destination.
    Destination(String),
    /// A class at a destination.
    DestinationAndClass {
        /// Name of the destination.
        destination: String,
        /// Name of the class.
        class: String,
    },
    /// An independent route of a destination.
    Route {
        /// Name of the destination.
        destination: String,
        /// Number of the route's endpoint.
        endpoint: u32,
    },
}

/// The value of a point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PointValue {
    /// A monotonic count, across restarts as well.
    Counter(u64),
    /// A current value, or a rate or fraction over the last report interval.
    Gauge(f64),
    /// A percentile of latencies in the last report interval, in milliseconds.
    Milliseconds(f64),
}

impl PointValue {
    /// Returns the value as a floating-point number.
    pub fn as_f64(self) -> f64 {
        match self {
            PointValue::Counter(count) => count as f64,
            PointValue::Gauge(value) | PointValue::Milliseconds(value) => value,
        }
    }

    /// Whether the value is a counter.
    pub fn is_counter(self) -> bool {
        matches!(self, PointValue::Counter(_))
    }
}

impl fmt::Display for PointValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PointValue::Counter(count) => count.fmt(f),
            PointValue::Gauge(value) | PointValue::Milliseconds(value) => value.fmt(f),
        }
    }
}

/// One point of a series, at the time of its report.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// Subject of the series.
    pub subject: SeriesSubject,
    /// The measured quantity; in paths the last part of the series name.
    pub metric: &'static str,
    /// The value.
    pub value: PointValue,
}

impl Point {
    /// Creates a point.
    pub fn new(subject: SeriesSubject, metric: &'static str, value: PointValue) -> Point {
        Point { subject, metric, value }
    }
}
