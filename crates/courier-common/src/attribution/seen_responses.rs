//! Responses that were seen before on any connection.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of different responses that are remembered.
const MAX_RESPONSES: usize = 1024;
/// Maximum number of pairs of endpoint and status that are remembered. Beyond it, all are forgotten.
const MAX_STATUSES: usize = 8192;

/// The last different responses of all connections, by hash.
///
/// Some peers give the same response to many requests. On a connection that has carried such a response, the
/// next one could not be told from a copy, so the connection is not worth keeping.
#[derive(Debug, Default)]
pub struct SeenResponses {
    hashes: BTreeSet<u64>,
    by_age: VecDeque<u64>,
    statuses: BTreeSet<(u32, u16)>,
}

impl SeenResponses {
    /// Adds a response. Returns whether the responses of this endpoint with this status differ, as far as is
    /// known: an earlier one was seen, and none equal to this one.
    pub fn insert(&mut self, endpoint: u32, status: u16, response: &[u8]) -> bool {
        let is_new = self.insert_hash(response);
        if self.statuses.len() >= MAX_STATUSES {
            self.statuses.clear();
        }
        let is_first = self.statuses.insert((endpoint, status));
        is_new && !is_first
    }

    /// Returns whether no equal response is remembered.
    fn insert_hash(&mut self, response: &[u8]) -> bool {
        let mut hasher = DefaultHasher::new();
        response.hash(&mut hasher);
        let hash = hasher.finish();
        if !self.hashes.insert(hash) {
            return false;
        }
        self.by_age.push_back(hash);
        if self.by_age.len() > MAX_RESPONSES {
            if let Some(oldest) = self.by_age.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
        true
    }
}
