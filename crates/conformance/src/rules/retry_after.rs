//! Rule 6: after a rejection with a Retry-After, a courier makes no call to the same limit until the
//! Retry-After has expired.

use super::millis;
use crate::invariants::Invariants;
use crate::records::{Arrival, CourierIncarnation, EndpointVerdict, Records};
use crate::report::{CaseOutcome, InvariantResult};
use std::collections::BTreeMap;

const RULE: &str = "6 told waits are heeded";

/// The scope of a Retry-After: the calls of one courier to one destination or, if the endpoint is an
/// independent route, to that route.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LimitedSender {
    sender: CourierIncarnation,
    destination: u32,
    route: Option<u32>,
}

/// Checks each rejection whose Retry-After had not expired when it reached the courier.
pub(crate) fn check(records: &Records, invariants: &Invariants) -> InvariantResult {
    let mut result = InvariantResult::new(RULE);
    let mut by_limit: BTreeMap<LimitedSender, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &records.arrivals {
        by_limit.entry(limited_sender(arrival)).or_default().push(arrival);
    }
    for arrivals in by_limit.values_mut() {
        arrivals.sort_by_key(|arrival| arrival.at);
        for position in 0..arrivals.len() {
            let (past, later) = arrivals.split_at(position + 1);
            check_rejection(&mut result, records, invariants, past[position], later);
        }
    }
    result
}

fn limited_sender(arrival: &Arrival) -> LimitedSender {
    LimitedSender {
        sender: arrival.sender(),
        destination: arrival.destination,
        route: arrival.independent_route.then_some(arrival.endpoint),
    }
}

/// Checks that the sender made no further call to the limit before the Retry-After of `rejected` expired.
fn check_rejection(
    result: &mut InvariantResult,
    records: &Records,
    invariants: &Invariants,
    rejected: &Arrival,
    later: &[&Arrival],
) {
    let EndpointVerdict::Rejected { retry_after } = rejected.verdict else { return };
    let Some(answered) = rejected.answered else { return };
    let tolerance = invariants.timing_tolerance;
    let received = records.received_from_endpoint(rejected.courier, answered) + invariants.extra_link_delay;
    let until = answered + retry_after;
    if received + 2 * tolerance >= until {
        return;
    }
    let is_early = |other: &&&Arrival| {
        let sent = other.sent();
        sent + tolerance < until && sent > received + tolerance && other.call != rejected.call
    };
    let early = later.iter().find(is_early);
    result.record(CaseOutcome::satisfied_if(early.is_none()), || {
        let sent = early.map_or(0, |other| other.sent());
        format!(
            "destination {}: courier {} was given a Retry-After of {:.0} ms and sent again after {:.0} ms",
            rejected.destination,
            rejected.courier,
            millis(retry_after),
            millis(sent.saturating_sub(answered))
        )
    });
}
