//! Summary statistics of the values of several repetitions of a measurement.

use serde_json::{json, Value};

/// Rounds to two decimal places.
pub fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// The median; of an even number of values, the upper of the two middle ones; 0 without values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// The lowest value; `f64::MAX` without values.
pub fn minimum(values: impl IntoIterator<Item = f64>) -> f64 {
    values.into_iter().fold(f64::MAX, f64::min)
}

/// The highest value; `f64::MIN` without values.
pub fn maximum(values: impl IntoIterator<Item = f64>) -> f64 {
    values.into_iter().fold(f64::MIN, f64::max)
}

/// Minimum, median and maximum as JSON, to two decimal places.
pub fn spread(values: Vec<f64>) -> Value {
    let lowest = minimum(values.iter().copied());
    let highest = maximum(values.iter().copied());
    json!({"min": round(lowest), "median": round(median(values)), "max": round(highest)})
}
