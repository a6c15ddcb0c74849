//! The values that a courier's status page shows, and the counters behind them.

use crate::delivery_events::FinalAnswer;
use linnetcart::Time;
use serde::Serialize;
use std::collections::BTreeMap;

/// The values that the status page shows. Counters start at 0 with the process.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Status {
    /// Messages without a final answer.
    #[serde(rename = "held")]
    pub in_flight: usize,
    /// Size of the records of messages without a final answer, as accepted, in bytes.
    #[serde(rename = "held_bytes")]
    pub in_flight_bytes: usize,
    /// Calls that occupy a slot: those in flight that are not abandoned.
    pub calls: usize,
    /// Connections to endpoints that are open or being established.
    #[serde(rename = "links")]
    pub upstream_connections: usize,
    /// Connections to endpoints that await the response to an abandoned call, which are part of
    /// `upstream_connections`.
    #[serde(rename = "links_abandoned")]
    pub abandoned_connections: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections of clients that are not read because of a limit, which are part of `clients`.
    #[serde(rename = "clients_paused")]
    pub paused_clients: usize,
    /// The version of the endpoint list in force.
    pub list_version: u64,
    /// Endpoints in the list.
    pub endpoints: usize,
    /// Whether the courier drains and accepts nothing new.
    pub draining: bool,
    /// The counters of each class, by its name.
    pub classes: BTreeMap<String, ClassCounters>,
    /// Attempts started so far, including those that were not sent.
    pub attempts: u64,
    /// Decision cycles so far.
    #[serde(rename = "rounds")]
    pub decision_cycles: u64,
    /// Messages whose deadline had passed when they arrived.
    #[serde(rename = "out_of_time")]
    pub expired_on_arrival: u64,
    /// Messages whose creation time was ignored, because their client's clock is ahead by more than the
    /// settings permit.
    pub clocks_ahead: u64,
}

/// The memory that parts of the courier hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct HeldMemory {
    /// Bytes of requests that are not complete.
    pub request_bytes: usize,
    /// Estimate for the messages without a final answer.
    pub message_bytes: usize,
    /// Answers that clients have not read.
    pub answer_bytes: usize,
    /// Bytes of responses of endpoints that are not complete.
    pub response_bytes: usize,
}

/// Counters of the messages of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassCounters {
    /// Messages accepted for delivery.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Messages served, in or after the latency objective.
    pub served: u64,
    /// Messages served within the latency objective.
    #[serde(rename = "in_aim")]
    pub served_in_objective: u64,
    /// Messages rejected after they were accepted.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Messages failed: given up although they may have been executed.
    pub failed: u64,
    /// Messages cancelled because the client disconnected.
    #[serde(rename = "withdrawn")]
    pub client_cancelled: u64,
    /// Messages rejected before they were accepted, because of load or a drain.
    #[serde(rename = "turned_away")]
    pub shed: u64,
}

/// The counters of all classes, and of attempts.
#[derive(Debug)]
pub(crate) struct Counters {
    classes: Vec<ClassCounters>,
    attempts: u64,
}

impl Counters {
    pub(crate) fn new(class_count: usize) -> Self {
        Counters { classes: vec![ClassCounters::default(); class_count], attempts: 0 }
    }

    pub(crate) fn classes(&self) -> &[ClassCounters] {
        &self.classes
    }

    pub(crate) fn attempts(&self) -> u64 {
        self.attempts
    }

    pub(crate) fn attempt_started(&mut self) {
        self.attempts += 1;
    }

    pub(crate) fn accepted(&mut self, class: u8) {
        self.classes[usize::from(class)].accepted += 1;
    }

    pub(crate) fn shed(&mut self, class: u8) {
        self.classes[usize::from(class)].shed += 1;
    }

    pub(crate) fn client_cancelled(&mut self, class: u8) {
        self.classes[usize::from(class)].client_cancelled += 1;
    }

    /// Counts a final answer, given `elapsed` after the message was accepted. A served message is within its
    /// latency objective if `elapsed <= objective`, both in nanoseconds.
    pub(crate) fn completed(&mut self, class: u8, answer: FinalAnswer, elapsed: Time, objective: Time) {
        let counters = &mut self.classes[usize::from(class)];
        match answer {
            FinalAnswer::Served => {
                counters.served += 1;
                counters.served_in_objective += u64::from(elapsed <= objective);
            }
            FinalAnswer::Rejected { .. } => counters.rejected += 1,
            FinalAnswer::Failed => counters.failed += 1,
        }
    }
}

#[cfg(test)]
mod tests;
