//! Clients: they submit messages, wait for the answers, and retry. A client knows only what it sent and how
//! it was answered, not whether a message was executed.

mod answers;
mod connection;
mod disconnects;
mod submissions;

pub(super) use connection::ClientConnection;

use crate::units::millis;
use linnetcart_conformance::{Submission, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const NANOS_PER_MILLI: u64 = 1_000_000;
/// XORed with the seed of the fleet, so that the random numbers of clients are independent of those that the
/// fleet was drawn with.
const CLIENT_SALT: u64 = 0x1ab;
/// XORed with the seed of the fleet, so that the random numbers of the clients' clocks are independent of all
/// others.
const CLOCK_SALT: u64 = 0xc11c;

/// A courier that receives more messages than the others.
#[derive(Clone, Copy, Debug)]
pub(super) struct FavouredCourier {
    pub(super) courier: u32,
    /// Probability with which a message without ordering key is sent to this courier. All other messages
    /// without ordering key are spread evenly over all running couriers, including this one.
    pub(super) share: f64,
}

/// The state that all clients share.
pub(super) struct ClientState {
    pub(super) submissions: Vec<Submission>,
    /// Number of submissions that wait for an answer.
    pub(super) awaiting_answer: usize,
    /// Number of answers that cannot be decoded, or whose correlation id is not that of a waiting request.
    pub(super) stray_answers: u64,
    /// The courier that is favoured at present, if any.
    pub(super) favoured_courier: Option<FavouredCourier>,
    /// Number of submissions that are scheduled but not made yet, first submissions and retries.
    scheduled: usize,
    /// The number of the last submission of each message that was submitted, by position in
    /// `Fleet::messages`. It counts the retries after rejections, from 0.
    attempts: BTreeMap<usize, u32>,
    /// For each message whose connection broke, the courier that the next submission of the message avoids,
    /// by position in `Fleet::messages`.
    avoided_couriers: BTreeMap<usize, u32>,
    /// How often each ordering key has moved to another courier because a connection broke.
    key_migrations: BTreeMap<u64, usize>,
    rng: ChaCha8Rng,
    /// Used for clock offsets only, so that drawing them changes no other random number.
    clock_rng: ChaCha8Rng,
}

impl ClientState {
    pub(super) fn new(seed: u64) -> Self {
        ClientState {
            submissions: Vec::new(),
            awaiting_answer: 0,
            stray_answers: 0,
            favoured_courier: None,
            scheduled: 0,
            attempts: BTreeMap::new(),
            avoided_couriers: BTreeMap::new(),
            key_migrations: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ CLIENT_SALT),
            clock_rng: ChaCha8Rng::seed_from_u64(seed ^ CLOCK_SALT),
        }
    }

    /// Returns whether no submission is scheduled and none waits for an answer.
    pub(super) fn is_idle(&self) -> bool {
        self.awaiting_answer == 0 && self.scheduled == 0
    }

    fn last_attempt(&self, message: usize) -> u32 {
        self.attempts.get(&message).copied().unwrap_or(0)
    }

    /// Chooses the courier for a message among the running ones, of which there is at least one. A message
    /// with an ordering key goes to `running[(key + migrations) % running.len()]`. Any other goes to a random
    /// one: after a broken connection to any but the courier to avoid, otherwise with a preference for the
    /// favoured courier.
    fn choose_courier(&mut self, message: usize, key: Option<u64>, running: &[u32]) -> u32 {
        if let Some(key) = key {
            let migrations = self.key_migrations.get(&key).copied().unwrap_or(0);
            return running[(key as usize + migrations) % running.len()];
        }
        if let Some(&avoided) = self.avoided_couriers.get(&message) {
            let others: Vec<u32> = running.iter().copied().filter(|&courier| courier != avoided).collect();
            if !others.is_empty() {
                return others[self.rng.random_range(0..others.len())];
            }
        }
        if let Some(favoured) = self.favoured_courier {
            let drawn = self.rng.random::<f64>() < favoured.share;
            if drawn && running.contains(&favoured.courier) {
                return favoured.courier;
            }
        }
        running[self.rng.random_range(0..running.len())]
    }

    /// Draws how long a client waits before it submits a message again, uniformly from a range in
    /// milliseconds.
    fn draw_retry_delay(&mut self, [shortest, longest]: [f64; 2]) -> Time {
        millis(shortest + self.rng.random::<f64>() * (longest - shortest))
    }
}
