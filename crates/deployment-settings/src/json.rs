//! Lenient accessors for JSON values. An absent value or one of another type reads as zero, false or empty.

use serde_json::Value;

/// Returns an integer; a number with a fraction is rounded toward zero, a negative one reads as zero.
pub(crate) fn integer(value: &Value) -> u64 {
    if let Some(integer) = value.as_u64() {
        return integer;
    }
    value.as_f64().map_or(0, |number| number as u64)
}

pub(crate) fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

pub(crate) fn numbers(value: &Value) -> Vec<f64> {
    list(value).iter().map(number).collect()
}

pub(crate) fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

pub(crate) fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

pub(crate) fn texts(value: &Value) -> Vec<String> {
    list(value).iter().map(text).collect()
}

pub(crate) fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
