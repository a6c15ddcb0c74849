//! Replay of a counter log into a store after a restart.

use super::log::{self, CounterLogEntry, Delta, DeltaOwner};
use super::saved::CellOwner;
use super::{frame, CounterStore};

/// What [`CounterStore::replay`] read from a log besides the counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplayedLog {
    /// The entries in the order of the log, except [`CounterLogEntry::Classes`].
    pub entries: Vec<CounterLogEntry>,
    /// Length in bytes of the valid frames, up to the first that is truncated or damaged.
    pub complete_bytes: usize,
}

/// A frame whose checksum is right and whose contents cannot be decoded.
#[derive(Debug)]
pub(super) struct InvalidFrame;

/// The state of a replay besides the counts.
#[derive(Default)]
struct Replay {
    /// Names of the classes by the numbers in the frames that follow, from the last `Classes` entry.
    classes: Vec<String>,
    entries: Vec<CounterLogEntry>,
}

impl CounterStore {
    /// Adds the increases in a log: its frames up to the first that is truncated or damaged.
    pub fn replay(&mut self, log: &[u8]) -> ReplayedLog {
        let mut replay = Replay::default();
        let mut complete_bytes = 0;
        while let Some(body) = frame::decode(log, complete_bytes) {
            if self.replay_frame(&mut replay, body).is_err() {
                break;
            }
            complete_bytes += frame::HEADER_BYTES + body.len();
        }
        ReplayedLog { entries: replay.entries, complete_bytes }
    }

    fn replay_frame(&mut self, replay: &mut Replay, body: &[u8]) -> Result<(), InvalidFrame> {
        match body.split_first() {
            Some((&log::DELTAS, deltas)) => self.apply_deltas(&replay.classes, deltas),
            Some((&log::ENTRY, json)) => replay.add_entry(json),
            // Frames of unknown kinds come from later versions and are skipped.
            _ => Ok(()),
        }
    }

    /// Adds the deltas in a frame. A frame that cannot be decoded adds nothing; one with a class number that
    /// the log does not define adds the deltas before that number.
    pub(super) fn apply_deltas(&mut self, classes: &[String], body: &[u8]) -> Result<(), InvalidFrame> {
        for Delta { owner, field, increase } in log::decode_deltas(body).ok_or(InvalidFrame)? {
            let owner = cell_owner(owner, classes)?;
            self.counts_mut(owner)[field] += increase;
        }
        Ok(())
    }
}

impl Replay {
    fn add_entry(&mut self, json: &[u8]) -> Result<(), InvalidFrame> {
        match serde_json::from_slice(json).map_err(|_| InvalidFrame)? {
            CounterLogEntry::Classes(classes) => self.classes = classes,
            entry => self.entries.push(entry),
        }
        Ok(())
    }
}

/// Resolves the class number of an owner; an error if the log has no such class.
fn cell_owner(owner: DeltaOwner, classes: &[String]) -> Result<CellOwner<'_>, InvalidFrame> {
    match owner {
        DeltaOwner::DestinationAndClass { destination, class } => {
            let class = classes.get(class).ok_or(InvalidFrame)?;
            Ok(CellOwner::DestinationAndClass { destination, class })
        }
        DeltaOwner::Route { endpoint } => Ok(CellOwner::Route { endpoint }),
        DeltaOwner::Reports => Ok(CellOwner::Reports),
    }
}
