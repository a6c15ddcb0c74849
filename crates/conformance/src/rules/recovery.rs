//! Rule 4: a destination that is back from an outage is not overloaded during its recovery ramp, as far as couriers
//! knew of the outage.

use super::millis;
use crate::invariants::Invariants;
use crate::records::{Arrival, CourierIncarnation, EndpointVerdict, Outage, Records};
use crate::report::{CaseOutcome, InvariantResult};
use linnetcart::Time;
use std::collections::BTreeMap;

/// Chance brings calls together: a count this many standard deviations above its mean is no overload yet.
const TOLERATED_DEVIATIONS: f64 = 2.0;
/// Couriers are blamed if at least this part of the calls came from those that knew of the outage.
const KNOWING_PART: Fraction = Fraction { numerator: 2, denominator: 3 };

struct Fraction {
    numerator: usize,
    denominator: usize,
}

impl Fraction {
    /// Whether `part` is at least this fraction of `all`.
    fn is_reached(&self, part: usize, all: usize) -> bool {
        part * self.denominator >= all * self.numerator
    }
}

/// Since when each courier knew of an outage.
#[derive(Default)]
struct OutageKnowledge {
    since: BTreeMap<CourierIncarnation, Time>,
}

impl OutageKnowledge {
    /// The courier knows since this time, unless it knew before.
    fn learned(&mut self, courier: CourierIncarnation, at: Time) {
        let since = self.since.entry(courier).or_insert(at);
        *since = (*since).min(at);
    }

    /// The courier knows since this time, if nothing else is known of it.
    fn presumed(&mut self, courier: CourierIncarnation, at: Time) {
        self.since.entry(courier).or_insert(at);
    }

    fn knew_when_sending(&self, call: &Arrival) -> bool {
        self.since.get(&call.sender()).is_some_and(|&since| since < call.sent())
    }
}

/// Checks the recovery ramp of all outages in which calls came.
pub(crate) fn check(records: &Records, invariants: &Invariants) -> InvariantResult {
    let mut result = InvariantResult::new("4 a destination back from an outage is not pushed over");
    for outage in &records.outages {
        let calls = calls_to(records, outage);
        let ramp = outage.until..outage.until + outage.slow_start_duration;
        let mut during_ramp: Vec<&Arrival> = calls.iter().copied().filter(|c| ramp.contains(&c.at)).collect();
        during_ramp.sort_by_key(|call| call.at);
        if during_ramp.is_empty() {
            continue;
        }
        let knowledge = knowledge_of(records, invariants, outage, &calls);
        let overload = first_overload(invariants, outage, &during_ramp, &knowledge);
        result.record(CaseOutcome::kept_if(overload.is_none()), || describe(outage, overload.as_ref()));
    }
    result
}

/// One arrival of each call to the limit of an outage, by call.
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

/// Who knew of an outage: by calls that were not served, by connections that failed, or by what must be presumed.
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
            knowledge.learned(call.sender(), received + invariants.extra_link_delay);
        }
    }
    for failed in records.failed_connects.iter().flatten() {
        let here = records.endpoints.get(&failed.endpoint) == Some(&outage.destination)
            && concerns_route(outage, failed.endpoint);
        if here && failed.from < outage.until && failed.at >= outage.from {
            knowledge.learned(failed.witness(), failed.at);
        }
    }
    if outage.refused_connections && records.failed_connects.is_none() {
        presume_knowledge(&mut knowledge, records, outage);
    }
    knowledge
}

/// Where failed connections are not recorded, whoever held a message for the destination counts as knowing.
fn presume_knowledge(knowledge: &mut OutageKnowledge, records: &Records, outage: &Outage) {
    for submission in &records.submissions {
        let held_during_outage = submission.at < outage.until && submission.completed_at() > outage.from;
        if submission.destination == outage.destination && held_during_outage {
            knowledge.presumed(submission.holder(), outage.from.max(submission.at));
        }
    }
}

/// A window of the ramp in which more calls came than the destination bears.
struct Overload {
    begin: Time,
    calls: usize,
    bound: f64,
    by_knowing_couriers: usize,
}

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
        let by_knowing_couriers = window.iter().filter(|call| knowledge.knew_when_sending(call)).count();
        let overload = Overload {
            begin,
            calls: window.len(),
            bound: bearable_calls(invariants, outage, begin),
            by_knowing_couriers,
        };
        let blamed = KNOWING_PART.is_reached(by_knowing_couriers, window.len());
        (overload.calls as f64 > overload.bound && blamed).then_some(overload)
    };
    (0..during_ramp.len()).find_map(overload_at)
}

/// How many calls the destination bears in a window of the ramp.
fn bearable_calls(invariants: &Invariants, outage: &Outage, begin: Time) -> f64 {
    // Its capacity grows evenly during the ramp: in the mean, it is that of the middle of the window.
    let middle = (begin - outage.until) as f64 + invariants.overload_window as f64 / 2.0;
    let progress = (middle / outage.slow_start_duration.max(1) as f64).min(1.0);
    let share = outage.slow_start_ratio + (1.0 - outage.slow_start_ratio) * progress;
    let mean = invariants.overload_ratio * share * outage.capacity * invariants.overload_window as f64 / 1e9;
    // One call is always bearable.
    mean + TOLERATED_DEVIATIONS * mean.sqrt() + 1.0
}

fn describe(outage: &Outage, overload: Option<&Overload>) -> String {
    let Some(overload) = overload else { return String::new() };
    format!(
        "destination {}: {} calls in a span that bears {:.1}, {} by couriers that knew, {:.0} ms after its return",
        outage.destination,
        overload.calls,
        overload.bound,
        overload.by_knowing_couriers,
        millis(overload.begin - outage.until)
    )
}
