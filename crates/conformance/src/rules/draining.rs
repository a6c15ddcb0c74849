//! Rule 3: no new work is sent to an endpoint that is draining or gone.

use super::millis;
use crate::invariants::Invariants;
use crate::records::{CourierIncarnation, Records};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::Time;
use std::collections::BTreeMap;

const RULE: &str = "3 nothing new to a draining or gone endpoint";

/// An endpoint and a courier that was notified of its state.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NotifiedEndpoint {
    recipient: CourierIncarnation,
    endpoint: u32,
}

/// A state of an endpoint and the time since when a courier knew it. Ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KnownState {
    since: Time,
    ready: bool,
}

/// Checks each arrival at an endpoint that the sending courier knew to be draining or gone: the message must
/// have left within `drain_grace` of the notification.
pub(crate) fn check(records: &Records, invariants: &Invariants) -> InvariantResult {
    let mut result = InvariantResult::new(RULE);
    let known_states = known_states(records);
    for arrival in &records.arrivals {
        let notified = NotifiedEndpoint { recipient: arrival.sender(), endpoint: arrival.endpoint };
        let Some(states) = known_states.get(&notified) else { continue };
        let sent = arrival.sent();
        let Some(state) = states.iter().rev().find(|state| state.since <= sent) else { continue };
        if state.ready {
            continue;
        }
        let in_grace = sent <= state.since + invariants.drain_grace + invariants.timing_tolerance;
        result.record(CaseOutcome::satisfied_if(in_grace), || {
            let after = millis(sent - state.since);
            format!(
                "endpoint {}: courier {} sent {after:.0} ms after the notification",
                arrival.endpoint, arrival.courier
            )
        });
    }
    // A notification is a case too if the courier sent nothing to the endpoint after it.
    let not_ready = |states: &&Vec<KnownState>| states.iter().any(|state| !state.ready);
    result.checked += known_states.values().filter(not_ready).count() as u64;
    result
}

/// Returns which states of each endpoint each courier was notified of, sorted by time.
fn known_states(records: &Records) -> BTreeMap<NotifiedEndpoint, Vec<KnownState>> {
    let mut by_endpoint: BTreeMap<NotifiedEndpoint, Vec<KnownState>> = BTreeMap::new();
    for notification in &records.notifications {
        let notified =
            NotifiedEndpoint { recipient: notification.recipient(), endpoint: notification.endpoint };
        let state = KnownState { since: notification.at, ready: notification.ready };
        by_endpoint.entry(notified).or_default().push(state);
    }
    for states in by_endpoint.values_mut() {
        states.sort_unstable();
    }
    by_endpoint
}
