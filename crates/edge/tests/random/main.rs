//! The core under random clients, endpoints, connection failures, list updates and clocks. The rules are
//! asserted at each call that leaves and each response that comes.

#[path = "../harness/mod.rs"]
mod harness;
mod model;

use harness::*;
use linnetcart_edge::settings::EntryState;
use linnetcart_kafka::codes;
use linnetcart_kafka::server;
use model::{limit, CallKey, CallOut, Model, SentMessage, WaitingRequest, ENDPOINTS};
use proptest::prelude::*;
use proptest::sample::Index;

#[derive(Clone, Debug)]
enum Step {
    Send { client: u8, class: u8, place: u8, key: u8, deadline: u16, batch: u8 },
    Reply(Index, u8, u16),
    Disconnect(Index, u8),
    Connect(Index),
    FailConnect(Index),
    Negotiate(Index),
    Garbage(Index),
    DisconnectClient(u8),
    HalfCloseClient(u8),
    Advance(u16),
    UpdateList(u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    let at = any::<Index>();
    prop_oneof![
        6 => (0u8..3, 0u8..3, 0u8..3, 0u8..3, 50u16..4000, 1u8..4).prop_map(
            |(client, class, place, key, deadline, batch)| Step::Send { client, class, place, key, deadline, batch }),
        8 => (at, 0u8..4, 0u16..900).prop_map(|(a, c, w)| Step::Reply(a, c, w)),
        2 => (any::<Index>(), 0u8..3).prop_map(|(a, w)| Step::Disconnect(a, w)),
        8 => any::<Index>().prop_map(Step::Connect),
        1 => any::<Index>().prop_map(Step::FailConnect),
        8 => any::<Index>().prop_map(Step::Negotiate),
        1 => any::<Index>().prop_map(Step::Garbage),
        1 => (0u8..3).prop_map(Step::DisconnectClient),
        1 => (0u8..3).prop_map(Step::HalfCloseClient),
        8 => (1u16..600).prop_map(Step::Advance),
        1 => (0u8..4, 0u8..3).prop_map(|(e, s)| Step::UpdateList(e, s)),
    ]
}

const TOPICS: [&str; 3] = ["status", "proxy", "order"];

/// Latest deadlines of the classes, in milliseconds.
const CLASS_DEADLINES_MS: [u64; 3] = [8000, 6000, 3000];
const CLIENTS: std::ops::Range<u64> = 0..3;
/// Time after the last step in which all must be answered, in steps of 100 ms.
const FINAL_ADVANCES: usize = 90;

fn pick<T: Copy>(at: &Index, from: &[T]) -> Option<T> {
    (!from.is_empty()).then(|| from[at.index(from.len())])
}

/// The core, and what must hold of it.
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
            Step::Send { client, class, place, key, deadline, batch } => {
                let key = (class == 1 && key > 0).then(|| format!("k{key}"));
                let time_left_ms = u64::from(deadline).min(CLASS_DEADLINES_MS[usize::from(class)]);
                self.send(u64::from(client), class, i32::from(place) + 1, key, time_left_ms, batch);
            }
            Step::Reply(at, code, wait) => self.reply(&at, code, wait),
            Step::Disconnect(at, how) => self.disconnect(&at, how),
            Step::Connect(at) => self.connect(&at),
            Step::FailConnect(at) => self.fail_connect(&at),
            Step::Negotiate(at) => self.negotiate(&at),
            Step::Garbage(at) => self.send_garbage(&at),
            Step::DisconnectClient(client) => self.disconnect_client(u64::from(client)),
            Step::HalfCloseClient(client) => self.half_close_client(u64::from(client)),
            Step::Advance(ms) => self.harness.advance(u64::from(ms)),
            Step::UpdateList(endpoint, state) => self.update_list(endpoint, state),
        }
    }

    fn send(
        &mut self,
        client: u64,
        class: u8,
        destination: i32,
        key: Option<String>,
        time_left_ms: u64,
        batch: u8,
    ) {
        if self.model.gone.contains(&client) || self.model.half.contains(&client) {
            return;
        }
        let deadline = self.harness.now + time_left_ms * MS;
        let mut names = Vec::new();
        let mut records = Vec::new();
        for _ in 0..batch {
            self.sent_count += 1;
            let name = format!("m{}", self.sent_count);
            let mut record = record_with_header(&name, "deadline-ms", &time_left_ms.to_string());
            record.headers.push(("message-id".into(), Some(bytes::Bytes::from(name.clone()))));
            record.key = key.clone().map(bytes::Bytes::from);
            records.push(record);
            let sent = SentMessage {
                class: usize::from(class),
                key: key.clone(),
                deadline,
                order: self.sent_count,
                ..SentMessage::default()
            };
            self.model.sent.insert(name.clone(), sent);
            names.push(name);
        }
        let number = self.harness.correlation + 1;
        self.model.request_sent(client, WaitingRequest { number, deadline, names });
        self.harness.send(client, &[(TOPICS[usize::from(class)], destination, &records)]);
    }

    fn reply(&mut self, at: &Index, code: u8, wait_ms: u16) {
        let is_open = |key: &CallKey| self.harness.connections.contains_key(&key.connection);
        let keys: Vec<CallKey> = self.model.out.keys().copied().filter(is_open).collect();
        let Some(key) = pick(at, &keys) else { return };
        let CallOut { endpoint, names } = self.model.out.remove(&key).unwrap();
        let Some(index) = self.harness.calls.iter().position(|call| CallKey::of(call) == key) else { return };
        let call = self.harness.calls.remove(index);
        let reply_codes = [codes::NONE, codes::THROTTLING_QUOTA_EXCEEDED, codes::UNKNOWN_SERVER_ERROR, 7];
        let code = reply_codes[usize::from(code)];
        let throttled = code == codes::THROTTLING_QUOTA_EXCEEDED;
        let wait_ms = if throttled { wait_ms } else { 0 };
        if throttled {
            self.model.not_executed(&names);
            // A Retry-After of a call that was abandoned long ago is not heard.
            let heard = self.harness.core.status().abandoned_connections == 0;
            if wait_ms > 0 && heard {
                let until = self.model.blocked_until.entry(limit(endpoint)).or_default();
                *until = (*until).max(self.harness.now + u64::from(wait_ms) * MS);
            }
        }
        self.harness.reply_to(&call, code, i32::from(wait_ms));
    }

    /// Connections that are connected.
    fn connected(&self) -> Vec<u64> {
        let connections = self.harness.connections.iter();
        connections.filter(|(_, connection)| connection.connected).map(|(id, _)| *id).collect()
    }

    /// The endpoint closes a connection after it took nothing, all but a byte, or all of what was written.
    fn disconnect(&mut self, at: &Index, how: u8) {
        let Some(connection) = pick(at, &self.connected()) else { return };
        let all = self.harness.connections.remove(&connection).unwrap().received_bytes;
        let written = [0, all.saturating_sub(1), all][usize::from(how)];
        self.model.connection_ended(connection, written != 0);
        self.harness.core.clock(self.harness.now);
        self.harness.core.upstream_disconnected(connection, written);
        self.harness.process_after_tick();
    }

    fn connect(&mut self, at: &Index) {
        let Some(connection) = pick(at, &self.harness.connecting) else { return };
        self.harness.connecting.retain(|&id| id != connection);
        self.harness.connect(connection);
    }

    fn fail_connect(&mut self, at: &Index) {
        let Some(connection) = pick(at, &self.harness.connecting) else { return };
        self.harness.connecting.retain(|&id| id != connection);
        self.harness.connections.remove(&connection);
        self.harness.core.upstream_connect_failed(connection);
        self.harness.process_after_tick();
    }

    fn negotiate(&mut self, at: &Index) {
        let has_calls = |id: u64| self.model.seen_calls.iter().any(|call| call.connection == id);
        let is_fresh = |id: &u64| self.harness.connections[id].received_bytes > 0 && !has_calls(*id);
        let fresh: Vec<u64> = self.connected().into_iter().filter(is_fresh).collect();
        let Some(connection) = pick(at, &fresh) else { return };
        self.harness.negotiate(connection);
    }

    fn send_garbage(&mut self, at: &Index) {
        let Some(connection) = pick(at, &self.connected()) else { return };
        self.model.connection_ended(connection, true);
        let garbage = server::produce(i32::MAX, 9, &[], 0, None);
        self.harness.core.upstream_received(connection, &garbage);
        self.harness.process_after_tick();
    }

    fn disconnect_client(&mut self, client: u64) {
        if self.model.gone.insert(client) {
            self.model.client_gone(client);
            self.harness.core.client_disconnected(client);
            self.harness.process_after_tick();
        }
    }

    fn half_close_client(&mut self, client: u64) {
        if !self.model.gone.contains(&client) && self.model.half.insert(client) {
            self.harness.core.client_half_closed(client);
            self.harness.process_after_tick();
        }
    }

    fn update_list(&mut self, endpoint: u8, state: u8) {
        let endpoint = &ENDPOINTS[usize::from(endpoint)];
        let state = [EntryState::Ready, EntryState::Draining, EntryState::Removed][usize::from(state)];
        if state == EntryState::Ready {
            self.model.ready.insert(endpoint.id);
        } else {
            self.model.ready.remove(&endpoint.id);
        }
        let entry = entry(endpoint.id, endpoint.destination, endpoint.kind, state);
        self.harness.update_list(false, vec![entry]);
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        self.model.check(&mut self.harness)
    }

    /// After all time-outs every request has its response and nothing is left in flight.
    fn finish(mut self) -> Result<(), TestCaseError> {
        for _ in 0..FINAL_ADVANCES {
            self.harness.advance(100);
            self.check()?;
        }
        for (client, waiting) in &self.model.waiting {
            prop_assert!(waiting.is_empty(), "rule 1: client {client} still waits for {waiting:?}");
        }
        let status = self.harness.core.status();
        prop_assert_eq!(
            (status.in_flight, status.in_flight_bytes, status.calls),
            (0, 0, 0),
            "nothing is left behind"
        );
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, max_shrink_iters: 3000, ..ProptestConfig::default() })]

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
