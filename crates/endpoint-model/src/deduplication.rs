//! Deduplication of messages by idempotency key at the endpoints.

use linnetcart_conformance::{Idempotency, Time};
use std::collections::BTreeMap;

/// An idempotency key together with the scope in which endpoints recognize it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScopedKey {
    destination: u32,
    /// The zone of the endpoint if only the endpoints of one zone share their keys, otherwise `None`.
    zone: Option<u8>,
    message: u64,
}

/// One execution of a message at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Execution {
    pub(crate) at: Time,
    pub(crate) destination: u32,
    pub(crate) zone: u8,
    pub(crate) message: u64,
}

/// When each message with an idempotency key last took effect.
#[derive(Debug, Default)]
pub(crate) struct DeduplicationStore {
    effects: BTreeMap<ScopedKey, Time>,
}

impl DeduplicationStore {
    /// Returns whether an execution takes effect, and stores its time if it does. A keyed message takes no
    /// effect within `dedup_window` after its last effect; a dropped duplicate does not extend the window.
    pub(crate) fn takes_effect(&mut self, execution: Execution, idempotency: Idempotency) -> bool {
        let Idempotency::Keyed { dedup_window, per_zone } = idempotency else { return true };
        let key = ScopedKey {
            destination: execution.destination,
            zone: per_zone.then_some(execution.zone),
            message: execution.message,
        };
        let last_effect = self.effects.get(&key);
        if last_effect.is_some_and(|&at| execution.at < at + dedup_window) {
            return false;
        }
        self.effects.insert(key, execution.at);
        true
    }
}
