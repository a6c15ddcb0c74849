//! A model of the messages that were sent, by which each call and each response of the core is checked
//! against the delivery rules.

use crate::harness::{Call, CoreHarness, MS};
use linnetcart_edge::delivery_events::DeliveryEvent;
use linnetcart_kafka::client::ProduceReply;
use linnetcart_kafka::codes;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint of the harness.
pub struct KnownEndpoint {
    pub id: u32,
    pub destination: u32,
    pub kind: &'static str,
}

/// The class whose messages are ordered by key.
pub const ORDERED_CLASS: usize = 1;
/// The class whose messages are not idempotent.
const NOT_IDEMPOTENT_CLASS: usize = 2;
/// The maximum number of attempts per message in the settings.
const MAX_ATTEMPTS: usize = 6;

pub const ENDPOINTS: [KnownEndpoint; 4] = [
    KnownEndpoint { id: 10, destination: 1, kind: "large" },
    KnownEndpoint { id: 11, destination: 1, kind: "large" },
    KnownEndpoint { id: 20, destination: 2, kind: "small" },
    KnownEndpoint { id: 30, destination: 3, kind: "batch" },
];

/// The limit that applies to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitKey {
    Destination(u32),
    Route(u32),
}

/// Identifies a call that an endpoint has received.
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

/// A call without a response, and the names of its messages.
#[derive(Clone, Debug)]
pub struct CallInFlight {
    pub endpoint: u32,
    pub names: Vec<String>,
}

/// A Produce request without a response.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The correlation id of the request.
    pub number: i32,
    /// The deadline of the request's messages, by the monotonic clock in nanoseconds.
    pub deadline: u64,
    pub names: Vec<String>,
}

/// A message that a client sent.
#[derive(Debug, Default)]
pub struct SentMessage {
    pub class: usize,
    pub key: Option<String>,
    pub deadline: u64,
    /// The position of the message in the order in which messages were sent.
    pub order: usize,
    /// Whether the response to the message's request was received.
    pub answered: bool,
    /// Whether the message has its final answer. The response may still wait for other records of the
    /// request.
    pub completed: bool,
    /// Whether the message was accepted. Only accepted messages count for the order of a key.
    pub accepted: bool,
    /// How many attempts of the message may have been executed.
    pub possible_executions: usize,
    /// How many attempts of the message endpoints have received.
    pub attempts: usize,
    /// Whether the client of the message has disconnected.
    pub client_disconnected: bool,
}

/// Everything that was sent and received.
#[derive(Default)]
pub struct Model {
    pub sent: BTreeMap<String, SentMessage>,
    /// The requests of each client without a response, in order.
    pub waiting: BTreeMap<u64, Vec<WaitingRequest>>,
    /// The calls without a response.
    pub calls_in_flight: BTreeMap<CallKey, CallInFlight>,
    /// Until when a Retry-After blocks a limit, by the monotonic clock in nanoseconds.
    pub blocked_until: BTreeMap<LimitKey, u64>,
    /// The endpoints that are ready.
    pub ready: BTreeSet<u32>,
    /// The calls that were checked, each of which is checked only once.
    pub seen_calls: BTreeSet<CallKey>,
    /// How many responses were checked, by client.
    pub checked_responses: BTreeMap<u64, usize>,
    /// The names of the accepted messages, by message number.
    pub names: BTreeMap<u32, String>,
    /// The clients that have disconnected.
    pub disconnected: BTreeSet<u64>,
    /// The clients that have shut down their sending side.
    pub half_closed: BTreeSet<u64>,
}

/// Whether the calls without a response on a closed connection may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnansweredCalls {
    NotExecuted,
    PossiblyExecuted,
}

