//! Per-key queues of ordered messages, and the cooldown of each key.

use super::QueuePosition;
use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Messages of one ordering key, oldest first.
#[derive(Debug, Default)]
pub(crate) struct KeyQueue {
    messages: BTreeSet<QueuePosition>,
    /// No message that has had no attempt is sent before this.
    pub(crate) cooldown_until: Time,
}

impl KeyQueue {
    /// Whether the message is the first of its key.
    pub(crate) fn is_first(&self, position: QueuePosition) -> bool {
        self.messages.first() == Some(&position)
    }
}

/// An idle key and the end of its cooldown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleKey {
    cooldown_until: Time,
    key: u64,
}

/// The queues of all ordering keys, and the keys without messages by the end of their cooldown. Key 0 means
/// no ordering and has no queue.
#[derive(Debug, Default)]
pub(crate) struct KeyQueues {
    by_key: BTreeMap<u64, KeyQueue>,
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

    /// Extends the cooldown of a key to `until`; an earlier end is ignored.
    pub(crate) fn cool_down(&mut self, key: u64, until: Time) {
        if let Some(queue) = self.by_key.get_mut(&key) {
            queue.cooldown_until = queue.cooldown_until.max(until);
        }
    }

    /// Removes a message from the queue of its key; returns the message that is first now.
    pub(crate) fn leave(&mut self, key: u64, position: QueuePosition) -> Option<u32> {
        let queue = self.by_key.get_mut(&key)?;
        queue.messages.remove(&position);
        let next = queue.messages.first().map(|first| first.message);
        if next.is_none() {
            self.idle.insert(IdleKey { cooldown_until: queue.cooldown_until, key });
        }
        next
    }

    /// Forgets idle keys whose cooldown is over.
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
