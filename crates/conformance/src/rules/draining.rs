//! Rule 3: no new work is sent to an endpoint that is draining or gone.

use super::millis;
use crate::invariants::Invariants;
use crate::records::{CourierIncarnation, Records};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::Time;
use std::collections::BTreeMap;

const RULE: &str = "3 nothing new to a draining or gone endpoint";

/// A courier and the endpoint that it was notified of.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    recipient: CourierIncarnation,
    endpoint: u32,
}

/// A state of an endpoint, and since when a courier knew it. Ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KnownState {
    since: Time,
    ready: bool,
}

/// Checks all arrivals at endpoints that the sending courier knew to be draining or gone.
pub(crate) fn check(records: &Records, invariants: &Invariants) -> InvariantResult {
    let mut result = InvariantResult::new(RULE);
    let known_states = states_by_subject(records);
    for arrival in &records.arrivals {
        let subject = Subject { recipient: arrival.sender(), endpoint: arrival.endpoint };
        let Some(states) = known_states.get(&subject) else { continue };
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
    // An endpoint of which a courier was notified is a case even if the courier sent nothing more to it.
    let not_ready = |states: &&Vec<KnownState>| states.iter().any(|state| !state.ready);
    result.checked += known_states.values().filter(not_ready).count() as u64;
    result
}

fn states_by_subject(records: &Records) -> BTreeMap<Subject, Vec<KnownState>> {
    let mut by_subject: BTreeMap<Subject, Vec<KnownState>> = BTreeMap::new();
    for notification in &records.notifications {
        let subject = Subject { recipient: notification.recipient(), endpoint: notification.endpoint };
        let state = KnownState { since: notification.at, ready: notification.ready };
        by_subject.entry(subject).or_default().push(state);
    }
    for states in by_subject.values_mut() {
        states.sort_unstable();
    }
    by_subject
}
