//! The parameters of the checks: message classes and the tolerances of the rules. All times are in
//! nanoseconds.

use linnetcart::{Idempotency, Time};

/// A message class as the checks see it. The decision library's class is deliberately not used: it has no
/// name, and the weight of a late message must be computed independently of it.
#[derive(Clone, Debug)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// A message served within this time of its first submission has its full weight.
    pub latency_objective: Time,
    /// A message served later than this after its first submission has no weight.
    pub deadline: Time,
    /// The weight of a message served within the latency objective.
    pub priority_weight: f64,
    /// The fraction of `priority_weight` that remains at the deadline, from 0 to 1.
    pub late_weight: f64,
    /// Whether a message may be executed more than once, and under which conditions.
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are delivered in order.
    pub ordered: bool,
}

impl Class {
    /// Returns the weight of a message served at this age, counted from its first submission. The weight is
    /// `priority_weight` up to the latency objective, falls linearly to `priority_weight * late_weight` at
    /// the deadline, and is zero after it.
    pub fn weight_at(&self, age: Time) -> f64 {
        if age > self.deadline {
            return 0.0;
        }
        let late_by = age.saturating_sub(self.latency_objective) as f64;
        let decay_span = self.deadline.saturating_sub(self.latency_objective).max(1) as f64;
        let remaining = 1.0 - (1.0 - self.late_weight) * late_by / decay_span;
        self.priority_weight * remaining
    }
}

/// The parameters of the six rules.
#[derive(Clone, Debug)]
pub struct Invariants {
    /// The classes, indexed by class number.
    pub classes: Vec<Class>,
    /// How long after a message's deadline its final answer may still be sent.
    pub answer_grace: Time,
    /// How long a courier may still send new work to an endpoint after it was notified that the endpoint is
    /// draining or gone.
    pub drain_grace: Time,
    /// How long the next message of an ordering key must wait after an attempt that may still be running.
    pub key_cooldown: Time,
    /// A destination in slow start is overloaded if it receives more than this multiple of its current
    /// capacity within one `overload_window`.
    pub overload_ratio: f64,
    /// Length of the sliding window over which calls to a destination in slow start are counted.
    pub overload_window: Time,
    /// Tolerance added to every time limit for clock differences and travel times. It is larger for runs on
    /// sockets, where sockets and event loops take time, than in virtual time.
    pub timing_tolerance: Time,
    /// The most by which injected link faults delay a message in one direction. Added where the travel time
    /// of the single message is not recorded.
    pub extra_link_delay: Time,
}

impl Invariants {
    /// Returns the class with this number.
    pub(crate) fn class(&self, number: u8) -> &Class {
        &self.classes[usize::from(number)]
    }
}
