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
enum Op {
    Send { client: u8, class: u8, place: u8, key: u8, deadline: u16, batch: u8 },
    Reply(Index, u8, u16),
    Down(Index, u8),
    Open(Index),
    Refuse(Index),
    Greet(Index),
    Garbage(Index),
    Gone(u8),
    Half(u8),
    Pass(u16),
    Listing(u8, u8),
}

fn op() -> impl Strategy<Value = Op> {
    let at = any::<Index>();
    prop_oneof![
        6 => (0u8..3, 0u8..3, 0u8..3, 0u8..3, 50u16..4000, 1u8..4).prop_map(
            |(client, class, place, key, deadline, batch)| Op::Send { client, class, place, key, deadline, batch }),
        8 => (at, 0u8..4, 0u16..900).prop_map(|(a, c, w)| Op::Reply(a, c, w)),
        2 => (any::<Index>(), 0u8..3).prop_map(|(a, w)| Op::Down(a, w)),
        8 => any::<Index>().prop_map(Op::Open),
        1 => any::<Index>().prop_map(Op::Refuse),
        8 => any::<Index>().prop_map(Op::Greet),
        1 => any::<Index>().prop_map(Op::Garbage),
        1 => (0u8..3).prop_map(Op::Gone),
        1 => (0u8..3).prop_map(Op::Half),
        8 => (1u16..600).prop_map(Op::Pass),
        1 => (0u8..4, 0u8..3).prop_map(|(e, s)| Op::Listing(e, s)),
    ]
}

const TOPICS: [&str; 3] = ["status", "proxy", "order"];
const ENDPOINTS: [(u32, u32, &str); 4] =
    [(10, 1, "large"), (11, 1, "large"), (20, 2, "small"), (30, 3, "batch")];

#[derive(Debug, Default)]
struct Sent {
    class: usize,
    key: Option<String>,
    due: u64,
    order: usize,
    answered: bool,
    /// It has its ending, which waits for those of other records of its request.
    over: bool,
    /// It was taken: what is turned down has no place in its key's turn.
    taken: bool,
    /// Attempts that may have run, and all.
    ran: usize,
    attempts: usize,
    /// The client that waits was gone.
    gone: bool,
}

#[derive(Default)]
struct World {
    sent: BTreeMap<String, Sent>,
    /// For each client: request number, due, names.
    waiting: BTreeMap<u64, Vec<(i32, u64, Vec<String>)>>,
    /// Calls out: link, what they hold.
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

impl World {
    /// What left since the last look must have been allowed to.
    fn look_at_calls(&mut self, b: &Bench) -> Result<(), TestCaseError> {
        for c in &b.calls {
            if !self.seen_calls.insert((c.link, c.correlation)) {
                continue;
            }
            prop_assert!(self.ready.contains(&c.endpoint), "rule 3: {} is not in service", c.endpoint);
            let wait = self.waits.get(&limit(c.endpoint)).copied().unwrap_or(0);
            prop_assert!(wait <= c.at, "rule 6: {} ms too early", (wait.max(c.at) - c.at) / MS);
            let names: Vec<String> = c.parts.iter().flat_map(|p| p.2.clone()).collect();
            for name in &names {
                let s = &self.sent[name];
                prop_assert!(!s.answered && c.at < s.due, "rule 1: {name} is over");
                prop_assert!(s.class != 2 || s.ran == 0, "rule 2: {name} may have run");
                prop_assert!(s.attempts < 6, "{name} has had its attempts");
                if let (1, Some(key)) = (s.class, &s.key) {
                    let earlier = self.sent.values().filter(|o| {
                        o.class == 1
                            && o.key.as_ref() == Some(key)
                            && o.order < s.order
                            && o.taken
                            && !o.answered
                            && !o.gone
                            && !o.over
                    });
                    prop_assert!(earlier.count() == 0, "rule 5: {name} is not first of its key");
                }
            }
            for name in &names {
                let s = self.sent.get_mut(name).unwrap();
                s.ran += 1;
                s.attempts += 1;
            }
            self.out.insert((c.link, c.correlation), (c.endpoint, names));
        }
        Ok(())
    }

    /// What was answered since the last look must be right.
    fn look_at_answers(&mut self, b: &Bench) -> Result<(), TestCaseError> {
        for (client, answers) in &b.answers {
            let seen = self.answers.entry(*client).or_default();
            for (n, a) in answers.iter().enumerate().skip(*seen) {
                let at = b.answered[client][n];
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
                        code != codes::NOT_ENOUGH_REPLICAS || s.class != 2 || s.ran == 0,
                        "rule 2: {name} handed back"
                    );
                }
            }
            *seen = answers.len();
        }
        Ok(())
    }

    fn look(&mut self, b: &mut Bench) -> Result<(), TestCaseError> {
        for fact in b.core.delivery_events() {
            match fact {
                DeliveryEvent::Accepted { message, name, .. } => {
                    let name = String::from_utf8(name.to_vec()).unwrap();
                    self.sent.get_mut(&name).unwrap().taken = true;
                    self.numbers.insert(message, name);
                }
                DeliveryEvent::Completed { message, .. } => {
                    if let Some(s) = self.numbers.get(&message).and_then(|n| self.sent.get_mut(n)) {
                        s.over = true;
                    }
                }
                _ => {}
            }
        }
        self.look_at_calls(b)?;
        self.look_at_answers(b)
    }
}

fn pick<T: Copy>(at: &Index, from: &[T]) -> Option<T> {
    (!from.is_empty()).then(|| from[at.index(from.len())])
}

