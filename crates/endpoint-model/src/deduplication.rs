//! What endpoints remember of messages with an idempotency key.

use linnetcart_conformance::{Idempotency, Time};
use std::collections::BTreeMap;

/// A message, as those that share a memory of it know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RememberedMessage {
    destination: u32,
    /// Where only the endpoints of one zone share a memory.
    zone: Option<u8>,
    message: u64,
}

/// An execution of a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Execution {
    pub(crate) at: Time,
    pub(crate) destination: u32,
    pub(crate) zone: u8,
    pub(crate) message: u64,
}

/// When messages with an idempotency key last took effect.
#[derive(Debug, Default)]
pub(crate) struct DeduplicationStore {
    effects: BTreeMap<RememberedMessage, Time>,
}

impl DeduplicationStore {
    /// Whether an execution takes effect; if it does, that is remembered.
    pub(crate) fn takes_effect(&mut self, execution: Execution, idempotency: Idempotency) -> bool {
        let Idempotency::Keyed { dedup_window, per_zone } = idempotency else { return true };
        let remembered = RememberedMessage {
            destination: execution.destination,
            zone: per_zone.then_some(execution.zone),
            message: execution.message,
        };
        let last_effect = self.effects.get(&remembered);
        if last_effect.is_some_and(|&at| execution.at < at + dedup_window) {
            return false;
        }
        self.effects.insert(remembered, execution.at);
        true
    }
}
