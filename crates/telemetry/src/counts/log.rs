//! What the frames of the log of counts hold: changes of counts, or an entry beside them.

use super::frame::{read_varint, write_varint};
use super::{frame, CounterKey, Counts, Field};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// First byte of a body that holds changes of counts.
pub(super) const DELTAS: u8 = 1;
/// First byte of a body that holds a [`CounterLogEntry`] as JSON.
pub(super) const ENTRY: u8 = 2;

/// What a count belongs to: the two high bits of a delta's first byte.
const DESTINATION_AND_CLASS: u8 = 0;
const ROUTE: u8 = 1;
const REPORTS: u8 = 2;
const OWNER_SHIFT: u32 = 6;
/// The low bits of a delta's first byte: the number of the field.
const FIELD_BITS: u8 = 0x3f;

/// An entry of the log beside the changes of counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterLogEntry {
    /// The classes that class numbers in the frames after it stand for.
    Classes(Vec<String>),
    /// A name of series belongs to a destination from now on.
    Name(String, u32),
    /// Series were stamped up to then, in seconds since 1970.
    Stamp(u64),
}

/// An entry as a frame of the log.
pub fn mark(entry: &CounterLogEntry) -> Vec<u8> {
    let mut body = vec![ENTRY];
    // Strings and numbers only: this cannot fail.
    body.extend(serde_json::to_vec(entry).unwrap_or_default());
    frame::encode(&body)
}

/// Whose count a delta changes. The class is still a number of the log's own [`CounterLogEntry::Classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeltaOwner {
    DestinationAndClass { destination: u32, class: usize },
    Route(u32),
    Reports,
}

/// A change of one count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Delta {
    pub owner: DeltaOwner,
    pub field: Field,
    pub increase: u64,
}

/// Changes of counts as a frame of the log.
pub(super) fn encode_deltas(changes: &BTreeMap<CounterKey, Counts>) -> Vec<u8> {
    let mut body = vec![DELTAS];
    for (&key, counts) in changes {
        match key {
            CounterKey::Cell(destination, class) => {
                write_deltas(&mut body, DESTINATION_AND_CLASS, destination, class, counts);
            }
            CounterKey::Route(endpoint) => write_deltas(&mut body, ROUTE, endpoint, 0, counts),
            CounterKey::Reports => write_deltas(&mut body, REPORTS, 0, 0, counts),
        }
    }
    frame::encode(&body)
}

/// A delta for each field: the kind of owner with the field, the owner's number, its class, the increase.
fn write_deltas(body: &mut Vec<u8>, owner: u8, number: u32, class: u8, counts: &Counts) {
    for (field, increase) in counts.nonzero() {
        body.push(owner << OWNER_SHIFT | field.number());
        write_varint(body, u64::from(number));
        write_varint(body, u64::from(class));
        write_varint(body, increase);
    }
}

/// The changes that a body holds after its first byte; none if any of them is damaged.
pub(super) fn decode_deltas(mut body: &[u8]) -> Option<Vec<Delta>> {
    let mut deltas = Vec::new();
    while let Some((&first, rest)) = body.split_first() {
        body = rest;
        let field = Field::from_number(first & FIELD_BITS)?;
        let number = u32::try_from(read_varint(&mut body)?).ok()?;
        let class = usize::try_from(read_varint(&mut body)?).ok()?;
        let increase = read_varint(&mut body)?;
        let owner = match first >> OWNER_SHIFT {
            DESTINATION_AND_CLASS => DeltaOwner::DestinationAndClass { destination: number, class },
            ROUTE => DeltaOwner::Route(number),
            _ => DeltaOwner::Reports,
        };
        deltas.push(Delta { owner, field, increase });
    }
    Some(deltas)
}
