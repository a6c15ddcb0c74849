//! Admission: requests that wait for the decision on their message, and the answers that clients get.
//!
//! It knows clients by their ids alone and nothing of connections to endpoints.

use super::client_connections::ClientId;
use super::request::RequestError;
use linnetcart::{Action, Time};
use linnetcart_http::{encode_response, Persistence};
use std::collections::BTreeMap;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The connection.
    pub client: ClientId,
    /// What the client asked to become of it.
    pub persistence: Persistence,
}

/// An answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The courier is ready.
    Ready,
    /// The message is accepted.
    Accepted,
    /// The message is rejected unsent.
    Rejected {
        /// When to submit it again; 0: not said.
        retry_after: Time,
    },
    /// The message failed at once.
    Failed,
    /// The request is no valid submission.
    Invalid(RequestError),
}

impl Answer {
    fn status(self) -> u16 {
        match self {
            Answer::Ready => 200,
            Answer::Accepted => 202,
            Answer::Rejected { .. } => 503,
            Answer::Failed => 500,
            Answer::Invalid(error) => error.status(),
        }
    }

    /// Its bytes.
    pub fn encode(self, persistence: Persistence) -> Vec<u8> {
        let retry_after = match self {
            Answer::Rejected { retry_after } if retry_after > 0 => {
                format!("{:.3}", retry_after as f64 / NANOSECONDS_PER_SECOND)
            }
            _ => String::new(),
        };
        let fields = [("Retry-After", &retry_after[..])];
        let fields: &[(&str, &str)] = if retry_after.is_empty() { &[] } else { &fields };
        let body = match self {
            Answer::Invalid(error) => format!("{error}\n"),
            _ => String::new(),
        };
        encode_response(self.status(), fields, body.as_bytes(), persistence)
    }
}

/// A message whose decision was made, and those that wait for it.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// The message.
    pub message: u32,
    /// The answer.
    pub answer: Answer,
    /// Who gets it.
    pub requesters: Vec<Requester>,
}

/// Requests that wait for the decision on their message.
#[derive(Debug, Default)]
pub struct Admission {
    awaiting: BTreeMap<u32, Vec<Requester>>,
}

impl Admission {
    /// A request waits for the decision on a message.
    pub fn await_decision(&mut self, message: u32, requester: Requester) {
        self.awaiting.entry(message).or_default().push(requester);
    }

    /// Whether the decision on a message is still to come.
    pub fn awaits_decision(&self, message: u32) -> bool {
        self.awaiting.contains_key(&message)
    }

    /// The decisions on all messages that wait for one: rejected or failed by these actions, or else accepted.
    pub fn decide(&mut self, actions: &[Action]) -> Vec<AdmissionDecision> {
        let mut not_accepted: BTreeMap<u32, Answer> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Reject { message, retry_after } => {
                    not_accepted.insert(*message, Answer::Rejected { retry_after: *retry_after });
                }
                Action::Fail { message } => {
                    not_accepted.insert(*message, Answer::Failed);
                }
                _ => {}
            }
        }
        let mut decisions = Vec::new();
        for (message, requesters) in std::mem::take(&mut self.awaiting) {
            let answer = not_accepted.get(&message).copied().unwrap_or(Answer::Accepted);
            decisions.push(AdmissionDecision { message, answer, requesters });
        }
        decisions
    }
}

#[cfg(test)]
mod tests;
