//! Attempts in flight: each from the decision to send it until its outcome, with its deadline. Also the
//! cooldowns of ordering keys whose last attempt may still be executing.
//!
//! The endpoint of an attempt is selected by the decision library.

use super::key_cooldowns::KeyCooldowns;
use linnetcart::Time;
use std::collections::BTreeMap;

/// Identifies an attempt of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The message's number.
    pub message: u32,
    /// The attempt's number, counted from 0.
    pub number: u16,
}

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// No connection was requested. The attempt was decided in this iteration, or its ordering key blocks it:
    /// the status notification of another message of the key is unacknowledged, or the key is cooling down.
    Pending,
    /// A connection was requested, and the request may have been sent on it.
    Started,
}

/// An attempt in flight.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// Number of the endpoint that the decision library selected for the attempt.
    pub endpoint: u32,
    /// When the attempt was decided, in nanoseconds of monotonic time.
    pub started_at: Time,
    /// When the attempt times out, in nanoseconds of monotonic time.
    pub deadline: Time,
    stage: AttemptStage,
}

impl InFlightAttempt {
    /// Creates an attempt that starts and ends at `now`. Stands in for an abandoned attempt whose response
    /// arrives late: its duration was reported to the decision library when it was abandoned.
    pub fn ended_at(endpoint: u32, now: Time) -> InFlightAttempt {
        InFlightAttempt { endpoint, started_at: now, deadline: now, stage: AttemptStage::Started }
    }
}

/// All attempts in flight.
#[derive(Debug)]
pub struct Attempts {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// Cooldowns of ordering keys whose last attempt may still be executing at its endpoint.
    pub key_cooldowns: KeyCooldowns,
}

impl Attempts {
    /// Creates an empty table. A cooldown lasts `key_cooldown` nanoseconds; 0 disables cooldowns.
    pub fn new(key_cooldown: Time) -> Attempts {
        Attempts { attempts: BTreeMap::new(), key_cooldowns: KeyCooldowns::new(key_cooldown) }
    }

    /// Whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds an attempt in the stage [`AttemptStage::Pending`].
    pub fn add(&mut self, id: AttemptId, endpoint: u32, now: Time, deadline: Time) {
        let stage = AttemptStage::Pending;
        self.attempts.insert(id, InFlightAttempt { endpoint, started_at: now, deadline, stage });
    }

    /// Returns an attempt, or `None` if it is not in flight.
    pub fn get(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.attempts.get(&id)
    }

    /// Moves an attempt to the stage [`AttemptStage::Started`].
    pub fn start(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.stage = AttemptStage::Started;
        }
    }

    /// Removes and returns an attempt that ended; `None` if the attempt is not in flight.
    pub fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&id)
    }

    /// Returns the ids of all attempts in flight.
    pub fn ids(&self) -> Vec<AttemptId> {
        self.attempts.keys().copied().collect()
    }

    /// Returns the ids of a message's attempts in flight.
    pub fn ids_of(&self, message: u32) -> Vec<AttemptId> {
        let first = AttemptId { message, number: 0 };
        let last = AttemptId { message, number: u16::MAX };
        self.attempts.range(first..=last).map(|(&id, _)| id).collect()
    }

    /// Returns the ids of the attempts in the stage [`AttemptStage::Pending`].
    pub fn pending(&self) -> Vec<AttemptId> {
        self.ids_where(|attempt| attempt.stage == AttemptStage::Pending)
    }

    /// Returns the ids of the attempts whose deadline has passed.
    pub fn expired(&self, now: Time) -> Vec<AttemptId> {
        self.ids_where(|attempt| attempt.deadline <= now)
    }

    fn ids_where(&self, predicate: impl Fn(&InFlightAttempt) -> bool) -> Vec<AttemptId> {
        self.attempts.iter().filter(|(_, attempt)| predicate(attempt)).map(|(&id, _)| id).collect()
    }

    /// Returns the monotonic time at which an attempt times out or may start: the earliest deadline of an
    /// attempt or, if an attempt is pending, the earliest end of a key cooldown if that is earlier;
    /// [`Time::MAX`] for neither.
    pub fn next_wake(&self, now: Time) -> Time {
        let deadlines = self.attempts.values().map(|attempt| attempt.deadline);
        let next_deadline = deadlines.min().unwrap_or(Time::MAX);
        let any_pending = self.attempts.values().any(|attempt| attempt.stage == AttemptStage::Pending);
        if any_pending {
            next_deadline.min(self.key_cooldowns.next_end(now))
        } else {
            next_deadline
        }
    }
}

#[cfg(test)]
mod tests;
