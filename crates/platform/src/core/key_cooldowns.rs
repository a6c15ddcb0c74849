//! Ordering keys that cool down: nothing of a key is sent while its last attempt may still be executing.
//!
//! The decision library keeps to cooldowns itself; after a restart it does not know of them.

use linnetcart::Time;
use std::collections::BTreeMap;

/// An ordering key that cools down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyCooldown {
    /// The ordering key.
    pub ordering_key: u64,
    /// When the cooldown ends.
    pub until: Time,
}

/// The cooldowns of all ordering keys.
#[derive(Debug)]
pub struct KeyCooldowns {
    duration: Time,
    until: BTreeMap<u64, Time>,
}

impl KeyCooldowns {
    /// Without a key; a cooldown takes this long, and 0 turns cooldowns off.
    pub fn new(duration: Time) -> KeyCooldowns {
        KeyCooldowns { duration, until: BTreeMap::new() }
    }

    /// An attempt for a key ended and may still be executing: until when the key cools down. `None`: it does not.
    pub fn start(&mut self, ordering_key: u64, now: Time) -> Option<Time> {
        if ordering_key == 0 || self.duration == 0 {
            return None;
        }
        self.until.retain(|_, until| *until > now);
        let until = now + self.duration;
        self.until.insert(ordering_key, until);
        Some(until)
    }

    /// Whether a key cools down.
    pub fn is_cooling_down(&self, ordering_key: u64, now: Time) -> bool {
        self.until.get(&ordering_key).is_some_and(|&until| until > now)
    }

    /// When the next cooldown ends.
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
