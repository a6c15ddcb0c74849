//! The core under random clients, endpoints, endings of connections, news of the list and clocks. The rules
//! are asserted at each call that leaves and each answer that comes.

mod harness;

use harness::*;
use linnetcart_edge::delivery_events::DeliveryEvent;
use linnetcart_edge::settings::EntryState;
use linnetcart_kafka::codes;
use linnetcart_kafka::server;
use proptest::prelude::*;
use proptest::sample::Index;
use std::collections::{BTreeMap, BTreeSet};

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
const ENDPOINTS: [(u32, u32, &str); 4] =
    [(10, 1, "large"), (11, 1, "large"), (20, 2, "small"), (30, 3, "batch")];

#[derive(Debug, Default)]
struct SentMessage {
    class: usize,
    key: Option<String>,
    due: u64,
    order: usize,
    answered: bool,
    /// It has its ending, which waits for those of other records of its request.
    completed: bool,
    /// It was taken: what is turned down has no place in its key's turn.
    accepted: bool,
    /// Attempts that may have run, and all.
    possible_executions: usize,
    attempts: usize,
    /// The client that waits was gone.
    gone: bool,
}

#[derive(Default)]
struct Model {
    sent: BTreeMap<String, SentMessage>,
    /// For each client: request number, due, names.
    waiting: BTreeMap<u64, Vec<(i32, u64, Vec<String>)>>,
    /// Calls out: connection, what they hold.
    out: BTreeMap<(u64, i32), (u32, Vec<String>)>,
    /// When the wait of a limit is over.
    waits: BTreeMap<(bool, u32), u64>,
    ready: BTreeSet<u32>,
    seen_calls: BTreeSet<(u64, i32)>,
    /// A call was on the wire when the news came; whether its bytes count is the harness's business.
    answers: BTreeMap<u64, usize>,
    numbers: BTreeMap<u32, String>,
    gone: BTreeSet<u64>,
    half: BTreeSet<u64>,
}

fn limit(endpoint: u32) -> (bool, u32) {
    let (_, destination, kind) = ENDPOINTS.iter().find(|e| e.0 == endpoint).copied().unwrap();
    if kind == "small" {
        (true, endpoint)
    } else {
        (false, destination)
    }
}

