//! The figures that the rules are checked against.

use linnetcart::{Idempotency, Time};

/// A class of message, as the checks see it. The library's class is not used: it has no name, and the weight of a
/// late message is computed here independently of it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Served within this, a message has its full weight.
    pub latency_objective: Time,
    /// How long it may be served.
    pub deadline: Time,
    /// Full weight of a message.
    pub priority_weight: f64,
    /// The part of the weight that is left at the deadline.
    pub late_weight: f64,
    /// What a second execution does.
    pub idempotency: Idempotency,
    /// Messages with one ordering key go in turn.
    pub ordered: bool,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct Invariants {
    /// Classes, by number.
    pub classes: Vec<Class>,
    /// The weight halves with each further latency objective; otherwise it falls evenly to the deadline.
    pub halves: bool,
    /// How late a final answer may be.
    pub answer_grace: Time,
    /// How long new work may go to an endpoint after a courier was notified that it is draining or gone.
    pub drain_grace: Time,
    /// How long an ordering key rests after an attempt that may still run.
    pub key_cooldown: Time,
    /// Sent more than this multiple of its capacity, a destination in slow start is overloaded,
    pub overload_ratio: f64,
    /// when that goes on for this long.
    pub overload_window: Time,
    /// What clocks and travel may add to any figure: sockets and event loops take time that virtual time does not.
    pub timing_tolerance: Time,
    /// How much longer one way may take where single travel times are not recorded.
    pub extra_link_delay: Time,
}

impl Invariants {
    /// The class of this number.
    pub(crate) fn class(&self, number: u8) -> &Class {
        &self.classes[usize::from(number)]
    }
}
