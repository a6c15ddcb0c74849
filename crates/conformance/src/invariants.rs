//! The parameters of the checks: message classes and the tolerances of the rules.

use linnetcart::{Idempotency, Time};

/// A message class as the checks see it. The library's class is deliberately not used: it has no name, and
/// the weight of a late message is computed here independently of it.
#[derive(Clone, Debug)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// A message served within this time has its full weight.
    pub latency_objective: Time,
    /// A message served after this time has no weight.
    pub deadline: Time,
    /// Weight of a message served within the latency objective.
    pub priority_weight: f64,
    /// The fraction of the weight that remains at the deadline.
    pub late_weight: f64,
    /// Whether a message may be executed more than once, and under which conditions.
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are delivered in order.
    pub ordered: bool,
}

impl Class {
    /// Returns the weight of a message served at this age, counted from its first submission. The weight
    /// falls linearly from the latency objective to the deadline and is zero after it.
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
    /// How long after the deadline a final answer may still be sent.
    pub answer_grace: Time,
    /// How long a courier may still send new work to an endpoint after it was notified that the endpoint is
    /// draining or gone.
    pub drain_grace: Time,
    /// Cooldown of an ordering key after an attempt that may still be running.
    pub key_cooldown: Time,
    /// A destination in slow start is overloaded by more than this multiple of its current capacity within
    /// one `overload_window`.
    pub overload_ratio: f64,
    /// Length of the windows in which calls to a destination in slow start are counted.
    pub overload_window: Time,
    /// Tolerance added to every limit for clocks and travel times: sockets and event loops take time that
    /// virtual time does not.
    pub timing_tolerance: Time,
    /// Additional one-way delay where single travel times are not recorded.
    pub extra_link_delay: Time,
}

impl Invariants {
    /// Returns the class with this number.
    pub(crate) fn class(&self, number: u8) -> &Class {
        &self.classes[usize::from(number)]
    }
}
