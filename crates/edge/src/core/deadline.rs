//! Computes a message's deadline from the times that its client stated and from when the message arrived. It
//! reads no clock; callers pass clock readings in.
//!
//! The time remaining of a message counts from when its client submitted it, which may be long before it
//! arrived. A record carries its creation time and may carry its deadline. Both are by the client's wall
//! clock, which may differ from this courier's by up to `max_skew` in either direction. A time `t` by the
//! client's clock is therefore taken for the earliest corresponding reading of the monotonic clock,
//! `now + t - (wall + max_skew)`, so that the answer is in time for any difference within the skew. Without
//! such a time the deadline counts from the earliest possible arrival.

use super::clock::ClockReadings;
use linnetcart::Time;

/// How the times that clients state by their wall clocks are interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientClocks {
    /// Greatest permitted difference between a client's wall clock and this courier's, in nanoseconds and in
    /// either direction.
    pub(crate) max_skew: Time,
    /// Whether the timestamp of a record is the time at which its client created it. If not, timestamps are
    /// ignored.
    pub(crate) timestamps_are_creation_times: bool,
}

/// The times that a client states for a message, in nanoseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatedTimes {
    /// The time from submission to the deadline; `None` if the client states none.
    pub(crate) time_left: Option<Time>,
    /// The deadline, since 1970 by the client's wall clock; `None` if the client states none.
    pub(crate) deadline: Option<Time>,
    /// When the message was created, since 1970 by the client's wall clock; `None` if the client states no
    /// time.
    pub(crate) created_at: Option<Time>,
}

/// The deadline computed for a message, and whether its creation time was usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageDeadline {
    /// The deadline, by the courier's monotonic clock.
    pub(crate) deadline: Time,
    /// Whether the creation time was ignored because the client's clock is ahead by more than the permitted
    /// skew.
    pub(crate) clock_ahead: bool,
}

/// Computes a message's deadline, by the courier's monotonic clock: the earliest of
///
/// - `earliest_arrival + time_left`,
/// - `earliest(created_at) + time_left`, if timestamps are creation times and `created_at` is at most
///   `wall + max_skew`,
/// - `earliest(stated deadline)`.
///
/// `earliest(t)` is `now + t - (wall + max_skew)`, and `time_left` is the stated one, at most
/// `max_time_left`. Without a reading of the wall clock only the first applies.
pub(crate) fn message_deadline(
    clocks: ClientClocks,
    readings: ClockReadings,
    stated: StatedTimes,
    max_time_left: Time,
) -> MessageDeadline {
    let time_left = stated.time_left.unwrap_or(max_time_left).min(max_time_left);
    let by_arrival = readings.earliest_arrival().saturating_add(time_left);
    let Some(wall) = readings.wall() else {
        return MessageDeadline { deadline: by_arrival, clock_ahead: false };
    };
    let latest_wall = wall.saturating_add(clocks.max_skew);
    // The earliest reading of the monotonic clock that corresponds to a time by the client's clock.
    let earliest = |client_time: Time| readings.now().saturating_add(client_time).saturating_sub(latest_wall);

    let created_at = stated.created_at.filter(|_| clocks.timestamps_are_creation_times);
    let clock_ahead = created_at.is_some_and(|at| at > latest_wall);
    let by_creation = match created_at {
        Some(at) if !clock_ahead => earliest(at).saturating_add(time_left),
        _ => Time::MAX,
    };
    let by_stated_deadline = stated.deadline.map_or(Time::MAX, earliest);
    let deadline = by_arrival.min(by_creation).min(by_stated_deadline);
    MessageDeadline { deadline, clock_ahead }
}

#[cfg(test)]
mod tests;