impl Model {
    /// What left since the last look must have been allowed to.
    fn check_calls(&mut self, harness: &CoreHarness) -> Result<(), TestCaseError> {
        for c in &harness.calls {
            if !self.seen_calls.insert((c.connection, c.correlation)) {
                continue;
            }
            prop_assert!(self.ready.contains(&c.endpoint), "rule 3: {} is not in service", c.endpoint);
            let wait = self.waits.get(&limit(c.endpoint)).copied().unwrap_or(0);
            prop_assert!(wait <= c.at, "rule 6: {} ms too early", (wait.max(c.at) - c.at) / MS);
            let names: Vec<String> = c.parts.iter().flat_map(|p| p.2.clone()).collect();
            for name in &names {
                let s = &self.sent[name];
                prop_assert!(!s.answered && c.at < s.due, "rule 1: {name} is over");
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
            self.out.insert((c.connection, c.correlation), (c.endpoint, names));
        }
        Ok(())
    }

    /// What was answered since the last look must be right.
    fn check_responses(&mut self, harness: &CoreHarness) -> Result<(), TestCaseError> {
        for (client, answers) in &harness.responses {
            let seen = self.answers.entry(*client).or_default();
            for (n, a) in answers.iter().enumerate().skip(*seen) {
                let at = harness.response_times[client][n];
                let waiting = self.waiting.get_mut(client).unwrap();
                prop_assert!(!waiting.is_empty(), "rule 1: an answer that nobody waits for");
                let (number, due, names) = waiting.remove(0);
                prop_assert_eq!(number, a.correlation, "answers go in order");
                let code = a.parts[0].code;
                // What was never taken has no time of its own: it waits for the answers before it.
                let taken = code != codes::UNKNOWN_TOPIC_OR_PARTITION;
                prop_assert!(!taken || at <= due + MS, "rule 1: {} ms late", (at - due) / MS);
                for name in names {
                    let s = self.sent.get_mut(&name).unwrap();
                    prop_assert!(!s.answered, "rule 1: answered twice");
                    s.answered = true;
                    prop_assert!(
                        code != codes::NOT_ENOUGH_REPLICAS || s.class != 2 || s.possible_executions == 0,
                        "rule 2: {name} handed back"
                    );
                }
            }
            *seen = answers.len();
        }
        Ok(())
    }

    fn check(&mut self, harness: &mut CoreHarness) -> Result<(), TestCaseError> {
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
}

fn pick<T: Copy>(at: &Index, from: &[T]) -> Option<T> {
    (!from.is_empty()).then(|| from[at.index(from.len())])
}

fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut harness = CoreHarness::new();
    harness.auto_connect = false;
    let mut model = Model { ready: ENDPOINTS.iter().map(|e| e.0).collect(), ..Model::default() };
    for client in 0..3 {
        harness.connect_client(client);
        model.waiting.insert(client, Vec::new());
    }
    let mut order = 0;
    for step in steps {
        match step {
            Step::Send { client, class, place, key, deadline, batch } => {
                let client = u64::from(client);
                if model.gone.contains(&client) || model.half.contains(&client) {
                    continue;
                }
                let destination = i32::from(place) + 1;
                let key = (class == 1 && key > 0).then(|| format!("k{key}"));
                let left = u64::from(deadline).min([8000, 6000, 3000][usize::from(class)]);
                let mut names = Vec::new();
                let mut records = Vec::new();
                for _ in 0..batch {
                    order += 1;
                    let name = format!("m{order}");
                    let mut r = record_with_header(&name, "deadline-ms", &left.to_string());
                    r.headers.push(("message-id".into(), Some(bytes::Bytes::from(name.clone()))));
                    r.key = key.clone().map(bytes::Bytes::from);
                    records.push(r);
                    let due = harness.now + left * MS;
                    let sent = SentMessage {
                        class: usize::from(class),
                        key: key.clone(),
                        due,
                        order,
                        ..SentMessage::default()
                    };
                    model.sent.insert(name.clone(), sent);
                    names.push(name);
                }
                let due = harness.now + left * MS;
                let number = harness.correlation + 1;
                model.waiting.get_mut(&client).unwrap().push((number, due, names));
                harness.send(client, &[(TOPICS[usize::from(class)], destination, &records)]);
            }
            Step::Reply(at, code, wait) => {
                let keys: Vec<(u64, i32)> =
                    model.out.keys().copied().filter(|k| harness.connections.contains_key(&k.0)).collect();
                let Some(key) = pick(&at, &keys) else { continue };
                let (endpoint, names) = model.out.remove(&key).unwrap();
                let Some(n) = harness.calls.iter().position(|c| (c.connection, c.correlation) == key) else {
                    continue;
                };
                let call = harness.calls.remove(n);
                let code = [codes::NONE, codes::THROTTLING_QUOTA_EXCEEDED, codes::UNKNOWN_SERVER_ERROR, 7]
                    [usize::from(code)];
                let wait = if code == codes::THROTTLING_QUOTA_EXCEEDED { wait } else { 0 };
                if code == codes::THROTTLING_QUOTA_EXCEEDED {
                    names.iter().for_each(|n| model.sent.get_mut(n).unwrap().possible_executions -= 1);
                    // A wait that comes for a call that was given up long ago is not heard.
                    let heard = harness.core.status().abandoned_connections == 0;
                    if wait > 0 && heard {
                        let until = model.waits.entry(limit(endpoint)).or_default();
                        *until = (*until).max(harness.now + u64::from(wait) * MS);
                    }
                }
                harness.reply_to(&call, code, i32::from(wait));
            }
            Step::Disconnect(at, how) => {
                let connections: Vec<u64> =
                    harness.connections.iter().filter(|l| l.1.connected).map(|l| *l.0).collect();
                let Some(connection) = pick(&at, &connections) else { continue };
                let all = harness.connections.remove(&connection).unwrap().received_bytes;
                let written = [0, all.saturating_sub(1), all][usize::from(how)];
                for (key, (_, names)) in model.out.clone() {
                    if key.0 == connection {
                        model.out.remove(&key);
                        if written == 0 {
                            names
                                .iter()
                                .for_each(|n| model.sent.get_mut(n).unwrap().possible_executions -= 1);
                        }
                    }
                }
                harness.core.clock(harness.now);
                harness.core.upstream_disconnected(connection, written);
                harness.process_after_tick();
            }
            Step::Connect(at) => {
                let Some(connection) = pick(&at, &harness.connecting) else { continue };
                harness.connecting.retain(|&l| l != connection);
                harness.connect(connection);
            }
            Step::FailConnect(at) => {
                let Some(connection) = pick(&at, &harness.connecting) else { continue };
                harness.connecting.retain(|&l| l != connection);
                harness.connections.remove(&connection);
                harness.core.upstream_connect_failed(connection);
                harness.process_after_tick();
            }
            Step::Negotiate(at) => {
                let fresh = |l: &(&u64, &UpstreamConnection)| {
                    l.1.connected && l.1.received_bytes > 0 && !model.seen_calls.iter().any(|c| c.0 == *l.0)
                };
                let connections: Vec<u64> = harness.connections.iter().filter(fresh).map(|l| *l.0).collect();
                let Some(connection) = pick(&at, &connections) else { continue };
                harness.negotiate(connection);
            }
            Step::Garbage(at) => {
                let connections: Vec<u64> =
                    harness.connections.iter().filter(|l| l.1.connected).map(|l| *l.0).collect();
                let Some(connection) = pick(&at, &connections) else { continue };
                model.out.retain(|k, _| k.0 != connection);
                harness.core.upstream_received(connection, &server::produce(i32::MAX, 9, &[], 0, None));
                harness.process_after_tick();
            }
            Step::DisconnectClient(client) => {
                let client = u64::from(client);
                if model.gone.insert(client) {
                    for (_, _, names) in std::mem::take(model.waiting.get_mut(&client).unwrap()) {
                        names.iter().for_each(|n| model.sent.get_mut(n).unwrap().gone = true);
                    }
                    harness.core.client_disconnected(client);
                    harness.process_after_tick();
                }
            }
            Step::HalfCloseClient(client) => {
                let client = u64::from(client);
                if !model.gone.contains(&client) && model.half.insert(client) {
                    harness.core.client_half_closed(client);
                    harness.process_after_tick();
                }
            }
            Step::Advance(ms) => harness.advance(u64::from(ms)),
            Step::UpdateList(e, state) => {
                let (id, destination, kind) = ENDPOINTS[usize::from(e)];
                let state =
                    [EntryState::Ready, EntryState::Draining, EntryState::Removed][usize::from(state)];
                if state == EntryState::Ready {
                    model.ready.insert(id);
                } else {
                    model.ready.remove(&id);
                }
                harness.update_list(false, vec![entry(id, destination, kind, state)]);
            }
        }
        model.check(&mut harness)?;
    }
    for _ in 0..90 {
        harness.advance(100);
        model.check(&mut harness)?;
    }
    for (client, waiting) in &model.waiting {
        prop_assert!(waiting.is_empty(), "rule 1: client {client} still waits for {waiting:?}");
    }
    let status = harness.core.status();
    prop_assert_eq!(
        (status.in_flight, status.in_flight_bytes, status.calls),
        (0, 0, 0),
        "nothing is left behind"
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, max_shrink_iters: 3000, ..ProptestConfig::default() })]

    #[test]
    fn core_under_random_inputs_keeps_the_rules(steps in prop::collection::vec(step(), 1..120)) {
        run(steps)?;
    }
}
