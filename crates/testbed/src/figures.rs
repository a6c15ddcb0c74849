//! Figures of several turns as one.

use serde_json::{json, Value};

/// To two places.
pub fn round(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

/// The median, 0 of none.
pub fn median(mut v: Vec<f64>) -> f64 {
    v.sort_by(f64::total_cmp);
    v.get(v.len() / 2).copied().unwrap_or(0.0)
}

/// Least, median and most, to two places.
pub fn spread(v: Vec<f64>) -> Value {
    let (least, most) =
        (v.iter().copied().fold(f64::MAX, f64::min), v.iter().copied().fold(f64::MIN, f64::max));
    json!({"min": round(least), "median": round(median(v)), "max": round(most)})
}