/// Returns the limit of an endpoint.
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
    /// Checks what happened since the last check.
    pub fn check(&mut self, harness: &mut CoreHarness) -> Result<(), TestCaseError> {
        for event in harness.core.delivery_events() {
            self.record(event);
        }
        self.check_calls(harness)?;
        self.check_responses(harness)
    }

    fn record(&mut self, event: DeliveryEvent) {
        match event {
            DeliveryEvent::Accepted { message, name, .. } => {
                let name = String::from_utf8(name.to_vec()).unwrap();
                self.sent.get_mut(&name).unwrap().accepted = true;
                self.names.insert(message, name);
            }
            DeliveryEvent::Completed { message, .. } => {
                let name = self.names.get(&message);
                if let Some(completed) = name.and_then(|name| self.sent.get_mut(name)) {
                    completed.completed = true;
                }
            }
            _ => {}
        }
    }

    /// Checks that the calls since the last check were permitted.
    fn check_calls(&mut self, harness: &CoreHarness) -> Result<(), TestCaseError> {
        for call in &harness.calls {
            if !self.seen_calls.insert(CallKey::of(call)) {
                continue;
            }
            self.check_call(call)?;
            let names: Vec<String> = call.values().cloned().collect();
            for name in &names {
                let message = self.sent.get_mut(name).unwrap();
                message.possible_executions += 1;
                message.attempts += 1;
            }
            self.calls_in_flight.insert(CallKey::of(call), CallInFlight { endpoint: call.endpoint, names });
        }
        Ok(())
    }

    fn check_call(&self, call: &Call) -> Result<(), TestCaseError> {
        prop_assert!(self.ready.contains(&call.endpoint), "rule 3: endpoint {} is not ready", call.endpoint);
        let blocked_until = self.blocked_until.get(&limit(call.endpoint)).copied().unwrap_or(0);
        let early = blocked_until.saturating_sub(call.received_at);
        prop_assert!(early == 0, "rule 6: {} ms before the Retry-After is over", early / MS);
        for name in call.values() {
            let message = &self.sent[name];
            let is_answered_or_expired = message.answered || call.received_at >= message.deadline;
            prop_assert!(!is_answered_or_expired, "rule 1: {name} has its answer or has expired");
            let is_repeatable = message.class != NOT_IDEMPOTENT_CLASS || message.possible_executions == 0;
            prop_assert!(is_repeatable, "rule 2: {name} may have been executed");
            prop_assert!(message.attempts < MAX_ATTEMPTS, "{name} has had all its attempts");
            prop_assert!(!self.has_predecessor(message), "rule 5: {name} is not the first of its key");
        }
        Ok(())
    }

    /// Returns whether an earlier message with the same key must be completed first.
    fn has_predecessor(&self, message: &SentMessage) -> bool {
        if message.class != ORDERED_CLASS || message.key.is_none() {
            return false;
        }
        self.sent.values().any(|other| {
            let is_earlier = other.order < message.order;
            let is_open = other.accepted && !other.answered && !other.client_disconnected && !other.completed;
            other.class == ORDERED_CLASS && other.key == message.key && is_earlier && is_open
        })
    }

    /// Checks the responses since the last check.
    fn check_responses(&mut self, harness: &CoreHarness) -> Result<(), TestCaseError> {
        for (client, replies) in &harness.responses {
            let checked = self.checked_responses.entry(*client).or_default();
            let new = replies.iter().zip(&harness.response_times[client]).skip(*checked);
            *checked = replies.len();
            for (reply, &sent_at) in new {
                self.check_response(*client, reply, sent_at)?;
            }
        }
        Ok(())
    }

    fn check_response(
        &mut self,
        client: u64,
        reply: &ProduceReply,
        sent_at: u64,
    ) -> Result<(), TestCaseError> {
        let waiting = self.waiting.get_mut(&client).unwrap();
        prop_assert!(!waiting.is_empty(), "rule 1: a response without a request");
        let WaitingRequest { number, deadline, names } = waiting.remove(0);
        prop_assert_eq!(number, reply.correlation, "responses are sent in order");
        let code = reply.parts[0].code;
        // A request for an unknown partition has no deadline: its response waits for those before it.
        let has_deadline = code != codes::UNKNOWN_TOPIC_OR_PARTITION;
        let late = sent_at.saturating_sub(deadline);
        prop_assert!(!has_deadline || late <= MS, "rule 1: {} ms late", late / MS);
        for name in names {
            let message = self.sent.get_mut(&name).unwrap();
            prop_assert!(!message.answered, "rule 1: answered twice");
            message.answered = true;
            let is_repeatable = message.class != NOT_IDEMPOTENT_CLASS || message.possible_executions == 0;
            prop_assert!(code != codes::NOT_ENOUGH_REPLICAS || is_repeatable, "rule 2: {name} rejected");
        }
        Ok(())
    }

    /// Records a request of a client.
    pub fn request_sent(&mut self, client: u64, request: WaitingRequest) {
        self.waiting.get_mut(&client).unwrap().push(request);
    }

    /// Records that a call with these messages was not executed after all.
    pub fn not_executed(&mut self, names: &[String]) {
        for name in names {
            self.sent.get_mut(name).unwrap().possible_executions -= 1;
        }
    }

    /// Removes the calls on a connection that was closed.
    pub fn connection_closed(&mut self, connection: u64, calls: UnansweredCalls) {
        for (key, call) in self.calls_in_flight.clone() {
            if key.connection != connection {
                continue;
            }
            self.calls_in_flight.remove(&key);
            if calls == UnansweredCalls::NotExecuted {
                self.not_executed(&call.names);
            }
        }
    }

    /// Removes the requests of a client that disconnected.
    pub fn client_disconnected(&mut self, client: u64) {
        for request in std::mem::take(self.waiting.get_mut(&client).unwrap()) {
            for name in request.names {
                self.sent.get_mut(&name).unwrap().client_disconnected = true;
            }
        }
    }
}
