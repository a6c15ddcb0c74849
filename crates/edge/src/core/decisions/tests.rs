//! When decision cycles are due: a tick after the last one if there are events, otherwise at the wake-up
//! time.

use super::*;

/// A policy that never returns an action.
#[derive(Debug)]
struct Idle;

impl DecisionPolicy for Idle {
    fn decide(&mut self, _now: Time, _events: Vec<Event>) -> Vec<Action> {
        Vec::new()
    }
}

#[test]
fn next_cycle_after_events_is_a_tick_after_the_last_and_at_the_wake_up_without_them() {
    let mut cycle = DecisionCycle::new(Box::new(Idle), 10);
    assert_eq!(cycle.next_cycle(), Time::MAX);
    cycle.push(Event::ClientCancelled { message: 1 });
    assert!(cycle.is_due(100));
    cycle.decide(100);
    assert!(!cycle.is_due(200), "there is no event");
    cycle.push(Event::ClientCancelled { message: 2 });
    assert_eq!((cycle.next_cycle(), cycle.is_due(109), cycle.is_due(110)), (110, false, true));
    cycle.decide(110);
    cycle.set_wake_up(150);
    assert_eq!((cycle.next_cycle(), cycle.is_due(149), cycle.is_due(150)), (150, false, true));
    cycle.decide(150);
    assert_eq!((cycle.next_cycle(), cycle.cycles()), (Time::MAX, 3));
}
