//! Framing and the subset of the Kafka protocol that linnetcart speaks, on both sides, free of I/O.
//!
//! Bytes go in through [`Frames`], whole frames come out. [`server`] reads requests and writes responses,
//! [`client`] the other way round. Every count in a frame is checked against the bytes that are there
//! ([`shape`]) before anything is allocated for it, so a hostile frame costs no more than its own length.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod codes;
mod frame;
pub mod server;
pub mod shape;

pub use frame::{FrameError, Frames};

use bytes::Bytes;
use kafka_protocol::records::{
    Compression, Record as WireRecord, RecordBatchEncoder, RecordEncodeOptions, TimestampType,
};

/// First and last version of Produce that is offered.
pub const PRODUCE: (i16, i16) = (3, 12);
/// First and last version of Metadata that is offered.
pub const METADATA: (i16, i16) = (0, 12);
/// The version of Fetch that is offered. librdkafka writes record batches only to brokers that offer it; what
/// is asked for is turned down, as nothing can be read here.
pub const FETCH: (i16, i16) = (4, 4);
/// First and last version of ApiVersions that is offered.
pub const API_VERSIONS: (i16, i16) = (0, 3);
/// Tagged field of a Produce response: share of the limit that is left, as an f64 in network order.
pub const TAG_CAPACITY_LEFT: i32 = 10_000;
/// Tagged field of a Produce response: the limit in calls a second, as an f64 in network order.
pub const TAG_RATE_LIMIT: i32 = 10_001;

/// A record as far as linnetcart needs it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The key, if there is one.
    pub key: Option<Bytes>,
    /// The value, if there is one.
    pub value: Option<Bytes>,
    /// Headers in their order.
    pub headers: Vec<(String, Option<Bytes>)>,
    /// When its client made it, in milliseconds since 1970 by its clock; 0 or less where that is not said.
    pub timestamp: i64,
}

impl Record {
    /// The last header of this name.
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        self.headers.iter().rev().find(|(n, _)| n == name).and_then(|(_, v)| v.as_ref())
    }

    /// Bytes that the record keeps alive.
    pub fn size(&self) -> usize {
        let one = |b: &Option<Bytes>| b.as_ref().map_or(0, Bytes::len);
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + one(v) + 48).sum();
        one(&self.key) + one(&self.value) + headers
    }
}

/// A limit as an endpoint tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Share of the limit that is left.
    pub capacity_left: f64,
    /// The limit in calls a second; 0 for none.
    pub rate_limit: f64,
}

/// One batch (magic 2, not compressed) of these records.
pub(crate) fn batch(records: &[Record]) -> Result<Bytes, codes::Malformed> {
    let mut out = bytes::BytesMut::new();
    if records.is_empty() {
        return Ok(out.freeze());
    }
    let wire: Vec<WireRecord> = records.iter().enumerate().map(|(n, r)| to_wire(n, r)).collect();
    let how = RecordEncodeOptions { version: 2, compression: Compression::None };
    RecordBatchEncoder::encode(&mut out, &wire, &how).map_err(|_| codes::Malformed("record batch"))?;
    Ok(out.freeze())
}

fn to_wire(n: usize, r: &Record) -> WireRecord {
    WireRecord {
        transactional: false,
        control: false,
        delete_horizon: false,
        partition_leader_epoch: -1,
        producer_id: -1,
        producer_epoch: -1,
        timestamp_type: TimestampType::Creation,
        offset: n as i64,
        sequence: n as i32 - 1,
        timestamp: r.timestamp,
        key: r.key.clone(),
        value: r.value.clone(),
        headers: r
            .headers
            .iter()
            .map(|(n, v)| (kafka_protocol::protocol::StrBytes::from_string(n.clone()), v.clone()))
            .collect(),
    }
}
