//! Admission control: the clients that wait for the decision on their message, and the HTTP responses to
//! clients.
//!
//! Clients are known by connection id only; connections to endpoints are not handled here.

use super::client_connections::ClientId;
use super::request::RequestError;
use linnetcart::{Action, Time};
use linnetcart_http::{encode_response, Persistence};
use std::collections::BTreeMap;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A client that is waiting for a response, and whether its connection is kept open afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// Id of the connection on which the client waits for the response.
    pub client: ClientId,
    /// Whether the client's request permits keeping the connection open after the response.
    pub persistence: Persistence,
}

/// The answer to a client's request, sent as an HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// `GET /ready`: the journal is writable, so messages can be accepted.
    Ready,
    /// `GET /ready`: the journal is unwritable, so no message can be accepted.
    NotReady,
    /// The message is accepted.
    Accepted,
    /// The message is rejected without an attempt.
    Rejected {
        /// The `Retry-After` of the response, in nanoseconds; 0 for a response without that field.
        retry_after: Time,
    },
    /// The decision library failed the message before any attempt.
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

    /// Encodes the HTTP response.
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

/// The decision on a submitted message, and the clients that receive it.
#[derive(Debug, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// The message's number.
    pub message: u32,
    /// The answer that every one of `requesters` gets.
    pub answer: Answer,
    /// The clients that submitted the message.
    pub requesters: Vec<Requester>,
}

/// The actions of a decision, split into answers to submissions and all other actions.
#[derive(Debug, PartialEq)]
pub struct DecidedActions {
    /// One decision for each message that had none. An action that rejects or fails such a message is
    /// replaced by its answer.
    pub admissions: Vec<AdmissionDecision>,
    /// All other actions in their original order. A rejection or failure among them concerns a message that
    /// was accepted before.
    pub to_execute: Vec<Action>,
}

/// The messages that were submitted and are not decided yet.
#[derive(Debug, Default)]
pub struct Admission {
    /// The clients that submitted each message, by message number.
    undecided: BTreeMap<u32, Vec<Requester>>,
}

impl Admission {
    /// Adds a client to those that get the answer decided for a message: accepted, rejected or failed.
    pub fn await_decision(&mut self, message: u32, requester: Requester) {
        self.undecided.entry(message).or_default().push(requester);
    }

    /// Returns the message whose decision a client awaits.
    pub fn awaited_by(&self, client: ClientId) -> Option<u32> {
        let awaits = |requesters: &[Requester]| requesters.iter().any(|requester| requester.client == client);
        self.undecided.iter().find(|(_, requesters)| awaits(requesters)).map(|(&message, _)| message)
    }

    /// Whether a message was submitted and is not decided yet.
    pub fn awaits_decision(&self, message: u32) -> bool {
        self.undecided.contains_key(&message)
    }

    /// Decides and removes every undecided message: rejected or failed if one of the actions says so,
    /// accepted otherwise.
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
        DecidedActions { admissions: self.decide_all(&not_accepted), to_execute }
    }

    /// Accepts and removes every undecided message.
    pub fn accept_all(&mut self) -> Vec<AdmissionDecision> {
        self.decide_all(&BTreeMap::new())
    }

    fn decide_all(&mut self, not_accepted: &BTreeMap<u32, Answer>) -> Vec<AdmissionDecision> {
        let mut decisions = Vec::new();
        for (message, requesters) in std::mem::take(&mut self.undecided) {
            let answer = not_accepted.get(&message).copied().unwrap_or(Answer::Accepted);
            decisions.push(AdmissionDecision { message, answer, requesters });
        }
        decisions
    }
}

#[cfg(test)]
mod tests;
