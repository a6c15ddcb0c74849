//! A connection that reports leave by. It holds what waits, drops the oldest beyond its bound, and comes back after
//! failures at times that a seed spreads.

use crate::graphite::Chunk;
use bytes::Bytes;
use linnetcart::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::net::SocketAddr;

const SECOND: Time = 1_000_000_000;
/// The first wait after a failure, doubled with each, up to the longest.
const FIRST_WAIT: Time = SECOND;
const LONGEST_WAIT: Time = 60 * SECOND;
/// Bytes handed to the system beyond what it has taken: the rest waits here, where it can be dropped.
const WINDOW: u64 = 256 << 10;

/// What the shell is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Connect there.
    Connect(SocketAddr),
    /// Write.
    Write(Bytes),
    /// Close at once.
    Close,
}

#[derive(Debug)]
struct Piece {
    bytes: Bytes,
    points: u32,
    /// Bytes of the connection up to its end, once it was handed over.
    end: u64,
}

#[derive(Debug, PartialEq)]
enum Link {
    Down {
        until: Time,
    },
    Connecting {
        since: Time,
    },
    /// Bytes handed over and taken by the system on this connection, and when it last took some.
    Up {
        given: u64,
        taken: u64,
        moved: Time,
    },
}

/// The connection and its queue.
#[derive(Debug)]
pub struct Outlet {
    address: SocketAddr,
    most: usize,
    stuck: Time,
    link: Link,
    /// Handed over on this connection, not all taken.
    under_way: VecDeque<Piece>,
    waiting: VecDeque<Piece>,
    held: usize,
    wait: Time,
    random: ChaCha8Rng,
    /// Points dropped so far.
    dropped: u64,
    /// Connections that failed or broke so far.
    failures: u64,
}

impl Outlet {
    /// A connection to there, that holds so many bytes and gives one up that takes nothing for so long.
    pub fn new(address: SocketAddr, most: usize, stuck: Time, seed: u64) -> Outlet {
        Outlet {
            address,
            most,
            stuck,
            link: Link::Down { until: 0 },
            under_way: VecDeque::new(),
            waiting: VecDeque::new(),
            held: 0,
            wait: FIRST_WAIT,
            random: ChaCha8Rng::seed_from_u64(seed),
            dropped: 0,
            failures: 0,
        }
    }

    /// Points dropped so far, and failures of the connection.
    pub fn losses(&self) -> (u64, u64) {
        (self.dropped, self.failures)
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// It is connected.
    pub fn is_up(&self) -> bool {
        matches!(self.link, Link::Up { .. })
    }

    /// Queues pieces with their points; the oldest that are not under way go beyond the bound.
    pub fn push(&mut self, chunks: Vec<Chunk>) {
        for Chunk { bytes, points } in chunks {
            self.held += bytes.len();
            self.waiting.push_back(Piece { bytes: bytes.into(), points, end: 0 });
            while self.held > self.most {
                let Some(oldest) = self.waiting.pop_front() else { break };
                self.held -= oldest.bytes.len();
                self.dropped += u64::from(oldest.points);
            }
        }
    }

    /// The connection is there.
    pub fn connected(&mut self, now: Time) {
        if matches!(self.link, Link::Connecting { .. }) {
            self.link = Link::Up { given: 0, taken: 0, moved: now };
        }
    }

    /// It could not be made, or is gone. What the system had not taken whole goes again.
    pub fn lost(&mut self, now: Time) {
        if matches!(self.link, Link::Down { .. }) {
            return;
        }
        self.failures += 1;
        while let Some(piece) = self.under_way.pop_back() {
            self.waiting.push_front(piece);
        }
        let wait = (self.wait as f64 * self.random.random_range(0.5..1.5)) as Time;
        self.link = Link::Down { until: now + wait };
        self.wait = (self.wait * 2).min(LONGEST_WAIT);
    }

    /// The system has taken so many bytes of this connection.
    pub fn taken(&mut self, now: Time, bytes: u64) {
        let Link::Up { given, taken, moved } = &mut self.link else { return };
        let bytes = bytes.min(*given);
        if bytes <= *taken {
            return;
        }
        (*taken, *moved) = (bytes, now);
        while let Some(piece) = self.under_way.front().filter(|p| p.end <= bytes) {
            self.held -= piece.bytes.len();
            self.under_way.pop_front();
            self.wait = FIRST_WAIT;
        }
    }

    /// What is to be done now.
    pub fn turn(&mut self, now: Time) -> Vec<Do> {
        let mut todo = Vec::new();
        match self.link {
            Link::Down { until } if until <= now && !self.waiting.is_empty() => {
                self.link = Link::Connecting { since: now };
                todo.push(Do::Connect(self.address));
            }
            Link::Connecting { since } if since + self.stuck <= now => {
                todo.push(Do::Close);
                self.lost(now);
            }
            Link::Up { moved, .. } if !self.under_way.is_empty() && moved + self.stuck <= now => {
                todo.push(Do::Close);
                self.lost(now);
            }
            _ => {}
        }
        if let Link::Up { given, taken, moved } = &mut self.link {
            if self.under_way.is_empty() {
                *moved = now;
            }
            while *given - *taken < WINDOW {
                let Some(mut piece) = self.waiting.pop_front() else { break };
                *given += piece.bytes.len() as u64;
                piece.end = *given;
                todo.push(Do::Write(piece.bytes.clone()));
                self.under_way.push_back(piece);
            }
        }
        todo
    }

    /// When something is to be done next, if nothing happens before.
    pub fn next(&self) -> Option<Time> {
        match self.link {
            Link::Down { until } => (!self.waiting.is_empty()).then_some(until),
            Link::Connecting { since } => Some(since + self.stuck),
            Link::Up { moved, .. } => (!self.under_way.is_empty()).then_some(moved + self.stuck),
        }
    }
}

#[cfg(test)]
mod tests;
