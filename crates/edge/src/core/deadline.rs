//! Computes a message's deadline from the times that its client stated and from when the message arrived. It
//! reads no clock; callers pass clock readings in.
//!
//! The time remaining of a message counts from when its client submitted it, which may be long before it
//! arrived. A record carries its creation time and may carry its deadline. Both are by the client's wall
//! clock, which may differ from this courier's by a configured skew in either direction. The message is
//! assumed to be as old as that skew allows, so that its answer is in time for any difference within the
//! skew. Without such a time the deadline counts from the earliest possible arrival.

use super::clock::ClockReadings;
use linnetcart::Time;

/// How wall clocks of clients are interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientClocks {
    /// Greatest difference between a client's wall clock and this courier's, either way.
    pub(crate) max_skew: Time,
    /// Whether the timestamp of a record is the time at which it was submitted.
    pub(crate) timestamps_are_creation_times: bool,
}

/// The times that a client states for a message.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatedTimes {
    /// The time remaining when the message was submitted.
    pub(crate) time_left: Option<Time>,
    /// The deadline, by the client's wall clock.
    pub(crate) deadline: Option<Time>,
    /// When the message was created, by the client's wall clock.
    pub(crate) created_at: Option<Time>,
}

/// The deadline of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageDeadline {
    /// The deadline, by the courier's monotonic clock.
    pub(crate) deadline: Time,
    /// Whether the creation time was ignored because the client's clock is ahead by more than the permitted
    /// skew.
    pub(crate) clock_ahead: bool,
}

/// Computes a message's deadline, which is at most `longest` after the earliest possible arrival.
pub(crate) fn message_deadline(
    clocks: ClientClocks,
    readings: ClockReadings,
    stated: StatedTimes,
    longest: Time,
) -> MessageDeadline {
    let time_left = stated.time_left.unwrap_or(longest).min(longest);
    let by_arrival = readings.earliest_arrival().saturating_add(time_left);
    let Some(wall) = readings.wall() else {
        return MessageDeadline { deadline: by_arrival, clock_ahead: false };
    };
    let latest_wall = wall.saturating_add(clocks.max_skew);
    // Converts a time by the client's clock to the earliest corresponding reading of the monotonic clock.
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
