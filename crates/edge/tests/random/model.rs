//! What is known of the messages that were sent, and the rules that calls and responses must keep to.

use crate::harness::{Call, CoreHarness, MS};
use linnetcart_edge::delivery_events::DeliveryEvent;
use linnetcart_kafka::codes;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint of the harness.
pub struct KnownEndpoint {
    pub id: u32,
    pub destination: u32,
    pub kind: &'static str,
}

pub const ENDPOINTS: [KnownEndpoint; 4] = [
    KnownEndpoint { id: 10, destination: 1, kind: "large" },
    KnownEndpoint { id: 11, destination: 1, kind: "large" },
    KnownEndpoint { id: 20, destination: 2, kind: "small" },
    KnownEndpoint { id: 30, destination: 3, kind: "batch" },
];

/// The limit that calls come under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitKey {
    Destination(u32),
    Route(u32),
}

/// A call that reached an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey {
    pub connection: u64,
    pub correlation: i32,
}

impl CallKey {
    pub fn of(call: &Call) -> Self {
        CallKey { connection: call.connection, correlation: call.correlation }
    }
}

/// What a call out carries.
#[derive(Clone, Debug)]
pub struct CallOut {
    pub endpoint: u32,
    pub names: Vec<String>,
}

/// A request without a response.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    pub number: i32,
    pub deadline: u64,
    pub names: Vec<String>,
}

#[derive(Debug, Default)]
pub struct SentMessage {
    pub class: usize,
    pub key: Option<String>,
    pub deadline: u64,
    pub order: usize,
    pub answered: bool,
    /// It has its final answer, which waits for those of other records of its request.
    pub completed: bool,
    /// It was accepted: what is rejected before has no place in its key's order.
    pub accepted: bool,
    /// Attempts that may have been executed, and all.
    pub possible_executions: usize,
    pub attempts: usize,
    /// Its client has disconnected.
    pub gone: bool,
}

#[derive(Default)]
pub struct Model {
    pub sent: BTreeMap<String, SentMessage>,
    /// For each client the requests without a response, in order.
    pub waiting: BTreeMap<u64, Vec<WaitingRequest>>,
    /// Calls out by connection and correlation id.
    pub out: BTreeMap<CallKey, CallOut>,
    /// Until when a limit is blocked by a Retry-After.
    pub blocked_until: BTreeMap<LimitKey, u64>,
    pub ready: BTreeSet<u32>,
    pub seen_calls: BTreeSet<CallKey>,
    /// Responses that were checked, by client.
    pub checked_responses: BTreeMap<u64, usize>,
    pub numbers: BTreeMap<u32, String>,
    pub gone: BTreeSet<u64>,
    pub half: BTreeSet<u64>,
}

/// The limit of an endpoint.
pub fn limit(endpoint: u32) -> LimitKey {
    let of_endpoint = |known: &&KnownEndpoint| known.id == endpoint;
    let known = ENDPOINTS.iter().find(of_endpoint).unwrap();
    if known.kind == "small" {
        LimitKey::Route(endpoint)
    } else {
        LimitKey::Destination(known.destination)
    }
}

impl Model {
    /// Calls since the last check must have been permitted.
    fn check_calls(&mut self, harness: &CoreHarness) -> Result<(), TestCaseError> {
        for c in &harness.calls {
            if !self.seen_calls.insert(CallKey::of(c)) {
                continue;
            }
            prop_assert!(self.ready.contains(&c.endpoint), "rule 3: {} is not in service", c.endpoint);
            let wait = self.blocked_until.get(&limit(c.endpoint)).copied().unwrap_or(0);
            prop_assert!(wait <= c.at, "rule 6: {} ms too early", (wait.max(c.at) - c.at) / MS);
            let names: Vec<String> = c.parts.iter().flat_map(|p| p.2.clone()).collect();
            for name in &names {
                let s = &self.sent[name];
                prop_assert!(!s.answered && c.at < s.deadline, "rule 1: {name} is over");
                prop_assert!(s.class != 2 || s.possible_executions == 0, "rule 2: {name} may have run");
                prop_assert!(s.attempts < 6, "{name} has had its attempts");
                if let (1, Some(key)) = (s.class, &s.key) {
                    let earlier = self.sent.values().filter(|o| {
                        o.class == 1
                            && o.key.as_ref() == Some(key)
                            && o.order < s.order
                            && o.accepted
                            && !o.answered
                            && !o.gone
                            && !o.completed
                    });
                    prop_assert!(earlier.count() == 0, "rule 5: {name} is not first of its key");
                }
            }
            for name in &names {
                let s = self.sent.get_mut(name).unwrap();
                s.possible_executions += 1;
                s.attempts += 1;
            }
            self.out.insert(CallKey::of(c), CallOut { endpoint: c.endpoint, names });
        }
        Ok(())
    }

