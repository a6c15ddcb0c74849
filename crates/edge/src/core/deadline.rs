//! When a message's deadline is, from what its client stated and when the message arrived. Reads no clock: the
//! readings go in.
//!
//! The time that a message has left is counted from when its client submitted it, and it may have been under way for
//! long. A record carries the time at which it was created, and may carry its deadline; both are by the client's wall
//! clock, which may differ from this courier's by a configured skew, either way. The message is taken to be as old as
//! that skew allows, so its answer is in time whatever the clocks show within the skew. Without such a time the
//! deadline is counted from the earliest possible arrival.

use super::clock::ClockReadings;
use linnetcart::Time;

/// How wall clocks of clients are interpreted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientClocks {
    /// Greatest difference between a client's wall clock and this courier's, either way.
    pub(crate) max_skew: Time,
    /// The timestamp of a record is the time at which it was submitted.
    pub(crate) timestamps_are_creation_times: bool,
}

/// What a client states about a message's time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatedTimes {
    /// How long the message had left when it was submitted.
    pub(crate) time_left: Option<Time>,
    /// The deadline, by the client's wall clock.
    pub(crate) deadline: Option<Time>,
    /// When the message was created, by the client's wall clock.
    pub(crate) created_at: Option<Time>,
}

/// The deadline that follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageDeadline {
    /// The deadline, by the courier's monotonic clock.
    pub(crate) deadline: Time,
    /// The client's clock is ahead by more than the permitted skew, and the creation time was not used.
    pub(crate) clock_ahead: bool,
}

/// Computes a message's deadline, at most `longest` after its arrival.
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
    // A time by the client's clock, as the monotonic clock would show it at the earliest.
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
