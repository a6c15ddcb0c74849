//! Wait queues: the messages that wait to be sent to each destination, and indexes over all of them.

use super::shed_order::Sheddable;
use super::{Destination, Message, QueuePosition};
use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Index entry of a message by a clock time: its deadline, or the time from which it may no longer be
/// retried. Entries sort by the time, earliest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageTime {
    /// Clock time in nanoseconds.
    pub(crate) at: Time,
    pub(crate) message: u32,
}

/// What a message waits for. A decision cycle checks only the oldest message of each destination and state:
/// if the oldest may not be sent, none of the others may. The exception is [`QueueState::KeyCooldown`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QueueState {
    /// A first attempt or a retry, where the message was certainly not executed before: it may be sent to any
    /// endpoint.
    NotExecuted,
    /// A retry of a message that may have been executed: it may be sent to any endpoint (`None`), or only to
    /// endpoints in `zone`.
    Retry { zone: Option<u8> },
    /// The message's ordering key is in cooldown. Keys end their cooldowns at different times.
    KeyCooldown,
    /// An earlier message of the same ordering key is not finished yet.
    BehindInKey,
    /// The message's next attempt needs a record, and attempts cannot be recorded at present.
    AwaitsRecording,
}

/// Indexes over the wait queues of all destinations.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    /// Waiting messages by the clock time from which they may no longer be retried.
    pub(crate) retry_expiries: BTreeSet<MessageTime>,
    /// Destinations whose wait queue is not empty.
    pub(crate) destinations: BTreeSet<u32>,
}

/// How a message enters the wait queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) state: QueueState,
    /// Clock time in nanoseconds from which the message may no longer be retried; `None` for no such time.
    pub(crate) retry_expiry: Option<Time>,
    /// Whether load shedding may reject the message.
    pub(crate) sheddable: bool,
}

impl WaitQueue {
    /// Adds a message to the queue of its destination.
    pub(crate) fn join(&mut self, message: &mut Message, destination: &mut Destination, entry: QueueEntry) {
        if let Some(at) = entry.retry_expiry {
            self.retry_expiries.insert(MessageTime { at, message: message.id });
        }
        self.destinations.insert(message.destination);
        message.queue_state = Some(entry.state);
        message.retry_expiry = entry.retry_expiry;
        destination.queue.insert(message, entry);
    }

    /// Removes a message from the queue of its destination, if it waits there.
    pub(crate) fn leave(&mut self, message: &mut Message, destination: Option<&mut Destination>) {
        if let Some(at) = message.retry_expiry.take() {
            self.retry_expiries.remove(&MessageTime { at, message: message.id });
        }
        let Some(state) = message.queue_state.take() else { return };
        let Some(destination) = destination else { return };
        destination.queue.remove(message, state);
        if destination.queue.is_empty() {
            self.destinations.remove(&message.destination);
        }
    }
}

/// The messages that wait for one destination: per queue state, in order of acceptance.
#[derive(Debug, Default)]
pub(crate) struct DestinationQueue {
    by_state: BTreeMap<QueueState, BTreeSet<QueuePosition>>,
    count: usize,
    /// Messages that may be shed, by class.
    pub(super) sheddable: BTreeMap<usize, Sheddable>,
}

impl DestinationQueue {
    fn insert(&mut self, message: &Message, entry: QueueEntry) {
        let position = message.position();
        let added = self.by_state.entry(entry.state).or_default().insert(position);
        self.count += usize::from(added);
        if entry.sheddable {
            self.sheddable.entry(message.class).or_default().insert(message.accepted_at, position);
        }
    }

    fn remove(&mut self, message: &Message, state: QueueState) {
        let position = message.position();
        if let Some(positions) = self.by_state.get_mut(&state) {
            let removed = positions.remove(&position);
            self.count -= usize::from(removed);
            if positions.is_empty() {
                self.by_state.remove(&state);
            }
        }
        if let Some(class) = self.sheddable.get_mut(&message.class) {
            class.remove(message.accepted_at, position);
            if class.is_empty() {
                self.sheddable.remove(&message.class);
            }
        }
    }

    /// Returns the number of waiting messages.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Whether no message waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the messages that a decision cycle has to check, oldest first: the oldest of each state that
    /// may be sent, and all in [`QueueState::KeyCooldown`].
    pub(crate) fn heads(&self) -> Vec<u32> {
        let mut heads: Vec<QueuePosition> = Vec::new();
        for (state, positions) in &self.by_state {
            match state {
                QueueState::BehindInKey | QueueState::AwaitsRecording => {}
                QueueState::KeyCooldown => heads.extend(positions),
                QueueState::NotExecuted | QueueState::Retry { .. } => heads.extend(positions.first()),
            }
        }
        heads.sort_unstable();
        heads.into_iter().map(|position| position.message).collect()
    }

    /// Returns all messages in [`QueueState::KeyCooldown`], oldest first.
    pub(crate) fn in_key_cooldown(&self) -> Vec<u32> {
        let positions = self.by_state.get(&QueueState::KeyCooldown).into_iter().flatten();
        positions.map(|position| position.message).collect()
    }
}
