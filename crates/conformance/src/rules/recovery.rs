//! Rule 4: couriers that knew of an outage do not overload the destination during its recovery ramp.

use super::millis;
use crate::invariants::Invariants;
use crate::records::{Arrival, CourierIncarnation, EndpointVerdict, Outage, Records};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::Time;
use std::collections::BTreeMap;

const RULE: &str = "4 a destination back from an outage is not pushed over";

/// Calls cluster by chance: a count up to this many standard deviations above its mean is not an overload.
/// For a Poisson process, the standard deviation of the count is the square root of its mean.
const TOLERATED_DEVIATIONS: f64 = 2.0;
/// An overload is a violation if at least this fraction of its calls came from couriers that knew of the
/// outage.
const INFORMED_FRACTION: Fraction = Fraction { numerator: 2, denominator: 3 };

struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    /// Returns whether `part` is at least this fraction of `all`.
    fn is_reached(&self, part: usize, all: usize) -> bool {
        part * self.denominator >= all * self.numerator
    }
}

/// The time since when each courier knew of an outage.
#[derive(Default)]
struct OutageKnowledge {
    since: BTreeMap<CourierIncarnation, Time>,
}

impl OutageKnowledge {
    /// Records that the courier has known since `at`, unless it knew earlier.
    fn learn(&mut self, courier: CourierIncarnation, at: Time) {
        let since = self.since.entry(courier).or_insert(at);
        *since = (*since).min(at);
    }

    /// Assumes that the courier has known since `at`, unless a time is already recorded.
    fn presume(&mut self, courier: CourierIncarnation, at: Time) {
        self.since.entry(courier).or_insert(at);
    }

    fn knew_when_sending(&self, call: &Arrival) -> bool {
        self.since.get(&call.sender()).is_some_and(|&since| since < call.sent())
    }
}

/// Checks each recovery ramp during which calls arrived. A ramp with a [`first_overload`] violates the rule.
pub(crate) fn check(records: &Records, invariants: &Invariants) -> InvariantResult {
    let mut result = InvariantResult::new(RULE);
    for outage in &records.outages {
        let calls = calls_to(records, outage);
        let ramp = outage.until..outage.until + outage.slow_start_duration;
        let mut during_ramp = calls.clone();
        during_ramp.retain(|call| ramp.contains(&call.at));
        during_ramp.sort_by_key(|call| call.at);
        if during_ramp.is_empty() {
            continue;
        }
        let knowledge = knowledge_of(records, invariants, outage, &calls);
        let overload = first_overload(invariants, outage, &during_ramp, &knowledge);
        result.record(CaseOutcome::satisfied_if(overload.is_none()), || describe(outage, overload.as_ref()));
    }
    result
}

/// Returns one arrival of each call to the destination, or to the route, of an outage, ordered by call
/// number.
fn calls_to<'a>(records: &'a Records, outage: &Outage) -> Vec<&'a Arrival> {
    let mut by_call: BTreeMap<u64, &Arrival> = BTreeMap::new();
    for arrival in &records.arrivals {
        if arrival.destination == outage.destination && concerns_route(outage, arrival.endpoint) {
            by_call.insert(arrival.call, arrival);
        }
    }
    by_call.into_values().collect()
}

fn concerns_route(outage: &Outage, endpoint: u32) -> bool {
    outage.route.is_none_or(|route| route == endpoint)
}

/// Returns which couriers knew of an outage: from calls that were not served, from failed connections or,
/// where failed connections are not recorded, by assumption.
fn knowledge_of(
    records: &Records,
    invariants: &Invariants,
    outage: &Outage,
    calls: &[&Arrival],
) -> OutageKnowledge {
    let mut knowledge = OutageKnowledge::default();
    for call in calls {
        let during_outage = outage.from <= call.at && call.at < outage.until;
        if call.verdict != EndpointVerdict::Served && during_outage {
            let seen = call.answered.unwrap_or(call.at);
            let received = records.received_from_endpoint(call.courier, seen);
            knowledge.learn(call.sender(), received + invariants.extra_link_delay);
        }
    }
    for failed in records.failed_connects.iter().flatten() {
        let of_this_limit = records.endpoints.get(&failed.endpoint) == Some(&outage.destination)
            && concerns_route(outage, failed.endpoint);
        if of_this_limit && failed.from < outage.until && failed.at >= outage.from {
            knowledge.learn(failed.observer(), failed.at);
        }
    }
    if outage.refused_connections && records.failed_connects.is_none() {
        presume_knowledge(&mut knowledge, records, outage);
    }
    knowledge
}

/// Assumes that every courier with a message in flight for the destination during the outage knew of it.
fn presume_knowledge(knowledge: &mut OutageKnowledge, records: &Records, outage: &Outage) {
    for submission in &records.submissions {
        let in_flight_during_outage = submission.at < outage.until && submission.completed_at() > outage.from;
        if submission.destination == outage.destination && in_flight_during_outage {
            knowledge.presume(submission.recipient(), outage.from.max(submission.at));
        }
    }
}

/// A window of the recovery ramp in which more calls arrived than [`max_calls`] permits.
struct Overload {
    begin: Time,
    calls: usize,
    max_calls: f64,
    by_informed_couriers: usize,
}

/// Returns the first window of the ramp that is overloaded and in which couriers that knew of the outage made
/// at least [`INFORMED_FRACTION`] of the calls, or `None` if there is none.
fn first_overload(
    invariants: &Invariants,
    outage: &Outage,
    during_ramp: &[&Arrival],
    knowledge: &OutageKnowledge,
) -> Option<Overload> {
    let overload_at = |position: usize| {
        let begin = during_ramp[position].at;
        let end = begin + invariants.overload_window;
        let later = &during_ramp[position..];
        let window = &later[..later.partition_point(|call| call.at < end)];
        let by_informed_couriers = window.iter().filter(|call| knowledge.knew_when_sending(call)).count();
        let overload = Overload {
            begin,
            calls: window.len(),
            max_calls: max_calls(invariants, outage, begin),
            by_informed_couriers,
        };
        let is_violation = INFORMED_FRACTION.is_reached(by_informed_couriers, window.len());
        (overload.calls as f64 > overload.max_calls && is_violation).then_some(overload)
    };
    (0..during_ramp.len()).find_map(overload_at)
}

/// Returns how many calls may arrive in the window of the ramp that starts at `begin`: the mean, two standard
/// deviations and one call (`mean + 2 * sqrt(mean) + 1`). The mean is `overload_ratio` times the calls that
/// the destination has capacity for in the window.
fn max_calls(invariants: &Invariants, outage: &Outage, begin: Time) -> f64 {
    // The capacity grows linearly during the ramp, so its mean over the window is its value at the middle.
    let middle = (begin - outage.until) as f64 + invariants.overload_window as f64 / 2.0;
    let progress = (middle / outage.slow_start_duration.max(1) as f64).min(1.0);
    let share = outage.slow_start_ratio + (1.0 - outage.slow_start_ratio) * progress;
    let mean = invariants.overload_ratio * share * outage.capacity * invariants.overload_window as f64 / 1e9;
    // A single call is never an overload.
    mean + TOLERATED_DEVIATIONS * mean.sqrt() + 1.0
}

fn describe(outage: &Outage, overload: Option<&Overload>) -> String {
    let Some(overload) = overload else { return String::new() };
    format!(
        "destination {}: {} calls in a window for {:.1}, {} by couriers that knew, {:.0} ms after the outage",
        outage.destination,
        overload.calls,
        overload.max_calls,
        overload.by_informed_couriers,
        millis(overload.begin - outage.until)
    )
}