fn run(ops: Vec<Op>) -> Result<(), TestCaseError> {
    let mut b = Bench::new();
    b.easy = false;
    let mut w = World { ready: ENDPOINTS.iter().map(|e| e.0).collect(), ..World::default() };
    for client in 0..3 {
        b.client(client);
        w.waiting.insert(client, Vec::new());
    }
    let mut order = 0;
    for op in ops {
        match op {
            Op::Send { client, class, place, key, deadline, batch } => {
                let client = u64::from(client);
                if w.gone.contains(&client) || w.half.contains(&client) {
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
                    let mut r = headed(&name, "deadline-ms", &left.to_string());
                    r.headers.push(("message-id".into(), Some(bytes::Bytes::from(name.clone()))));
                    r.key = key.clone().map(bytes::Bytes::from);
                    records.push(r);
                    let due = b.now + left * MS;
                    let sent =
                        Sent { class: usize::from(class), key: key.clone(), due, order, ..Sent::default() };
                    w.sent.insert(name.clone(), sent);
                    names.push(name);
                }
                let due = b.now + left * MS;
                let number = b.correlation + 1;
                w.waiting.get_mut(&client).unwrap().push((number, due, names));
                b.send(client, &[(TOPICS[usize::from(class)], destination, &records)]);
            }
            Op::Reply(at, code, wait) => {
                let keys: Vec<(u64, i32)> =
                    w.out.keys().copied().filter(|k| b.links.contains_key(&k.0)).collect();
                let Some(key) = pick(&at, &keys) else { continue };
                let (endpoint, names) = w.out.remove(&key).unwrap();
                let Some(n) = b.calls.iter().position(|c| (c.link, c.correlation) == key) else { continue };
                let call = b.calls.remove(n);
                let code = [codes::NONE, codes::THROTTLING_QUOTA_EXCEEDED, codes::UNKNOWN_SERVER_ERROR, 7]
                    [usize::from(code)];
                let wait = if code == codes::THROTTLING_QUOTA_EXCEEDED { wait } else { 0 };
                if code == codes::THROTTLING_QUOTA_EXCEEDED {
                    names.iter().for_each(|n| w.sent.get_mut(n).unwrap().ran -= 1);
                    // A wait that comes for a call that was given up long ago is not heard.
                    let heard = b.core.status().abandoned_connections == 0;
                    if wait > 0 && heard {
                        let until = w.waits.entry(limit(endpoint)).or_default();
                        *until = (*until).max(b.now + u64::from(wait) * MS);
                    }
                }
                b.reply_to(&call, code, i32::from(wait));
            }
            Op::Down(at, how) => {
                let links: Vec<u64> = b.links.iter().filter(|l| l.1.up).map(|l| *l.0).collect();
                let Some(link) = pick(&at, &links) else { continue };
                let all = b.links.remove(&link).unwrap().bytes;
                let written = [0, all.saturating_sub(1), all][usize::from(how)];
                for (key, (_, names)) in w.out.clone() {
                    if key.0 == link {
                        w.out.remove(&key);
                        if written == 0 {
                            names.iter().for_each(|n| w.sent.get_mut(n).unwrap().ran -= 1);
                        }
                    }
                }
                b.core.clock(b.now);
                b.core.upstream_disconnected(link, written);
                b.round();
            }
            Op::Open(at) => {
                let Some(link) = pick(&at, &b.connecting) else { continue };
                b.connecting.retain(|&l| l != link);
                b.open(link);
            }
            Op::Refuse(at) => {
                let Some(link) = pick(&at, &b.connecting) else { continue };
                b.connecting.retain(|&l| l != link);
                b.links.remove(&link);
                b.core.upstream_connect_failed(link);
                b.round();
            }
            Op::Greet(at) => {
                let fresh =
                    |l: &(&u64, &Link)| l.1.up && l.1.bytes > 0 && !w.seen_calls.iter().any(|c| c.0 == *l.0);
                let links: Vec<u64> = b.links.iter().filter(fresh).map(|l| *l.0).collect();
                let Some(link) = pick(&at, &links) else { continue };
                b.greet(link);
            }
            Op::Garbage(at) => {
                let links: Vec<u64> = b.links.iter().filter(|l| l.1.up).map(|l| *l.0).collect();
                let Some(link) = pick(&at, &links) else { continue };
                w.out.retain(|k, _| k.0 != link);
                b.core.upstream_received(link, &server::produce(i32::MAX, 9, &[], 0, None));
                b.round();
            }
            Op::Gone(client) => {
                let client = u64::from(client);
                if w.gone.insert(client) {
                    for (_, _, names) in std::mem::take(w.waiting.get_mut(&client).unwrap()) {
                        names.iter().for_each(|n| w.sent.get_mut(n).unwrap().gone = true);
                    }
                    b.core.client_disconnected(client);
                    b.round();
                }
            }
            Op::Half(client) => {
                let client = u64::from(client);
                if !w.gone.contains(&client) && w.half.insert(client) {
                    b.core.client_half_closed(client);
                    b.round();
                }
            }
            Op::Pass(ms) => b.pass(u64::from(ms)),
            Op::Listing(e, state) => {
                let (id, destination, kind) = ENDPOINTS[usize::from(e)];
                let state =
                    [EntryState::Ready, EntryState::Draining, EntryState::Removed][usize::from(state)];
                if state == EntryState::Ready {
                    w.ready.insert(id);
                } else {
                    w.ready.remove(&id);
                }
                b.news(false, vec![entry(id, destination, kind, state)]);
            }
        }
        w.look(&mut b)?;
    }
    for _ in 0..90 {
        b.pass(100);
        w.look(&mut b)?;
    }
    for (client, waiting) in &w.waiting {
        prop_assert!(waiting.is_empty(), "rule 1: client {client} still waits for {waiting:?}");
    }
    let status = b.core.status();
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
    fn the_rules_hold_whatever_happens(ops in prop::collection::vec(op(), 1..120)) {
        run(ops)?;
    }
}
