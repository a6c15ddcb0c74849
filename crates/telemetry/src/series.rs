//! Points of series: what a report consists of, before a receiver's format gives it a name.

use std::fmt;

/// What a series is about. Names have been made safe for paths.
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
        /// The destination's name.
        destination: String,
        /// The class's name.
        class: String,
    },
    /// A separate route of a destination.
    Route {
        /// The destination's name.
        destination: String,
        /// The route's endpoint.
        endpoint: u32,
    },
}

/// The value of a point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PointValue {
    /// A count that only grows, over restarts too.
    Counter(u64),
    /// A figure of now, or over the interval before.
    Gauge(f64),
    /// A duration over the interval before, in milliseconds.
    Milliseconds(f64),
}

impl PointValue {
    /// The value as a number.
    pub fn as_f64(self) -> f64 {
        match self {
            PointValue::Counter(count) => count as f64,
            PointValue::Gauge(value) | PointValue::Milliseconds(value) => value,
        }
    }

    /// Whether it is a count that only grows.
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
    /// What it is about.
    pub subject: SeriesSubject,
    /// The last part of the metric name.
    pub metric: &'static str,
    /// Its value.
    pub value: PointValue,
}

impl Point {
    /// A point.
    pub fn new(subject: SeriesSubject, metric: &'static str, value: PointValue) -> Point {
        Point { subject, metric, value }
    }
}
