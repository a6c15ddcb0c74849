//! Load reports of endpoints, which travel as tagged fields of a Produce response.

use bytes::Bytes;
use std::collections::BTreeMap;

/// Tagged field of a Produce response: the unused fraction of the limit, as an f64 in network byte order.
pub const TAG_CAPACITY_LEFT: i32 = 10_000;
/// Tagged field of a Produce response: the limit in calls per second, as an f64 in network byte order.
pub const TAG_RATE_LIMIT: i32 = 10_001;

/// The limit of an endpoint as the endpoint reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Unused fraction of the limit.
    pub capacity_left: f64,
    /// The limit in calls per second; 0 if there is none.
    pub rate_limit: f64,
}

impl LoadReport {
    pub(crate) fn to_tagged_fields(self) -> BTreeMap<i32, Bytes> {
        let encode = |value: f64| Bytes::copy_from_slice(&value.to_be_bytes());
        BTreeMap::from([
            (TAG_CAPACITY_LEFT, encode(self.capacity_left)),
            (TAG_RATE_LIMIT, encode(self.rate_limit)),
        ])
    }

    /// Returns the report in these tagged fields, or `None` if a value is missing, negative or not finite.
    pub(crate) fn from_tagged_fields(fields: &BTreeMap<i32, Bytes>) -> Option<LoadReport> {
        Some(LoadReport {
            capacity_left: decode_value(fields.get(&TAG_CAPACITY_LEFT)?)?,
            rate_limit: decode_value(fields.get(&TAG_RATE_LIMIT)?)?,
        })
    }
}

fn decode_value(bytes: &Bytes) -> Option<f64> {
    let value = f64::from_be_bytes(bytes.as_ref().try_into().ok()?);
    (value.is_finite() && value >= 0.0).then_some(value)
}
