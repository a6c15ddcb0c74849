use super::*;
use crate::counts::{encode_entry, AssignedSeriesName, CounterLogEntry};
use crate::{ListedEndpoint, NamedClass, RestoredState};
use linnetcart::{Class, Idempotency};
use linnetcart_delivery_events::RejectionReason;
use std::collections::BTreeMap;

const SECOND: Time = 1_000_000_000;
const DESTINATION: u32 = 2;
const ENDPOINT: u32 = 20;
const CLASS: u8 = 0;
const CELL: CounterKey = CounterKey::Cell { destination: DESTINATION, class: CLASS };
const ROUTE: CounterKey = CounterKey::Route { endpoint: ENDPOINT };

/// One class with a priority weight of 2 and a latency objective of a second, and one destination with one
/// independent route.
fn recording() -> Recording {
    let class = Class {
        latency_objective: SECOND,
        deadline: 8 * SECOND,
        priority_weight: 2.0,
        late_weight: 0.5,
        idempotency: Idempotency::Idempotent,
        ordered: false,
    };
    let courier = CourierInfo {
        deployment: "test".into(),
        courier_index: 1,
        classes: vec![NamedClass { name: "order".into(), class }],
        weight_halves: false,
        seed: 1,
    };
    let restored = RestoredCounts::read(&RestoredState::default(), vec!["order".into()], 100);
    let mut recording = Recording::new(&courier, restored, 0);
    let route = ListedEndpoint { endpoint: ENDPOINT, destination: DESTINATION, independent_route: true };
    recording.limits.set_endpoints([route].into_iter());
    recording
}

/// Returns the counts of a key after a single event.
fn counted(event: &DeliveryEvent, key: CounterKey) -> Vec<(Field, u64)> {
    let mut recording = recording();
    recording.record(event, &mut Vec::new());
    recording.counters.cells().get(&key).map_or(Vec::new(), |counts| counts.nonzero().collect())
}

fn attempt_finished(outcome: AttemptOutcome) -> DeliveryEvent {
    DeliveryEvent::AttemptFinished {
        message: 1,
        attempt: 0,
        class: CLASS,
        destination: DESTINATION,
        endpoint: ENDPOINT,
        outcome,
        elapsed: SECOND / 10,
        load: None,
    }
}

fn completed(answer: FinalAnswer, elapsed: Time) -> DeliveryEvent {
    DeliveryEvent::Completed { message: 1, class: CLASS, destination: DESTINATION, answer, elapsed }
}

#[test]
fn message_accepted_or_rejected_counts_its_weight_as_offered() {
    let accepted = DeliveryEvent::Accepted {
        message: 1,
        name: "x".into(),
        class: CLASS,
        destination: DESTINATION,
        deadline: SECOND,
    };
    assert_eq!(counted(&accepted, CELL), [(Field::Accepted, 1), (Field::WeightOffered, 2000)]);
    let rejected = DeliveryEvent::Rejected {
        class: CLASS,
        destination: DESTINATION,
        reason: RejectionReason::Overloaded,
    };
    let wanted = [(Field::RejectedBeforeAccept, 1), (Field::WeightOffered, 2000), (Field::WeightLost, 2000)];
    assert_eq!(counted(&rejected, CELL), wanted);
}

#[test]
fn message_served_counts_weight_by_its_latency_objective() {
    let within = counted(&completed(FinalAnswer::Served, SECOND), CELL);
    assert_eq!(within, [(Field::WithinObjective, 1), (Field::WeightWithinObjective, 2000)]);
    let late = counted(&completed(FinalAnswer::Served, 2 * SECOND), CELL);
    assert_eq!(late[0], (Field::Late, 1));
    let weights: u64 = late[1..].iter().map(|(_, weight)| weight).sum();
    assert_eq!(weights, 2000, "late + lost = full weight: {late:?}");
}

#[test]
fn message_not_served_counts_its_weight_as_lost() {
    let lost = (Field::WeightLost, 2000);
    let rejected = counted(&completed(FinalAnswer::Rejected { retry_after: 0 }, SECOND), CELL);
    assert_eq!(rejected, [(Field::RejectedAfterAccept, 1), lost]);
    assert_eq!(counted(&completed(FinalAnswer::Failed, SECOND), CELL), [(Field::Failed, 1), lost]);
    let cancelled = DeliveryEvent::ClientCancelled { message: 1, class: CLASS, destination: DESTINATION };
    assert_eq!(counted(&cancelled, CELL), [(Field::ClientCancelled, 1), lost]);
}

#[test]
fn attempt_started_counts_for_cell_and_route() {
    let started = DeliveryEvent::AttemptStarted {
        message: 1,
        attempt: 1,
        class: CLASS,
        destination: DESTINATION,
        endpoint: ENDPOINT,
        hedge: true,
    };
    for key in [CELL, ROUTE] {
        assert_eq!(counted(&started, key), [(Field::Attempts, 1), (Field::Hedges, 1)]);
    }
}

#[test]
fn attempt_finished_counts_its_outcome_for_cell_and_route() {
    let outcomes = [
        (AttemptOutcome::Served, Field::AttemptsServed),
        (AttemptOutcome::Error, Field::AttemptErrors),
        (AttemptOutcome::Rejected { retry_after: 0 }, Field::AttemptsRejected),
        (AttemptOutcome::TimedOut, Field::AttemptTimeouts),
        (AttemptOutcome::NoConnection, Field::AttemptsNotSent),
        (AttemptOutcome::Reset, Field::ConnectionResets),
        (AttemptOutcome::Cancelled, Field::AttemptsCancelled),
    ];
    for (outcome, field) in outcomes {
        for key in [CELL, ROUTE] {
            assert_eq!(counted(&attempt_finished(outcome), key), [(field, 1)], "{outcome:?}");
        }
    }
    let with_retry_after = attempt_finished(AttemptOutcome::Rejected { retry_after: SECOND });
    let wanted = [(Field::AttemptsRejected, 1), (Field::RetryAfterReceived, 1)];
    assert_eq!(counted(&with_retry_after, CELL), wanted);
}

#[test]
fn limit_changed_notifies_under_the_name_of_the_destination() {
    let mut recording = recording();
    recording.names.configure(&BTreeMap::from([(DESTINATION, "Bank Łódź".to_owned())]));
    let change = LimitChange {
        destination: DESTINATION,
        endpoint: ENDPOINT,
        state: LimitState::Ejected,
        evidence: None,
    };
    let mut outputs = Vec::new();
    recording.record(&DeliveryEvent::LimitChanged(change), &mut outputs);
    let assigned = AssignedSeriesName { name: "Bank_Lodz".into(), destination: DESTINATION };
    let name = CounterLogEntry::Name(assigned);
    assert_eq!(outputs, [Output::Append(encode_entry(&name))], "the name is logged before it is used");
    let notifications = recording.notifications.take();
    assert_eq!(notifications[0].plugin_instance, "dest-Bank_Lodz-route-20");
}

#[test]
fn answer_recorded_is_logged_in_the_same_iteration() {
    let mut recording = recording();
    let mut outputs = Vec::new();
    recording.record(&attempt_finished(AttemptOutcome::Served), &mut outputs);
    recording.counters.log_if_due(1, &mut outputs);
    assert_eq!(outputs, [], "no answer to a client depends on an attempt's count");
    recording.record(&completed(FinalAnswer::Served, SECOND), &mut outputs);
    recording.counters.log_if_due(1, &mut outputs);
    assert!(matches!(&outputs[..], [Output::Append(_)]), "{outputs:?}");
}
