//! What is reported: points of series, by what they are about.

use std::fmt;

/// What a series is about; names have been made safe.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The courier.
    Courier,
    /// A class.
    Class(String),
    /// A destination.
    Dest(String),
    /// A class at a destination.
    Cell(String, String),
    /// A route apart of a destination, by its endpoint's number.
    Route(String, u32),
}

/// A value: of a count that only grows, or of now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value {
    /// Of a count that continues over restarts.
    Count(u64),
    /// Of now, or over the interval before.
    Gauge(f64),
    /// A time over the interval before, in milliseconds.
    Millis(f64),
}

impl Value {
    /// As a number.
    pub fn as_f64(self) -> f64 {
        match self {
            Value::Count(n) => n as f64,
            Value::Gauge(x) | Value::Millis(x) => x,
        }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Count(n) => n.fmt(f),
            Value::Gauge(x) | Value::Millis(x) => x.fmt(f),
        }
    }
}

/// One point, at the time of its report.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// What it is about.
    pub place: Place,
    /// Which figure.
    pub field: &'static str,
    /// Its value.
    pub value: Value,
}

impl Point {
    /// A point.
    pub fn new(place: Place, field: &'static str, value: Value) -> Point {
        Point { place, field, value }
    }
}
