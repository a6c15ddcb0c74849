//! Queues of ordered messages, one per ordering key, and the cooldown of each key (rule 5).

use super::QueuePosition;
use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// The messages of one ordering key that are not dropped yet, in order of acceptance.
#[derive(Debug, Default)]
pub(crate) struct KeyQueue {
    messages: BTreeSet<QueuePosition>,
    /// Clock time before which no first attempt of a message of the key is sent, in nanoseconds.
    pub(crate) cooldown_until: Time,
}

impl KeyQueue {
    /// Whether the message at `position` is the first of its key; only the first may be sent.
    pub(crate) fn is_first(&self, position: QueuePosition) -> bool {
        self.messages.first() == Some(&position)
    }
}

/// Index entry of a key without messages. Entries sort by the end of the cooldown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    cooldown_until: Time,
    key: u64,
}

/// The queues of all ordering keys. Key 0 means no ordering and has no queue.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    by_key: BTreeMap<u64, KeyQueue>,
    /// Keys that were without messages at some time, so that their queues can be removed after the cooldown.
    /// An entry may be outdated; [`forget_idle`](KeyQueues::forget_idle) checks the queue itself.
    idle: BTreeSet<IdleKey>,
}

impl KeyQueues {
    /// Returns the queue of a key, or `None` when it has neither messages nor a cooldown.
    pub(crate) fn get(&self, key: u64) -> Option<&KeyQueue> {
        self.by_key.get(&key)
    }

    /// Adds a message to the queue of its key.
    pub(crate) fn join(&mut self, key: u64, position: QueuePosition) {
        if key != 0 {
            self.by_key.entry(key).or_default().messages.insert(position);
        }
    }

    /// Extends the cooldown of a key to clock time `until`; never shortens it.
    pub(crate) fn cool_down(&mut self, key: u64, until: Time) {
        if let Some(queue) = self.by_key.get_mut(&key) {
            queue.cooldown_until = queue.cooldown_until.max(until);
        }
    }

    /// Removes a message from the queue of its key; returns the message that is now the first, if any.
    pub(crate) fn leave(&mut self, key: u64, position: QueuePosition) -> Option<u32> {
        let queue = self.by_key.get_mut(&key)?;
        queue.messages.remove(&position);
        let next = queue.messages.first().map(|first| first.message);
        if next.is_none() {
            self.idle.insert(IdleKey { cooldown_until: queue.cooldown_until, key });
        }
        next
    }

    /// Removes the queues of keys that have no messages and whose cooldown is over.
    pub(crate) fn forget_idle(&mut self, now: Time) {
        while let Some(idle) = self.idle.first().copied().filter(|idle| idle.cooldown_until <= now) {
            self.idle.pop_first();
            let unused = |queue: &KeyQueue| queue.messages.is_empty() && queue.cooldown_until <= now;
            if self.by_key.get(&idle.key).is_some_and(unused) {
                self.by_key.remove(&idle.key);
            }
        }
    }
}
