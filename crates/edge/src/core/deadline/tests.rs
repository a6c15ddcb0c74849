//! Deadlines from stated times, clocks and arrival.

use super::*;
use proptest::prelude::*;

const S: Time = 1_000_000_000;
const CLOCKS: ClientClocks = ClientClocks { max_skew: S / 10, timestamps_are_creation_times: true };
const NOW: Time = 1000 * S;
const WALL: Time = 50_000 * S;

/// The monotonic clock shows `NOW`; the message may have arrived since `earliest_arrival`.
fn readings(earliest_arrival: Time) -> ClockReadings {
    let mut readings = ClockReadings::new(NOW);
    readings.set_earliest_arrival(earliest_arrival);
    readings
}

/// As [`readings`], with a wall clock.
fn with_wall(earliest_arrival: Time) -> ClockReadings {
    let mut readings = readings(earliest_arrival);
    readings.set_wall(WALL);
    readings
}

#[test]
fn deadline_with_creation_time_subtracts_transit_and_clock_skew() {
    let deadline = |made: Time, left: Time| {
        message_deadline(
            CLOCKS,
            with_wall(NOW),
            StatedTimes { time_left: Some(left), created_at: Some(made), deadline: None },
            20 * S,
        )
    };
    assert_eq!(
        deadline(49_996 * S, 10 * S),
        MessageDeadline { deadline: 1006 * S - S / 10, clock_ahead: false }
    );
    // Days on its way, or a clock days behind: its time is up.
    assert!(deadline(10 * S, 10 * S).deadline < NOW);
    // A clock that is ahead by more than is agreed tells nothing.
    assert_eq!(
        deadline(50_000 * S + S / 9, 10 * S),
        MessageDeadline { deadline: 1010 * S, clock_ahead: true }
    );
    assert_eq!(
        deadline(50_000 * S + S / 10, 10 * S),
        MessageDeadline { deadline: 1010 * S, clock_ahead: false }
    );
}

#[test]
fn stated_deadline_any_value_never_exceeds_the_class_deadline() {
    let until = |at: Time| {
        message_deadline(
            CLOCKS,
            with_wall(NOW),
            StatedTimes { deadline: Some(at), ..StatedTimes::default() },
            20 * S,
        )
        .deadline
    };
    assert_eq!(until(50_005 * S), 1005 * S - S / 10);
    assert_eq!(until(60_000 * S), 1020 * S);
    assert_eq!(until(Time::MAX), 1020 * S);
}

#[test]
fn deadline_without_usable_wall_times_counts_from_arrival() {
    let stated = StatedTimes { time_left: Some(10 * S), created_at: Some(49_000 * S), deadline: None };
    let other = ClientClocks { timestamps_are_creation_times: false, ..CLOCKS };
    assert_eq!(message_deadline(other, with_wall(NOW), stated, 20 * S).deadline, 1010 * S);
    assert_eq!(message_deadline(CLOCKS, readings(NOW), stated, 20 * S).deadline, 1010 * S);
    assert_eq!(
        message_deadline(CLOCKS, with_wall(998 * S), StatedTimes::default(), 20 * S).deadline,
        1018 * S
    );
}

proptest! {
    /// Whatever the way took and the clocks show within the agreed span, the time is not over-counted, and
    /// under-counted by no more than twice the span.
    #[test]
    fn deadline_any_transit_and_skew_is_never_late_and_at_most_two_skews_early(
        way in 0..30 * S, left in 0..40 * S, behind in any::<bool>(), off in 0..=S / 10, late_look in 0..S,
    ) {
        let handed = NOW - way - late_look;
        let true_wall = WALL - way - late_look;
        let made = if behind { true_wall - off } else { true_wall + off };
        let now = with_wall(NOW - late_look);
        let got = message_deadline(CLOCKS, now, StatedTimes { time_left: Some(left), created_at: Some(made), deadline: None }, 40 * S);
        prop_assert!(!got.clock_ahead);
        prop_assert!(got.deadline <= handed + left);
        prop_assert!(got.deadline + 2 * CLOCKS.max_skew >= handed + left);
    }
}
