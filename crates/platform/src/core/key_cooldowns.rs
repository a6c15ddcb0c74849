//! Cooldowns of ordering keys: after an attempt that may still be executing, no new message of the same
//! ordering key is attempted for a fixed time, so that messages of a key take effect in order.
//!
//! The decision library enforces cooldowns as well, but does not know the cooldowns that a previous
//! process started.

use linnetcart::Time;
use std::collections::BTreeMap;

/// The cooldown of an ordering key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyCooldown {
    /// The ordering key.
    pub ordering_key: u64,
    /// When the cooldown ends; monotonic time.
    pub until: Time,
}

/// The cooldowns of all ordering keys, in monotonic time.
#[derive(Debug)]
pub struct KeyCooldowns {
    duration: Time,
    until: BTreeMap<u64, Time>,
}

impl KeyCooldowns {
    /// Creates an empty table. A cooldown lasts `duration` nanoseconds; 0 disables cooldowns.
    pub fn new(duration: Time) -> KeyCooldowns {
        KeyCooldowns { duration, until: BTreeMap::new() }
    }

    /// Starts the cooldown of a key and returns its end. Returns `None` without an ordering key (0) or if
    /// cooldowns are disabled.
    pub fn start(&mut self, ordering_key: u64, now: Time) -> Option<Time> {
        if ordering_key == 0 || self.duration == 0 {
            return None;
        }
        self.until.retain(|_, until| *until > now);
        let until = now + self.duration;
        self.until.insert(ordering_key, until);
        Some(until)
    }

    /// Whether a key is cooling down.
    pub fn is_cooling_down(&self, ordering_key: u64, now: Time) -> bool {
        self.until.get(&ordering_key).is_some_and(|&until| until > now)
    }

    /// Returns the earliest end of a cooldown after `now`; [`Time::MAX`] for none.
    pub fn next_end(&self, now: Time) -> Time {
        self.until.values().copied().filter(|&until| until > now).min().unwrap_or(Time::MAX)
    }

    /// Iterates over the cooldowns that have not ended at `now`.
    pub fn active(&self, now: Time) -> impl Iterator<Item = KeyCooldown> + '_ {
        let all = self.until.iter().map(|(&ordering_key, &until)| KeyCooldown { ordering_key, until });
        all.filter(move |cooldown| cooldown.until > now)
    }
}

#[cfg(test)]
mod tests;
