//! Property test: the core under random inputs of clients, endpoints, connections and list updates. The
//! delivery rules (numbered as in the decision library) are checked for each call that is sent and each
//! response.

mod model;
mod step;

use crate::harness::*;
use linnetcart_edge::core::ConnectFailure;
use linnetcart_edge::settings::EntryState;
use linnetcart_kafka::{codes, server, RecordHeader};
use model::{
    limit, CallInFlight, CallKey, Model, SentMessage, UnansweredCalls, WaitingRequest, ENDPOINTS,
    ORDERED_CLASS,
};
use proptest::prelude::*;
use proptest::sample::Index;
use step::{step, SendStep, Step};

/// The topics, by class.
const TOPICS: [&str; 3] = ["status", "proxy", "order"];
/// The deadlines of the classes, in milliseconds.
const CLASS_DEADLINES_MS: [u64; 3] = [8000, 6000, 3000];
const CLIENTS: std::ops::Range<u64> = 0..3;
/// How many times the clock advances by 100 ms after the last step. Then every request must have its
/// response.
const FINAL_ADVANCES: usize = 90;
/// An error code (`REQUEST_TIMED_OUT`) that the core treats like any other error.
const OTHER_ERROR: i16 = 7;
const REPLY_CODES: [i16; 4] =
    [codes::NONE, codes::THROTTLING_QUOTA_EXCEEDED, codes::UNKNOWN_SERVER_ERROR, OTHER_ERROR];

/// Returns the element that a random index selects, or `None` if there is none.
fn pick<T: Copy>(index: &Index, from: &[T]) -> Option<T> {
    (!from.is_empty()).then(|| from[index.index(from.len())])
}

/// The core, and the model that it must agree with.
struct Run {
    harness: CoreHarness,
    model: Model,
    sent_count: usize,
}

