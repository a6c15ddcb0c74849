//! Messages that wait to be sent: of all destinations, and of one.

use super::shed_order::Sheddable;
use super::{Destination, Message, QueuePosition};
use crate::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A message and a time that matters to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageTime {
    pub(crate) at: Time,
    pub(crate) message: u32,
}

/// Why and for what a message waits. Of the messages of one destination and state, if the oldest may not be
/// sent, none may; [`QueueState::KeyCooldown`] is the exception.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QueueState {
    /// No attempt of it may have been executed.
    NotExecuted,
    /// An attempt may have been executed; the message may be retried, in `zone` only if that is given.
    Retry { zone: Option<u8> },
    /// Its ordering key cools down, each key for a time of its own.
    KeyCooldown,
    /// It is behind another message of its ordering key.
    BehindInKey,
    /// Its attempt cannot be recorded at present.
    AwaitsRecording,
}

/// All messages that wait.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    /// Messages by when they may no longer be retried.
    pub(crate) retry_expiries: BTreeSet<MessageTime>,
    /// Destinations that any message waits for.
    pub(crate) destinations: BTreeSet<u32>,
}

/// What a message is put into the queue with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueEntry {
    pub(crate) state: QueueState,
    pub(crate) retry_expiry: Option<Time>,
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

/// Messages that wait for one destination, by state, in each the oldest first.
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

    /// Returns the number of messages that wait.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Whether no message waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the oldest message of each state and all whose key cools down, oldest first.
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

    /// Returns all messages whose key cools down, oldest first.
    pub(crate) fn in_key_cooldown(&self) -> Vec<u32> {
        let positions = self.by_state.get(&QueueState::KeyCooldown).into_iter().flatten();
        positions.map(|position| position.message).collect()
    }
}
