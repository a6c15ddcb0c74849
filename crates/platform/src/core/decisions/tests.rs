//! When decisions are due, and the time limit of the initial sync.

use super::*;
use linnetcart::Settings;

const NOW: Time = 1_000 * MILLISECOND;

fn cycle() -> DecisionCycle {
    DecisionCycle::new(Dispatcher::new(Settings::default(), 1), NOW)
}

#[test]
fn decision_due_at_start_and_with_each_event() {
    let mut cycle = cycle();
    assert!(cycle.is_due(NOW), "the first decision");
    cycle.decide(NOW, vec![]);
    cycle.wake_at(NOW + 5);
    assert!(!cycle.is_due(NOW + 4) && cycle.is_due(NOW + 5));
    cycle.push(Event::ClientCancelled { message: 1 });
    assert!(cycle.has_events() && cycle.is_due(NOW + 1));
}

#[test]
fn decision_before_wake_up_keeps_wake_up() {
    let mut cycle = cycle();
    cycle.decide(NOW, vec![]);
    cycle.wake_at(NOW + 5);
    cycle.decide(NOW + 1, vec![]);
    assert_eq!(cycle.next_decision(), NOW + 5, "the library does not request it again");
    cycle.decide(NOW + 5, vec![]);
    assert_eq!(cycle.next_decision(), Time::MAX);
}

#[test]
fn decision_cycle_stopped_drops_events_and_wake_up() {
    let mut cycle = cycle();
    cycle.push(Event::ClientCancelled { message: 1 });
    cycle.stop();
    assert!(!cycle.has_events() && !cycle.is_due(Time::MAX - 1));
}

#[test]
fn initial_sync_bounded_by_its_timeout() {
    let cycle = cycle();
    let until = NOW + INITIAL_SYNC_TIMEOUT;
    assert_eq!(cycle.initial_sync_until(), until);
    assert!(!cycle.initial_sync_timed_out(until - 1) && cycle.initial_sync_timed_out(until));
}
