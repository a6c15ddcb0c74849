//! When a message's time is up, from what its client said of it and when it came. Free of clocks: both readings go in.
//!
//! The time a message has left is counted from when it was handed in, and its way here may have been long. A record
//! carries the time at which it was made, and may carry the time at which it is up; both are of the client's clock,
//! which may differ from this one by a stated span, either way. The message is taken to be as old as that allows, so
//! whatever the clocks show within the span, its answer is in time. Without such a time it is counted from when it
//! may have come at the earliest.

use linnetcart::Time;

/// How clocks of clients are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Clocks {
    /// Wall clocks differ from this one by at most so much, either way.
    pub(crate) apart: Time,
    /// The time of a record is the time at which it was handed in.
    pub(crate) record_time: bool,
}

/// This program's clocks when a message is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Now {
    /// The clock that never goes back.
    pub(crate) clock: Time,
    /// The wall clock, where there is one.
    pub(crate) wall: Option<Time>,
    /// The message came then at the earliest, by `clock`.
    pub(crate) since: Time,
}

/// What a message says of its time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Said {
    /// How long it had left when it was handed in, if it says so.
    pub(crate) left: Option<Time>,
    /// When its time is up, by its client's wall clock.
    pub(crate) until: Option<Time>,
    /// When it was made, by its client's wall clock.
    pub(crate) made: Option<Time>,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Read {
    /// When its time is up, by this program's clock.
    pub(crate) due: Time,
    /// Its client's clock is ahead by more than clocks may differ; what it said of that clock is not used.
    pub(crate) ahead: bool,
}

/// Reads a message's time. It has at most `most` in all.
pub(crate) fn read(clocks: Clocks, now: Now, said: Said, most: Time) -> Read {
    let left = said.left.unwrap_or(most).min(most);
    let by_arrival = now.since.saturating_add(left);
    let Some(wall) = now.wall else { return Read { due: by_arrival, ahead: false } };
    // A wall-clock time as this program's clock would show it at the earliest.
    let earliest =
        |at: Time| (now.clock.saturating_add(at)).saturating_sub(wall.saturating_add(clocks.apart));
    let made = said.made.filter(|_| clocks.record_time);
    let ahead = made.is_some_and(|at| at > wall.saturating_add(clocks.apart));
    let by_made = made.filter(|_| !ahead).map(|at| earliest(at).saturating_add(left));
    let by_until = said.until.map(earliest);
    let due = by_arrival.min(by_made.unwrap_or(Time::MAX)).min(by_until.unwrap_or(Time::MAX));
    Read { due, ahead }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: Time = 1_000_000_000;
    const CLOCKS: Clocks = Clocks { apart: S / 10, record_time: true };
    const NOW: Now = Now { clock: 1000 * S, wall: Some(50_000 * S), since: 1000 * S };

    #[test]
    fn the_way_here_is_taken_off_and_so_is_what_clocks_may_differ() {
        let due = |made: Time, left: Time| {
            read(CLOCKS, NOW, Said { left: Some(left), made: Some(made), until: None }, 20 * S)
        };
        assert_eq!(due(49_996 * S, 10 * S), Read { due: 1006 * S - S / 10, ahead: false });
        // Days on its way, or a clock days behind: its time is up.
        assert!(due(10 * S, 10 * S).due < NOW.clock);
        // A clock that is ahead by more than is agreed tells nothing.
        assert_eq!(due(50_000 * S + S / 9, 10 * S), Read { due: 1010 * S, ahead: true });
        assert_eq!(due(50_000 * S + S / 10, 10 * S), Read { due: 1010 * S, ahead: false });
    }

    #[test]
    fn a_stated_end_counts_and_never_gives_more_than_the_class_has() {
        let until = |at: Time| read(CLOCKS, NOW, Said { until: Some(at), ..Said::default() }, 20 * S).due;
        assert_eq!(until(50_005 * S), 1005 * S - S / 10);
        assert_eq!(until(60_000 * S), 1020 * S);
        assert_eq!(until(Time::MAX), 1020 * S);
    }

    #[test]
    fn without_a_clock_or_where_records_times_mean_something_else_the_arrival_counts() {
        let said = Said { left: Some(10 * S), made: Some(49_000 * S), until: None };
        let other = Clocks { record_time: false, ..CLOCKS };
        assert_eq!(read(other, NOW, said, 20 * S).due, 1010 * S);
        assert_eq!(read(CLOCKS, Now { wall: None, ..NOW }, said, 20 * S).due, 1010 * S);
        let early = Now { since: 998 * S, ..NOW };
        assert_eq!(read(CLOCKS, early, Said::default(), 20 * S).due, 1018 * S);
    }

    proptest! {
        /// Whatever the way took and the clocks show within the agreed span, the time is not over-counted, and
        /// under-counted by no more than twice the span.
        #[test]
        fn no_message_is_held_beyond_its_time(
            way in 0..30 * S, left in 0..40 * S, behind in any::<bool>(), off in 0..=S / 10, late_look in 0..S,
        ) {
            let handed = NOW.clock - way - late_look;
            let true_wall = NOW.wall.unwrap() - way - late_look;
            let made = if behind { true_wall - off } else { true_wall + off };
            let now = Now { since: NOW.clock - late_look, ..NOW };
            let got = read(CLOCKS, now, Said { left: Some(left), made: Some(made), until: None }, 40 * S);
            prop_assert!(!got.ahead);
            prop_assert!(got.due <= handed + left);
            prop_assert!(got.due + 2 * CLOCKS.apart >= handed + left);
        }
    }
}