    /// Responses since the last check must be right.
    fn check_responses(&mut self, harness: &CoreHarness) -> Result<(), TestCaseError> {
        for (client, answers) in &harness.responses {
            let seen = self.checked_responses.entry(*client).or_default();
            for (n, a) in answers.iter().enumerate().skip(*seen) {
                let at = harness.response_times[client][n];
                let waiting = self.waiting.get_mut(client).unwrap();
                prop_assert!(!waiting.is_empty(), "rule 1: an answer that nobody waits for");
                let WaitingRequest { number, deadline, names } = waiting.remove(0);
                prop_assert_eq!(number, a.correlation, "answers go in order");
                let code = a.parts[0].code;
                // What was never accepted has no deadline of its own: it waits for the responses before it.
                let taken = code != codes::UNKNOWN_TOPIC_OR_PARTITION;
                prop_assert!(!taken || at <= deadline + MS, "rule 1: {} ms late", (at - deadline) / MS);
                for name in names {
                    let s = self.sent.get_mut(&name).unwrap();
                    prop_assert!(!s.answered, "rule 1: answered twice");
                    s.answered = true;
                    prop_assert!(
                        code != codes::NOT_ENOUGH_REPLICAS || s.class != 2 || s.possible_executions == 0,
                        "rule 2: {name} rejected"
                    );
                }
            }
            *seen = answers.len();
        }
        Ok(())
    }

    /// Checks what happened since the last check.
    pub fn check(&mut self, harness: &mut CoreHarness) -> Result<(), TestCaseError> {
        for event in harness.core.delivery_events() {
            match event {
                DeliveryEvent::Accepted { message, name, .. } => {
                    let name = String::from_utf8(name.to_vec()).unwrap();
                    self.sent.get_mut(&name).unwrap().accepted = true;
                    self.numbers.insert(message, name);
                }
                DeliveryEvent::Completed { message, .. } => {
                    if let Some(s) = self.numbers.get(&message).and_then(|n| self.sent.get_mut(n)) {
                        s.completed = true;
                    }
                }
                _ => {}
            }
        }
        self.check_calls(harness)?;
        self.check_responses(harness)
    }

    /// A client sent a request.
    pub fn request_sent(&mut self, client: u64, request: WaitingRequest) {
        self.waiting.get_mut(&client).unwrap().push(request);
    }

    /// Nothing of these messages was executed by a call that counted as possibly executed.
    pub fn not_executed(&mut self, names: &[String]) {
        for name in names {
            self.sent.get_mut(name).unwrap().possible_executions -= 1;
        }
    }

    /// Forgets the calls on a connection that ended; `left`: whether something of them left.
    pub fn connection_ended(&mut self, connection: u64, left: bool) {
        for (key, call) in self.out.clone() {
            if key.connection != connection {
                continue;
            }
            self.out.remove(&key);
            if !left {
                self.not_executed(&call.names);
            }
        }
    }

    /// Nobody waits for the requests of a client any more.
    pub fn client_gone(&mut self, client: u64) {
        for request in std::mem::take(self.waiting.get_mut(&client).unwrap()) {
            for name in request.names {
                self.sent.get_mut(&name).unwrap().gone = true;
            }
        }
    }
}
