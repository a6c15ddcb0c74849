//! Contents of the frames of the counter log: increases of counts (deltas) and other entries.

use super::frame::{read_varint, write_varint};
use super::{frame, CounterKey, Counts, Field};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// First byte of a body that holds deltas.
pub(super) const DELTAS: u8 = 1;
/// First byte of a body that holds a [`CounterLogEntry`] as JSON.
pub(super) const ENTRY: u8 = 2;

/// Kinds of owners of a count, encoded in the two most significant bits of a delta's first byte.
const DESTINATION_AND_CLASS: u8 = 0;
const ROUTE: u8 = 1;
const REPORTS: u8 = 2;
const OWNER_SHIFT: u32 = 6;
/// The six least significant bits of a delta's first byte, which hold the number of the field.
const FIELD_MASK: u8 = 0x3f;

/// An entry of the counter log other than deltas.
///
/// The serialized form is stored on disk: neither the names of the variants nor their contents may change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterLogEntry {
    /// The class names that the class numbers in the frames after this entry refer to.
    Classes(Vec<String>),
    /// A series name is assigned to a destination.
    Name(AssignedSeriesName),
    /// The last timestamp of a report, in seconds since 1970.
    #[serde(rename = "Stamp")]
    Timestamp(u64),
}

/// The assignment of a series name to a destination; serialized as the list `[name, destination]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u32)", into = "(String, u32)")]
pub struct AssignedSeriesName {
    /// The name by which series refer to the destination.
    pub name: String,
    /// The destination that owns the name.
    pub destination: u32,
}

impl From<(String, u32)> for AssignedSeriesName {
    fn from((name, destination): (String, u32)) -> AssignedSeriesName {
        AssignedSeriesName { name, destination }
    }
}

impl From<AssignedSeriesName> for (String, u32) {
    fn from(assigned: AssignedSeriesName) -> (String, u32) {
        (assigned.name, assigned.destination)
    }
}

/// Encodes an entry as a frame of the counter log.
pub fn encode_entry(entry: &CounterLogEntry) -> Vec<u8> {
    let mut body = vec![ENTRY];
    // An entry holds only strings and numbers, so serialization cannot fail.
    body.extend(serde_json::to_vec(entry).unwrap_or_default());
    frame::encode(&body)
}

/// The owner of the count that a delta changes. The class is an index into the log's own
/// [`CounterLogEntry::Classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeltaOwner {
    DestinationAndClass { destination: u32, class: usize },
    Route { endpoint: u32 },
    Reports,
}

/// An increase of one count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Delta {
    pub(super) owner: DeltaOwner,
    pub(super) field: Field,
    pub(super) increase: u64,
}

/// Encodes increases of counts as a frame of the counter log.
pub(super) fn encode_deltas(changes: &BTreeMap<CounterKey, Counts>) -> Vec<u8> {
    let mut body = vec![DELTAS];
    for (&key, counts) in changes {
        write_deltas(&mut body, EncodedOwner::from(key), counts);
    }
    frame::encode(&body)
}

/// The owner of a count as a delta encodes it; a number that the kind does not use is 0.
struct EncodedOwner {
    kind: u8,
    /// Number of the destination, or of the route's endpoint.
    number: u32,
    class: u8,
}

impl From<CounterKey> for EncodedOwner {
    fn from(key: CounterKey) -> EncodedOwner {
        match key {
            CounterKey::Cell { destination, class } => {
                EncodedOwner { kind: DESTINATION_AND_CLASS, number: destination, class }
            }
            CounterKey::Route { endpoint } => EncodedOwner { kind: ROUTE, number: endpoint, class: 0 },
            CounterKey::Reports => EncodedOwner { kind: REPORTS, number: 0, class: 0 },
        }
    }
}

/// Appends a delta for each count that is not zero: the byte `kind << 6 | field`, then the owner's number,
/// its class and the increase, each in LEB128.
fn write_deltas(body: &mut Vec<u8>, owner: EncodedOwner, counts: &Counts) {
    for (field, increase) in counts.nonzero() {
        body.push(owner.kind << OWNER_SHIFT | field.number());
        write_varint(body, u64::from(owner.number));
        write_varint(body, u64::from(owner.class));
        write_varint(body, increase);
    }
}

/// Decodes the deltas in a body, given without the leading [`DELTAS`] byte; `None` if any delta is invalid.
pub(super) fn decode_deltas(mut body: &[u8]) -> Option<Vec<Delta>> {
    let mut deltas = Vec::new();
    while let Some((&first, unread)) = body.split_first() {
        body = unread;
        let field = Field::from_number(first & FIELD_MASK)?;
        let number = u32::try_from(read_varint(&mut body)?).ok()?;
        let class = usize::try_from(read_varint(&mut body)?).ok()?;
        let increase = read_varint(&mut body)?;
        let owner = match first >> OWNER_SHIFT {
            DESTINATION_AND_CLASS => DeltaOwner::DestinationAndClass { destination: number, class },
            ROUTE => DeltaOwner::Route { endpoint: number },
            _ => DeltaOwner::Reports,
        };
        deltas.push(Delta { owner, field, increase });
    }
    Some(deltas)
}
