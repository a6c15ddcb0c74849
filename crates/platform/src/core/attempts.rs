//! The attempts that are out, and the ordering keys that cool down after them.
//!
//! It owns each attempt from the decision to send it until it ends. It never picks an endpoint.

use super::key_cooldowns::KeyCooldowns;
use linnetcart::Time;
use std::collections::BTreeMap;

/// An attempt of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The message.
    pub message: u32,
    /// The attempt's number, counted from 0.
    pub number: u16,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// It waits for an acknowledgement or a cooldown of its ordering key, and has no connection.
    Blocked,
    /// It asked for a connection.
    Started,
}

/// An attempt that is out.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// Where it goes.
    pub endpoint: u32,
    /// When it was decided on.
    pub started_at: Time,
    /// When it is given up.
    pub deadline: Time,
    stage: AttemptStage,
}

impl InFlightAttempt {
    /// One that took no time: that of an abandoned attempt was counted when it was abandoned.
    pub fn ended_at(endpoint: u32, now: Time) -> InFlightAttempt {
        InFlightAttempt { endpoint, started_at: now, deadline: now, stage: AttemptStage::Started }
    }
}

/// The attempts that are out.
#[derive(Debug)]
pub struct Attempts {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// Ordering keys whose last attempt may still be executing.
    pub key_cooldowns: KeyCooldowns,
}

impl Attempts {
    /// Without an attempt.
    pub fn new(key_cooldown: Time) -> Attempts {
        Attempts { attempts: BTreeMap::new(), key_cooldowns: KeyCooldowns::new(key_cooldown) }
    }

    /// Whether none is out.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds one that was decided on.
    pub fn add(&mut self, id: AttemptId, endpoint: u32, now: Time, deadline: Time) {
        let stage = AttemptStage::Blocked;
        self.attempts.insert(id, InFlightAttempt { endpoint, started_at: now, deadline, stage });
    }

    /// An attempt that is out.
    pub fn get(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.attempts.get(&id)
    }

    /// It asks for a connection now.
    pub fn start(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.stage = AttemptStage::Started;
        }
    }

    /// It ended.
    pub fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&id)
    }

    /// All that are out.
    pub fn ids(&self) -> Vec<AttemptId> {
        self.attempts.keys().copied().collect()
    }

    /// Those that wait for their ordering key.
    pub fn blocked(&self) -> Vec<AttemptId> {
        self.ids_where(|attempt| attempt.stage == AttemptStage::Blocked)
    }

    /// Those whose deadline has passed.
    pub fn expired(&self, now: Time) -> Vec<AttemptId> {
        self.ids_where(|attempt| attempt.deadline <= now)
    }

    fn ids_where(&self, applies: impl Fn(&InFlightAttempt) -> bool) -> Vec<AttemptId> {
        self.attempts.iter().filter(|(_, attempt)| applies(attempt)).map(|(&id, _)| id).collect()
    }

    /// When the next one is given up, or may start.
    pub fn next_wake(&self, now: Time) -> Time {
        let deadlines = self.attempts.values().map(|attempt| attempt.deadline);
        let next_deadline = deadlines.min().unwrap_or(Time::MAX);
        let any_blocked = self.attempts.values().any(|attempt| attempt.stage == AttemptStage::Blocked);
        if any_blocked {
            next_deadline.min(self.key_cooldowns.next_end(now))
        } else {
            next_deadline
        }
    }
}

#[cfg(test)]
mod tests;
