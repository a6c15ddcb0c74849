//! The ids of messages that have ended: nothing is sent under them again, and a repeated submission is answered
//! according to the end.
//!
//! Ids are kept beyond the message's deadline. The ids of accepted messages survive a restart; those of requests that were refused do not, and do not
//! displace the others.

use super::deduplication::DeduplicationCache;
use crate::records::{digest, CompletedId, IdEnd};
use linnetcart::Time;

/// Stands for the content of a request that was refused: its id is refused whatever the content is.
const NO_CONTENT: u64 = 0;

/// The ids of ended messages.
#[derive(Debug)]
pub struct EndedIds {
    /// Ids of messages that were accepted.
    accepted: DeduplicationCache,
    /// Ids of requests that were answered otherwise.
    refused: DeduplicationCache,
    /// How long an id is kept after its message's deadline, or after the refusal of its request; in nanoseconds.
    retention: Time,
}

impl EndedIds {
    /// Creates an empty registry whose size follows from the journal's capacity and `memory_bytes`. Ids are kept for `retention`
    /// nanoseconds after the message's deadline, because it may be submitted again later than that, or after the
    /// refusal.
    pub fn new(journal_capacity_bytes: u64, memory_bytes: usize, retention: Time) -> EndedIds {
        EndedIds {
            accepted: DeduplicationCache::new(journal_capacity_bytes, memory_bytes / 2),
            refused: DeduplicationCache::new(journal_capacity_bytes, memory_bytes / 2),
            retention,
        }
    }

    /// Adds the id of a message that was accepted and has ended. It expires after the retention, counted from
    /// [`CompletedId::expires_at`].
    pub fn insert_accepted(&mut self, ended: CompletedId, wall_now: Time) {
        let expires_at = ended.expires_at + self.retention;
        self.accepted.insert(CompletedId { expires_at, ..ended }, wall_now);
    }

    /// Adds the id of a request that was refused.
    pub fn insert_refused(&mut self, id: &[u8], end: IdEnd, wall_now: Time) {
        let id_digest = digest(&[id]);
        let expires_at = wall_now + self.retention;
        let ended = CompletedId { id_digest, content_digest: NO_CONTENT, expires_at, end };
        self.refused.insert(ended, wall_now);
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.accepted.len() + self.refused.len()
    }

    /// Looks up an id. Returns `None` if no ended message has it.
    pub fn find(&self, id: &[u8]) -> Option<CompletedId> {
        self.accepted.find(id).or_else(|| self.refused.find(id))
    }

    /// Iterates over the ids of accepted messages, which the journal keeps, as they were added.
    pub fn iter_accepted(&self) -> impl Iterator<Item = CompletedId> + '_ {
        let as_added =
            |ended: CompletedId| CompletedId { expires_at: ended.expires_at - self.retention, ..ended };
        self.accepted.iter().map(as_added)
    }
}

#[cfg(test)]
mod tests;
