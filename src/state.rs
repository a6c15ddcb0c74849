//! What the decision module keeps in mind; it decides nothing here.

use crate::interface::{Ending, Listing, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Health of a limit or an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Health {
    #[default]
    Up,
    /// Out since; `told` when a call failed or was refused, not only silence.
    Out { since: Time, told: bool },
    /// Back: capacity grows since.
    Back { since: Time },
}

/// What is known of one limit: a destination, a route apart, or one endpoint of several.
#[derive(Clone, Debug, Default)]
pub(crate) struct Node {
    pub(crate) health: Health,
    /// Health before it went out.
    pub(crate) before: Health,
    pub(crate) out_at: f64,
    pub(crate) wait_until: Time,
    /// Failing share of late, failures or refusals in a row, and whether the last one proved not to run.
    pub(crate) bad: f64,
    pub(crate) run: u32,
    pub(crate) run_since: Time,
    pub(crate) harmless: bool,
    pub(crate) last_bad: Time,
    pub(crate) last_answer: Time,
    /// Since when it is known, and the calls served since.
    pub(crate) known: Time,
    pub(crate) served: f64,
    /// Calls served in the running fall span, and the most in one.
    pub(crate) span_start: Time,
    pub(crate) in_span: f64,
    pub(crate) peak: f64,
    /// Messages that wait for it.
    pub(crate) waiting: f64,
    /// The limit over all couriers, calls a second; 0 for none told.
    pub(crate) limit: f64,
    /// It is told exactly, not roughly.
    pub(crate) exact: bool,
    pub(crate) left: f64,
    pub(crate) left_at: Time,
    /// Refused above the limit, and nothing served since.
    pub(crate) jammed: bool,
    /// Calls saved up; one is needed to send.
    pub(crate) credit: f64,
    pub(crate) filled: Time,
}

impl Node {
    /// Its state and why, for those on call.
    pub(crate) fn line(&self, ending: Ending) -> String {
        let state = match self.health {
            Health::Up => "in service",
            Health::Out { .. } => "out, trials only",
            Health::Back { .. } => "back, warming up",
        };
        format!("{state} after {ending:?}, failing share {:.2}, {} in a row", self.bad, self.run)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Dest {
    pub(crate) node: Node,
    pub(crate) kind: u8,
    pub(crate) endpoints: BTreeSet<u32>,
    /// Messages held, oldest first.
    pub(crate) waiting: BTreeSet<(u64, u32)>,
    pub(crate) last_slot: Time,
    pub(crate) calls: u32,
    pub(crate) bucket: f64,
    pub(crate) latencies: VecDeque<Time>,
    pub(crate) usual: f64,
    pub(crate) recent: f64,
}

#[derive(Debug, Default)]
pub(crate) struct Site {
    pub(crate) node: Node,
    pub(crate) dest: u32,
    pub(crate) zone: u8,
    pub(crate) listing: Listing,
    pub(crate) calls: u32,
    /// For classes whose last call here was not answered: until when they go elsewhere.
    pub(crate) shunned: BTreeMap<usize, Time>,
    /// How little this courier likes it.
    pub(crate) lot: f64,
    /// The call that sends of this round may join, and the sends in it.
    pub(crate) joined: (u64, Time, u32),
}

#[derive(Debug, Default)]
pub(crate) struct Msg {
    pub(crate) dest: u32,
    pub(crate) class: usize,
    pub(crate) key: u64,
    pub(crate) seq: u64,
    pub(crate) taken: Time,
    pub(crate) due: Time,
    pub(crate) attempts: u16,
    pub(crate) live: u32,
    /// Attempts that are out or may have run: when sent, number, zone.
    pub(crate) maybe: Vec<(Time, u16, u8)>,
    pub(crate) over: bool,
}

#[derive(Debug)]
pub(crate) struct Out {
    pub(crate) endpoint: u32,
    pub(crate) sent: Time,
    pub(crate) call: u64,
    pub(crate) cancelled: bool,
}

/// A running call.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub(crate) sends: u32,
    /// An outcome of it is known.
    pub(crate) told: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Line {
    pub(crate) queue: VecDeque<u32>,
    pub(crate) rest: Time,
}

/// Random numbers from a seed (splitmix64).
#[derive(Debug, Default)]
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// A number in [0, 1).
    pub(crate) fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