impl Run {
    fn new() -> Self {
        let mut harness = CoreHarness::new();
        harness.auto_connect = false;
        let mut model =
            Model { ready: ENDPOINTS.iter().map(|endpoint| endpoint.id).collect(), ..Model::default() };
        for client in CLIENTS {
            harness.connect_client(client);
            model.waiting.insert(client, Vec::new());
        }
        Run { harness, model, sent_count: 0 }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Send(send) => self.send(send),
            Step::Reply { call, code, retry_after_ms } => {
                self.reply(&call, REPLY_CODES[usize::from(code)], retry_after_ms);
            }
            Step::Disconnect { connection, read } => self.disconnect(&connection, read),
            Step::Connect(connection) => self.connect(&connection),
            Step::FailConnect(connection) => self.fail_connect(&connection),
            Step::Negotiate(connection) => self.negotiate(&connection),
            Step::Garbage(connection) => self.send_garbage(&connection),
            Step::DisconnectClient(client) => self.disconnect_client(u64::from(client)),
            Step::HalfCloseClient(client) => self.half_close_client(u64::from(client)),
            Step::AdvanceMs(ms) => self.harness.advance(u64::from(ms)),
            Step::ChangeList { endpoint, state } => self.change_list(endpoint, state),
        }
    }

    fn send(&mut self, send: SendStep) {
        let client = u64::from(send.client);
        if self.model.disconnected.contains(&client) || self.model.half_closed.contains(&client) {
            return;
        }
        let class = usize::from(send.class);
        let key = (class == ORDERED_CLASS && send.key > 0).then(|| format!("k{}", send.key));
        let time_left_ms = u64::from(send.time_left_ms).min(CLASS_DEADLINES_MS[class]);
        let deadline = self.harness.now + time_left_ms * MS;
        let mut names = Vec::new();
        let mut records = Vec::new();
        for _ in 0..send.record_count {
            self.sent_count += 1;
            let name = format!("m{}", self.sent_count);
            let mut record = record_with_header(&name, "deadline-ms", &time_left_ms.to_string());
            record.headers.push(RecordHeader::new("message-id", name.clone()));
            record.key = key.clone().map(bytes::Bytes::from);
            records.push(record);
            let order = self.sent_count;
            let sent = SentMessage { class, key: key.clone(), deadline, order, ..SentMessage::default() };
            self.model.sent.insert(name.clone(), sent);
            names.push(name);
        }
        let number = self.harness.correlation + 1;
        self.model.request_sent(client, WaitingRequest { number, deadline, names });
        self.harness.send(client, &[target(TOPICS[class], i32::from(send.destination), &records)]);
    }

    fn reply(&mut self, call: &Index, code: i16, retry_after_ms: u16) {
        let is_open = |key: &CallKey| self.harness.connections.contains_key(&key.connection);
        let keys: Vec<CallKey> = self.model.calls_in_flight.keys().copied().filter(is_open).collect();
        let Some(key) = pick(call, &keys) else { return };
        let CallInFlight { endpoint, names } = self.model.calls_in_flight.remove(&key).unwrap();
        let Some(index) = self.harness.calls.iter().position(|call| CallKey::of(call) == key) else { return };
        let call = self.harness.calls.remove(index);
        let throttled = code == codes::THROTTLING_QUOTA_EXCEEDED;
        let retry_after_ms = if throttled { retry_after_ms } else { 0 };
        if throttled {
            self.model.not_executed(&names);
            // The core may no longer know the limit of an abandoned call's endpoint, so this Retry-After is
            // not checked.
            let is_checked = self.harness.core.status().abandoned_connections == 0;
            if retry_after_ms > 0 && is_checked {
                let until = self.model.blocked_until.entry(limit(endpoint)).or_default();
                *until = (*until).max(self.harness.now + u64::from(retry_after_ms) * MS);
            }
        }
        self.harness.reply_to(&call, code, i32::from(retry_after_ms));
    }

    /// Returns the established connections.
    fn connected(&self) -> Vec<u64> {
        let connections = self.harness.connections.iter();
        connections.filter(|(_, connection)| connection.connected).map(|(id, _)| *id).collect()
    }

    fn disconnect(&mut self, connection: &Index, read: u8) {
        let Some(connection) = pick(connection, &self.connected()) else { return };
        let all = self.harness.connections.remove(&connection).unwrap().received_bytes;
        let read_bytes = [0, all.saturating_sub(1), all][usize::from(read)];
        let calls =
            if read_bytes == 0 { UnansweredCalls::NotExecuted } else { UnansweredCalls::PossiblyExecuted };
        self.model.connection_closed(connection, calls);
        self.harness.core.clock(self.harness.now);
        self.harness.core.upstream_disconnected(connection, read_bytes);
        self.harness.process_after_tick();
    }

    fn connect(&mut self, connection: &Index) {
        let Some(connection) = pick(connection, &self.harness.connecting) else { return };
        self.harness.connecting.retain(|&id| id != connection);
        self.harness.connect(connection);
    }

    fn fail_connect(&mut self, connection: &Index) {
        let Some(connection) = pick(connection, &self.harness.connecting) else { return };
        self.harness.connecting.retain(|&id| id != connection);
        self.harness.connections.remove(&connection);
        self.harness.core.upstream_connect_failed(connection, ConnectFailure::Remote);
        self.harness.process_after_tick();
    }

    fn negotiate(&mut self, connection: &Index) {
        let has_calls = |id: u64| self.model.seen_calls.iter().any(|call| call.connection == id);
        let is_new = |id: &u64| self.harness.connections[id].received_bytes > 0 && !has_calls(*id);
        let new: Vec<u64> = self.connected().into_iter().filter(is_new).collect();
        let Some(connection) = pick(connection, &new) else { return };
        self.harness.negotiate(connection);
    }

    fn send_garbage(&mut self, connection: &Index) {
        let Some(connection) = pick(connection, &self.connected()) else { return };
        self.model.connection_closed(connection, UnansweredCalls::PossiblyExecuted);
        let garbage = server::produce(i32::MAX, 9, &[], 0, None);
        self.harness.core.upstream_received(connection, &garbage);
        self.harness.process_after_tick();
    }

    fn disconnect_client(&mut self, client: u64) {
        if self.model.disconnected.insert(client) {
            self.model.client_disconnected(client);
            self.harness.core.client_disconnected(client);
            self.harness.process_after_tick();
        }
    }

    fn half_close_client(&mut self, client: u64) {
        if !self.model.disconnected.contains(&client) && self.model.half_closed.insert(client) {
            self.harness.core.client_half_closed(client);
            self.harness.process_after_tick();
        }
    }

    fn change_list(&mut self, endpoint: u8, state: u8) {
        let endpoint = &ENDPOINTS[usize::from(endpoint)];
        let state = [EntryState::Ready, EntryState::Draining, EntryState::Removed][usize::from(state)];
        if state == EntryState::Ready {
            self.model.ready.insert(endpoint.id);
        } else {
            self.model.ready.remove(&endpoint.id);
        }
        let entry = entry(endpoint.id, endpoint.destination, endpoint.kind, state);
        self.harness.change_list(vec![entry]);
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        self.model.check(&mut self.harness)
    }

    /// Checks that after the last deadline every request has its response and nothing is left in flight.
    fn finish(mut self) -> Result<(), TestCaseError> {
        for _ in 0..FINAL_ADVANCES {
            self.harness.advance(100);
            self.check()?;
        }
        for (client, waiting) in &self.model.waiting {
            prop_assert!(waiting.is_empty(), "rule 1: client {client} has no response to {waiting:?}");
        }
        let status = self.harness.core.status();
        prop_assert_eq!(
            (status.in_flight, status.in_flight_bytes, status.calls),
            (0, 0, 0),
            "nothing is left in flight"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        max_shrink_iters: 3000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn core_under_random_inputs_keeps_the_rules(steps in prop::collection::vec(step(), 1..120)) {
        let mut run = Run::new();
        for step in steps {
            run.apply(step);
            run.check()?;
        }
        run.finish()?;
    }
}
