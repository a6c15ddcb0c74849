//! The deduplication cache: the ids of messages that have ended, each until the deadline of its message.
//!
//! The cache recognises messages that are submitted again; `submission` answers them.

use crate::records::{digest, CompletedId};
use linnetcart::Time;
use std::collections::{BTreeSet, HashMap};

/// Completed ids may take 1 / `CAPACITY_DIVISOR` of the journal's capacity in bytes.
const CAPACITY_DIVISOR: u64 = 20;
/// Size of the record of one completed id in the journal, in bytes.
const BYTES_PER_ID: u64 = 40;
/// Most memory that one id takes, in bytes: its entries in the map, while that doubles its capacity, and in the index.
const MEMORY_PER_ID: usize = 192;

/// Key of the expiry index: ids ordered by the time at which they expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    expires_at: Time,
    id_digest: u64,
}

impl Expiry {
    fn of(completed: &CompletedId) -> Expiry {
        Expiry { expires_at: completed.expires_at, id_digest: completed.id_digest }
    }
}

/// The ids of ended messages. Times are wall-clock times in nanoseconds.
#[derive(Debug)]
pub struct DeduplicationCache {
    capacity: usize,
    by_id: HashMap<u64, CompletedId>,
    by_expiry: BTreeSet<Expiry>,
}

impl DeduplicationCache {
    /// Creates a cache of at most `journal_capacity_bytes` / ([`CAPACITY_DIVISOR`] * [`BYTES_PER_ID`]) ids, and
    /// `memory_bytes` / [`MEMORY_PER_ID`].
    pub fn new(journal_capacity_bytes: u64, memory_bytes: usize) -> DeduplicationCache {
        let capacity = (journal_capacity_bytes / CAPACITY_DIVISOR / BYTES_PER_ID) as usize;
        DeduplicationCache {
            capacity: capacity.min(memory_bytes / MEMORY_PER_ID),
            by_id: HashMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Adds an id, which is kept until its expiry. Drops expired ids and, at the capacity, the ids that
    /// expire first.
    pub fn insert(&mut self, completed: CompletedId, wall_now: Time) {
        while let Some(&next) = self.by_expiry.first() {
            if next.expires_at > wall_now && self.by_expiry.len() < self.capacity {
                break;
            }
            self.by_expiry.remove(&next);
            self.by_id.remove(&next.id_digest);
        }
        if completed.expires_at <= wall_now || self.capacity == 0 {
            return;
        }
        if let Some(previous) = self.by_id.insert(completed.id_digest, completed) {
            self.by_expiry.remove(&Expiry::of(&previous));
        }
        self.by_expiry.insert(Expiry::of(&completed));
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Looks up an id. Returns `None` if no ended message has it.
    pub fn find(&self, id: &[u8]) -> Option<CompletedId> {
        self.by_id.get(&digest(&[id])).copied()
    }

    /// Iterates over all ids in the order of their expiry.
    pub fn iter(&self) -> impl Iterator<Item = CompletedId> + '_ {
        self.by_expiry.iter().filter_map(|expiry| self.by_id.get(&expiry.id_digest).copied())
    }
}

#[cfg(test)]
mod tests;
