//! Admission: the requests that wait for the decision on their message, and the answers to clients.
//!
//! It knows clients by id only and never touches connections to endpoints.

use super::client_connections::ClientId;
use super::request::RequestError;
use linnetcart::{Action, Time};
use linnetcart_http::{encode_response, Persistence};
use std::collections::BTreeMap;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A client that waits for an answer, and how its connection continues afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// The client's connection.
    pub client: ClientId,
    /// Whether the client wants to keep the connection open.
    pub persistence: Persistence,
}

/// An answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The courier is ready.
    Ready,
    /// The courier cannot accept messages at present.
    NotReady,
    /// The message is accepted.
    Accepted,
    /// The message is rejected without an attempt.
    Rejected {
        /// Delay before the client should submit the message again, in nanoseconds; 0 for no advice.
        retry_after: Time,
    },
    /// The message failed at once.
    Failed,
    /// The request is not a valid submission.
    Invalid(RequestError),
}

impl Answer {
    fn status(self) -> u16 {
        match self {
            Answer::Ready => 200,
            Answer::Accepted => 202,
            Answer::NotReady | Answer::Rejected { .. } => 503,
            Answer::Failed => 500,
            Answer::Invalid(error) => error.status(),
        }
    }

    /// Encodes the answer as an HTTP response.
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

/// The decision on a message, and the requests that it answers.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// The message.
    pub message: u32,
    /// The answer.
    pub answer: Answer,
    /// The requests that get the answer.
    pub requesters: Vec<Requester>,
}

/// The actions of a decision, divided by what they concern.
#[derive(Debug, PartialEq)]
pub struct DecidedActions {
    /// The decisions on all messages that awaited one. Actions that reject or fail such a message are
    /// consumed by its answer.
    pub admissions: Vec<AdmissionDecision>,
    /// All other actions, in their order. A rejection or failure among them concerns an accepted message.
    pub to_execute: Vec<Action>,
}

/// Requests that wait for the decision on their message, by message number.
#[derive(Debug, Default)]
pub struct Admission {
    awaiting: BTreeMap<u32, Vec<Requester>>,
}

impl Admission {
    /// Registers a request that waits for the decision on a message.
    pub fn await_decision(&mut self, message: u32, requester: Requester) {
        self.awaiting.entry(message).or_default().push(requester);
    }

    /// Whether the decision on a message is outstanding.
    pub fn awaits_decision(&self, message: u32) -> bool {
        self.awaiting.contains_key(&message)
    }

    /// Removes all waiting requests and decides each of their messages: rejected or failed if one of the
    /// actions says so, accepted otherwise.
    pub fn decide(&mut self, actions: Vec<Action>) -> DecidedActions {
        let mut not_accepted: BTreeMap<u32, Answer> = BTreeMap::new();
        let mut to_execute = Vec::new();
        for action in actions {
            match action {
                Action::Reject { message, retry_after } if self.awaits_decision(message) => {
                    not_accepted.insert(message, Answer::Rejected { retry_after });
                }
                Action::Fail { message } if self.awaits_decision(message) => {
                    not_accepted.insert(message, Answer::Failed);
                }
                other => to_execute.push(other),
            }
        }
        DecidedActions { admissions: self.decide_awaiting(&not_accepted), to_execute }
    }

    /// Removes all waiting requests and accepts each of their messages.
    pub fn accept_all(&mut self) -> Vec<AdmissionDecision> {
        self.decide_awaiting(&BTreeMap::new())
    }

    fn decide_awaiting(&mut self, not_accepted: &BTreeMap<u32, Answer>) -> Vec<AdmissionDecision> {
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
