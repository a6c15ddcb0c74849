//! Deadlines by the times that clients state, the clock readings and the time of arrival.

use super::*;
use proptest::prelude::*;

const S: Time = 1_000_000_000;
const CLOCKS: ClientClocks = ClientClocks { max_skew: S / 10, timestamps_are_creation_times: true };
const NOW: Time = 1000 * S;
const WALL: Time = 50_000 * S;

/// Clock readings at `NOW` without a wall clock. The message arrived at `earliest_arrival` or later.
fn readings(earliest_arrival: Time) -> ClockReadings {
    let mut readings = ClockReadings::new(NOW);
    readings.set_earliest_arrival(earliest_arrival);
    readings
}

/// As [`readings`], with the wall clock at `WALL`.
fn with_wall(earliest_arrival: Time) -> ClockReadings {
    let mut readings = readings(earliest_arrival);
    readings.set_wall(WALL);
    readings
}

#[test]
fn deadline_with_creation_time_subtracts_transit_and_clock_skew() {
    let deadline = |created_at: Time, time_left: Time| {
        let stated = StatedTimes { time_left: Some(time_left), created_at: Some(created_at), deadline: None };
        message_deadline(CLOCKS, with_wall(NOW), stated, 20 * S)
    };
    assert_eq!(
        deadline(49_996 * S, 10 * S),
        MessageDeadline { deadline: 1006 * S - S / 10, clock_ahead: false }
    );
    // The message was in transit for days, or the clock is days behind: it has expired.
    assert!(deadline(10 * S, 10 * S).deadline < NOW);
    // The creation time is ignored if the clock is ahead by more than the permitted skew.
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
    let deadline = |stated_deadline: Time| {
        let stated = StatedTimes { deadline: Some(stated_deadline), ..StatedTimes::default() };
        message_deadline(CLOCKS, with_wall(NOW), stated, 20 * S).deadline
    };
    assert_eq!(deadline(50_005 * S), 1005 * S - S / 10);
    assert_eq!(deadline(60_000 * S), 1020 * S);
    assert_eq!(deadline(Time::MAX), 1020 * S);
}

#[test]
fn deadline_without_usable_wall_times_counts_from_arrival() {
    let stated = StatedTimes { time_left: Some(10 * S), created_at: Some(49_000 * S), deadline: None };
    let without_creation_times = ClientClocks { timestamps_are_creation_times: false, ..CLOCKS };
    assert_eq!(message_deadline(without_creation_times, with_wall(NOW), stated, 20 * S).deadline, 1010 * S);
    assert_eq!(message_deadline(CLOCKS, readings(NOW), stated, 20 * S).deadline, 1010 * S);
    assert_eq!(
        message_deadline(CLOCKS, with_wall(998 * S), StatedTimes::default(), 20 * S).deadline,
        1018 * S
    );
}

proptest! {
    /// For any time in transit and any clocks within the skew, the deadline is never late, and early by at
    /// most twice the skew.
    #[test]
    fn deadline_any_transit_and_skew_is_never_late_and_at_most_two_skews_early(
        transit in 0..30 * S,
        time_left in 0..40 * S,
        is_behind in any::<bool>(),
        skew in 0..=S / 10,
        read_delay in 0..S,
    ) {
        let submitted_at = NOW - transit - read_delay;
        let true_wall = WALL - transit - read_delay;
        let created_at = if is_behind { true_wall - skew } else { true_wall + skew };
        let stated =
            StatedTimes { time_left: Some(time_left), created_at: Some(created_at), deadline: None };
        let result = message_deadline(CLOCKS, with_wall(NOW - read_delay), stated, 40 * S);
        prop_assert!(!result.clock_ahead);
        prop_assert!(result.deadline <= submitted_at + time_left);
        prop_assert!(result.deadline + 2 * CLOCKS.max_skew >= submitted_at + time_left);
    }
}
