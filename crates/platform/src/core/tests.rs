//! The core against scripted bytes in virtual time.

use super::agent::SILENT;
use super::*;
use linnetcart_http::parse_request;

const S: Time = 1_000 * MS;
const AGENT: &str = "127.0.0.1:8500";

fn config(max_open: u32) -> Config {
    let class = |name: &str, effect: &str, fifo: bool| {
        serde_json::json!({"name": name, "idempotency": effect, "group": "all", "key_ttl_ns": 8 * S, "worth": 1,
            "slo_ns": 3 * S, "hard_limit_ns": 10 * S, "late_worth": 0.5, "fifo_by_key": fifo})
    };
    let entry = |name: &str, port: u16| {
        serde_json::json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "a", "type": "bank",
            "group": 3, "status": "active", "weight": 0.0, "since_ms": 0})
    };
    let file = serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:8443", "discovery": AGENT, "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
        "known": {"index": 41, "snapshot": true, "endpoints": [entry("s-1", 1001), entry("s-2", 1002)]},
        "settings": {
            "balancers": 3, "me": 0, "kinds": ["bank"], "zones": ["a"], "tick_ns": 5 * MS,
            "services": [class("status", "pure", false), class("change", "token", true),
                         class("order", "side_effect", false)],
            "stats": {"names": ["x0", "x1"], "source": "inline"},
            "family_info": {"max_calls": 8, "kind_apart": [false], "per_call": [1]},
            "bounds": {"max_open": max_open, "max_attempts": 12, "may_cancel": true, "parallel_tries": true,
                "retry_after": true, "max_retry_after_ns": 3 * S, "conn_idle_ns": 10 * S,
                "connect_timeout_ns": S},
            "contract": {"fall_multiple": 2.0, "fall_ns": 2 * S, "cold_from": 0.2, "ramp_time_ns": 10 * S,
                "turn_gap_ns": 100 * MS, "drain_grace_ns": S},
        },
    });
    Config::read(file.to_string().as_bytes()).unwrap()
}

/// A courier, what its journal holds, and what it wrote where.
struct Rig {
    core: Core,
    now: Time,
    journal: Vec<Record>,
    links: BTreeMap<LinkId, SocketAddr>,
    up: BTreeSet<LinkId>,
    wrote: Vec<(LinkId, Vec<u8>)>,
    answers: Vec<(ClientId, Vec<u8>)>,
    closed: Vec<LinkId>,
    ended: Vec<LinkId>,
    watches: BTreeSet<LinkId>,
    next_client: ClientId,
}

impl Rig {
    fn new() -> Rig {
        Rig::from(vec![], 100 * S, 40)
    }

    fn from(journal: Vec<Record>, now: Time, max_open: u32) -> Rig {
        Rig::with(config(max_open), journal, now)
    }

    fn with(config: Config, journal: Vec<Record>, now: Time) -> Rig {
        let raw = |r: &Record| {
            let (kind, payload) = r.encode();
            linnetcart_journal::Record { kind, payload }
        };
        let raw: Vec<_> = journal.iter().map(raw).collect();
        let replay = Replay::of(&raw, &config.site.class_names, &config.site.zone_names);
        let core = Core::new(config, replay, now, now);
        let journal = core.snapshot();
        let (links, up, next_client) = (BTreeMap::new(), BTreeSet::new(), 1 << 40);
        let mut rig = Rig {
            core,
            now,
            journal,
            links,
            up,
            wrote: vec![],
            answers: vec![],
            closed: vec![],
            ended: vec![],
            watches: BTreeSet::new(),
            next_client,
        };
        rig.turn();
        // Discovery says nothing.
        rig.after(FIRST_WORD);
        rig
    }

    /// Turns until nothing is left to do at this time; connections to endpoints come up at once.
    fn turn(&mut self) {
        for _ in 0..20 {
            self.core.turn(self.now);
            self.journal.extend(self.core.records());
            for output in self.core.outputs() {
                match output {
                    Output::ToClient(client, bytes) => self.answers.push((client, bytes.to_vec())),
                    Output::Connect(link, address) => drop(self.links.insert(link, address)),
                    Output::ToLink(link, bytes) => self.wrote.push((link, bytes.to_vec())),
                    Output::CloseLink(link) => {
                        self.links.remove(&link);
                        self.closed.push(link);
                    }
                    Output::EndSending(link) => self.ended.push(link),
                    Output::CloseClient(_) | Output::Unlisten => {}
                }
            }
            let agent: SocketAddr = AGENT.parse().unwrap();
            let new: Vec<LinkId> = self
                .links
                .iter()
                .filter(|(l, a)| **a != agent && !self.up.contains(l))
                .map(|l| *l.0)
                .collect();
            for link in &new {
                self.up.insert(*link);
                self.core.link_up(*link);
            }
            if new.is_empty() && self.core.next_turn() > self.now {
                return;
            }
        }
        panic!("it does not come to rest");
    }

    fn after(&mut self, span: Time) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.core.next_turn().clamp(self.now + MS, until);
            self.turn();
        }
    }

    /// Hands a message in; the status of the answer, 0 for none.
    fn hand_in(&mut self, class: &str, id: &str, key: &str) -> u16 {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nX-Txn: {id}\r\nIdempotency-Key: t-{id}\r\nX-Remaining-Ms: 9000\r\n\
             Cookie: subject={key}\r\nX-Route-To: dest=3\r\nContent-Length: 2\r\n\r\nhi"
        );
        self.send(head.as_bytes())
    }

    /// Hands a message in whose connection is begun and does not come up by itself.
    fn connecting(&mut self) -> LinkId {
        self.core.client_opened(7);
        let head = "POST /order HTTP/1.1\r\nX-Txn: m\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n";
        self.core.client_bytes(7, head.as_bytes());
        self.core.turn(self.now);
        self.journal.extend(self.core.records());
        let begun = self.core.outputs().into_iter().find_map(|o| match o {
            Output::Connect(link, at) if at.port() != 8500 => Some(link),
            _ => None,
        });
        begun.expect("a connection")
    }

    fn send(&mut self, bytes: &[u8]) -> u16 {
        self.next_client += 1;
        let client = self.next_client;
        self.core.client_opened(client);
        self.core.client_bytes(client, bytes);
        self.turn();
        self.answers.iter().rev().find(|a| a.0 == client).map_or(0, |a| status(&a.1))
    }

    /// Calls written so far: connection and id.
    fn calls(&self) -> Vec<(LinkId, String)> {
        let call = |w: &(LinkId, Vec<u8>)| {
            let r = parse_request(&w.1).unwrap().unwrap();
            let id = r.field("x-txn").unwrap()?;
            Some((w.0, String::from_utf8(id.to_vec()).unwrap()))
        };
        self.wrote.iter().filter_map(call).collect()
    }

    fn reply(&mut self, link: LinkId, bytes: &[u8]) {
        self.core.link_bytes(link, bytes);
        self.turn();
    }

    /// Ten messages served one after another: the connection that the last one used.
    fn used(&mut self, ok: &str) -> LinkId {
        (0..10).fold(0, |_, n| {
            self.hand_in("status", &format!("w{n}"), "");
            let link = self.calls().last().unwrap().0;
            self.reply(link, ok.as_bytes());
            self.after(20 * MS);
            link
        })
    }

    /// The connections to discovery that are not up yet come up.
    fn agent(&mut self) -> LinkId {
        let link = self.links.iter().rev().find(|(l, a)| a.port() == 8500 && !self.up.contains(l));
        let link = *link.expect("a connection to discovery").0;
        self.up.insert(link);
        self.core.link_up(link);
        self.turn();
        link
    }

    /// Notices written, as they stand.
    fn notices(&self) -> Vec<(LinkId, String)> {
        let notice = |w: &(LinkId, Vec<u8>)| {
            let r = parse_request(&w.1).unwrap().unwrap();
            (r.path() == b"/status").then(|| (w.0, String::from_utf8(r.body().to_vec()).unwrap()))
        };
        self.wrote.iter().filter_map(notice).collect()
    }

    fn has(&self, wanted: impl Fn(&Record) -> bool) -> bool {
        self.journal.iter().any(wanted)
    }

    /// A line of the watch, in a chunk of its own; the head in front of the first.
    fn news(&mut self, watch: LinkId, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let first = self.watches.insert(watch);
        self.reply(watch, format!("{}{chunk}", if first { head } else { "" }).as_bytes());
    }
}

/// News of both endpoints, at the ports after `base`.
fn list(index: u64, zone: &str, kind: &str, group: u32, status: &str, base: u16) -> String {
    let entry = |n: u16| {
        serde_json::json!({"name": format!("s-{n}"), "address": format!("127.0.0.1:{}", base + n), "zone": zone,
            "type": kind, "group": group, "status": status, "weight": 0, "since_ms": 0})
    };
    serde_json::json!({"index": index, "snapshot": false, "endpoints": [entry(1), entry(2)]}).to_string()
}

fn status(bytes: &[u8]) -> u16 {
    match linnetcart_http::parse_response(bytes) {
        linnetcart_http::ParsedResponse::Head(head) => head.status,
        other => panic!("{other:?}"),
    }
}

fn endings(rig: &Rig) -> [u64; 8] {
    rig.core.counts().endings
}

#[test]
fn every_answer_of_the_table_is_its_ending_wherever_it_is_cut() {
    let rows: [(&str, usize); 15] = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 0),
        ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 1),
        ("HTTP/1.1 429 No\r\nX-Backoff-Ms: 300\r\nContent-Length: 0\r\n\r\n", 2),
        ("HTTP/1.1 503 No\r\nContent-Length: 3\r\n\r\nno\n", 2),
        ("HTTP/1.1 503 No\r\nX-Egress-Full: 1\r\nContent-Length: 0\r\n\r\n", 7),
        ("HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", 7),
        ("HTTP/1.1 410 No\r\nContent-Length: 0\r\n\r\n", 7),
        ("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0),
        ("HTTP/1.1 200 OK\r\nX-Pressure: x0=zz,x1=\r\nContent-Length: 0\r\n\r\n", 0),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", 0),
        ("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n", 0),
        ("HTTP/1.1 429 No\r\nContent-Length: 3000000000\r\n\r\n", 1),
        ("HTTP/1.1 429 No\r\nContent-Length: -7\r\n\r\n", 1),
        ("\x07noise", 1),
        ("HTTP/1.1 999999\r\n\r\n", 1),
    ];
    for (bytes, place) in rows {
        for cut in 0..bytes.len() {
            let mut rig = Rig::new();
            assert_eq!(rig.hand_in("order", "m", ""), 202);
            let link = rig.calls()[0].0;
            rig.core.link_bytes(link, &bytes.as_bytes()[..cut]);
            if rig.closed.is_empty() {
                rig.core.link_bytes(link, &bytes.as_bytes()[cut..]);
            }
            rig.turn();
            let mut wanted = [0; 8];
            wanted[place] = 1;
            assert_eq!(endings(&rig), wanted, "{bytes:?} cut at {cut}");
            let never_ran = matches!(place, 2 | 7);
            assert_eq!(rig.has(|r| matches!(r, Record::NeverRan { .. })), never_ran, "{bytes:?}");
            if place == 1 {
                assert!(rig.has(|r| matches!(r, Record::Ended { end: End::Failed, .. })), "{bytes:?}");
            }
        }
    }
}

#[test]
fn an_answer_that_stops_is_spoilt_after_a_while_and_200_counts_all_the_same() {
    for (bytes, place) in [("HTTP/1.1 200 OK\r\nX: ", 0), ("HTTP/1.1 503 OK\r\nX: ", 1), ("HT", 1)] {
        let mut rig = Rig::new();
        rig.hand_in("order", "m", "");
        let link = rig.calls()[0].0;
        rig.reply(link, bytes.as_bytes());
        assert_eq!(endings(&rig), [0; 8]);
        rig.after(2 * S);
        assert_eq!(endings(&rig)[place], 1, "{bytes:?}");
        assert!(rig.closed.contains(&link));
    }
}

#[test]
fn a_connection_that_breaks_tells_by_the_last_byte_written_whether_the_call_may_have_run() {
    for (short, place) in [(1, 4), (0, 5)] {
        let mut rig = Rig::new();
        rig.hand_in("order", "m", "");
        let (link, length) =
            (rig.calls()[0].0, rig.wrote.iter().find(|w| w.1.starts_with(b"POST")).unwrap().1.len());
        rig.core.link_down(link, (length - short) as u64);
        rig.turn();
        assert_eq!(endings(&rig)[place], 1);
        // One that never ran goes again, one that may have does not.
        assert_eq!(rig.calls().len(), 1 + short);
        assert_eq!(rig.has(|r| matches!(r, Record::Ended { end: End::Failed, .. })), short == 0);
    }
}

#[test]
fn what_is_told_or_sent_is_in_the_journal_of_the_same_turn() {
    let mut rig = Rig::new();
    assert_eq!(rig.hand_in("order", "m", ""), 202);
    let kinds: Vec<u8> = rig.journal.iter().map(|r| r.encode().0).collect();
    assert_eq!(kinds, [6, 1, 2], "names, taken, then sent");
    let text =
        String::from_utf8(rig.wrote.iter().find(|w| w.1.starts_with(b"POST")).unwrap().1.clone()).unwrap();
    assert!(text.contains("X-Txn: m\r\nIdempotency-Key: t-m\r\n") && text.ends_with("\r\n\r\nhi"), "{text}");
}

#[test]
fn a_notice_is_repeated_until_it_is_answered_also_elsewhere_and_after_a_restart() {
    let mut rig = Rig::new();
    rig.hand_in("order", "m", "");
    let link = rig.calls()[0].0;
    rig.reply(link, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    let first = rig.agent();
    assert_eq!(rig.notices(), [(first, "{\"id\":\"m\",\"state\":\"failed\"}\n".to_owned())]);
    rig.after(230 * MS);
    let second = rig.agent();
    assert!(second != first && rig.notices().len() == 2, "no answer in time, and it still counts");
    rig.core.discovery_at("127.0.0.1:8501".parse().unwrap());
    rig.turn();
    assert!(rig.closed.contains(&second));
    let third: Vec<LinkId> = rig.links.iter().filter(|l| l.1.port() == 8501).map(|l| *l.0).collect();
    assert_eq!(third.len(), 2, "the watch and the notices");
    let mut again = Rig::from(rig.journal.clone(), rig.now, 40);
    let link = again.agent();
    assert_eq!(again.notices().len(), 1);
    again.reply(link, b"HTTP/1.1 204 No Content\r\n\r\n");
    assert!(again.has(|r| matches!(r, Record::Told { .. })));
    let left = again.core.snapshot();
    assert!(matches!(left[..], [Record::Names { .. }, Record::Known(_)]), "nothing is owed: {left:?}");
}

#[test]
fn a_key_s_next_message_waits_for_the_notice_on_the_one_before() {
    let mut rig = Rig::new();
    rig.hand_in("change", "one", "k");
    rig.hand_in("change", "two", "k");
    rig.hand_in("change", "other", "l");
    let ids = |rig: &Rig| rig.calls().into_iter().map(|c| c.1).collect::<Vec<_>>();
    assert_eq!(ids(&rig), ["one", "other"]);
    // Nothing serves it: at its end it is given up.
    rig.after(8995 * MS);
    assert!(!ids(&rig).contains(&"two".to_owned()), "{:?}", ids(&rig));
    let mut rig = Rig::new();
    rig.hand_in("change", "one", "k");
    rig.hand_in("change", "two", "k");
    let number = *rig.core.ids.get(&b"one"[..]).unwrap();
    // The library gives the first up; the second may go when the platform has heard of it.
    rig.core.over(number, End::Failed);
    rig.core.events.push(Event::ClientCancelled { message: number });
    rig.after(300 * MS);
    assert_eq!(ids(&rig), ["one"], "the notice is not answered");
    let link = rig.agent();
    rig.reply(link, b"HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(ids(&rig), ["one", "two"]);
}

#[test]
fn a_call_that_waits_for_its_connection_is_not_begun_again_by_a_notice_of_its_key() {
    let mut rig = Rig::new();
    let client = 7;
    rig.core.client_opened(client);
    let head = "POST /change HTTP/1.1\r\nX-Txn: one\r\nIdempotency-Key: t\r\nX-Remaining-Ms: 9000\r\n\
                Cookie: subject=k\r\nX-Route-To: dest=3\r\n\r\n";
    rig.core.client_bytes(client, head.as_bytes());
    rig.core.turn(rig.now);
    let line = rig.core.held.values().next().unwrap().owed.message.line;
    // Another of its key, behind it, was given up while the connection is being made.
    let mut owed = rig.core.held.values().next().unwrap().owed.clone();
    owed.message.id = b"two".to_vec();
    rig.core.hold(77, owed, 100, rig.now + S);
    rig.core.over(77, End::Failed);
    assert!(rig.core.telling.contains_key(&line));
    rig.core.told(77);
    let asked =
        rig.core.outputs().into_iter().filter(|o| matches!(o, Output::Connect(_, a) if a.port() != 8500));
    assert_eq!(asked.count(), 1, "one connection for one call");
}

#[test]
fn connections_are_used_again_when_clean_and_settled_and_never_after_noise() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (answer, later, again) in
        [(ok.to_owned(), "", true), (format!("{ok}{ok}"), "", false), (ok.to_owned(), ok, false)]
    {
        let mut rig = Rig::new();
        rig.used(ok);
        rig.hand_in("status", "a", "");
        let before = rig.calls().len();
        let link = rig.calls()[before - 1].0;
        rig.reply(link, answer.as_bytes());
        if !later.is_empty() {
            rig.reply(link, later.as_bytes());
        }
        rig.after(20 * MS);
        // Both endpoints are as good; one of several calls goes where the last one went, or none.
        for n in 0..4 {
            rig.hand_in("status", &format!("b{n}"), "");
        }
        let used = rig.calls()[before..].iter().any(|c| c.0 == link);
        assert_eq!(used, again, "{answer:?} {later:?}");
        assert_eq!(endings(&rig)[0], 11, "one answer is one delivery");
    }
    let mut rig = Rig::new();
    let link = rig.used(ok);
    rig.after(7 * S);
    assert!(!rig.closed.contains(&link));
    rig.after(S);
    assert!(rig.closed.contains(&link), "closed by us before the endpoint does");
}

#[test]
fn nothing_is_written_to_an_endpoint_that_drains_since_its_connection_was_begun() {
    let mut rig = Rig::new();
    let watch = rig.agent();
    let line = |status: &str| list(43, "a", "bank", 3, status, 1000);
    // Connections are begun and not there yet when the list changes.
    let link = rig.connecting();
    rig.news(watch, &line("leaving"));
    rig.core.link_up(link);
    rig.turn();
    rig.after(S);
    assert!(rig.calls().is_empty());
    rig.news(watch, &line("active"));
    rig.after(3 * S);
    assert_eq!(rig.calls().len(), 1, "it goes once it may");
}

#[test]
fn cut_after_any_record_a_restart_answers_for_all_and_repeats_nothing_unsafe() {
    let mut rig = Rig::new();
    for (n, class) in ["order", "status", "order", "change", "order"].iter().enumerate() {
        assert_eq!(rig.hand_in(class, &format!("m{n}"), "k"), 202);
    }
    let calls = rig.calls();
    rig.reply(calls[0].0, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    rig.reply(calls[2].0, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    rig.reply(calls[4].0, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    let full = rig.journal.clone();
    for cut in 0..=full.len() {
        let before = &full[..cut];
        let class_of = |number: u32| {
            before.iter().find_map(|r| match r {
                Record::Taken(n, m) if *n == number => {
                    Some((m.class, String::from_utf8(m.id.clone()).unwrap()))
                }
                _ => None,
            })
        };
        let mut again = Rig::from(before.to_vec(), rig.now + S, 40);
        again.after(100 * MS);
        again.agent();
        let (sent, notices) = (again.calls(), again.notices());
        for (number, id) in (0..6).filter_map(|n| class_of(n).map(|c| (n, c.1))) {
            let open = |r: &&Record| matches!(r, Record::Sent { message, .. } if *message == number);
            let known = |r: &&Record| matches!(r, Record::NeverRan { message, .. } if *message == number);
            let over = before
                .iter()
                .any(|r| matches!(r, Record::Ended { message, end: End::Delivered } if *message == number));
            let ended =
                before.iter().any(|r| matches!(r, Record::Ended { message, .. } if *message == number));
            let maybe = before.iter().filter(open).count() > before.iter().filter(known).count();
            let (goes, told) =
                (sent.iter().any(|c| c.1 == id), notices.iter().any(|n| n.1.contains(&format!("\"{id}\""))));
            let unsafe_one = class_of(number).is_some_and(|c| c.0 == 2);
            match (over, ended || (unsafe_one && maybe)) {
                (true, _) => assert!(!goes && !told, "cut {cut}: {id} is over"),
                (false, true) => assert!(told && !goes, "cut {cut}: {id} ends by a notice"),
                (false, false) => assert!(goes && !told, "cut {cut}: {id} goes on"),
            }
        }
    }
}

#[test]
fn what_bad_clients_send_is_refused_and_nothing_of_it_is_taken() {
    let good = "POST /order HTTP/1.1\r\nX-Txn: m\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n";
    let mut rig = Rig::new();
    let both = format!("{good}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{good}\r\n");
    assert_eq!(rig.send(both.as_bytes()), 411);
    let two = format!("{good}\r\n{}\r\n", good.replace("X-Txn: m", "X-Txn: n"));
    assert_eq!(rig.send(two.as_bytes()), 400, "one at a time");
    assert_eq!(rig.send(good.replace("dest=3", "dest=4").as_bytes()), 0, "half a request");
    assert_eq!(rig.send(format!("{}\r\n", good.replace("dest=3", "dest=4")).as_bytes()), 404);
    assert_eq!(rig.send(b"\x00\xff\x00\xff"), 400);
    assert!(rig.calls().is_empty() && !rig.has(|r| !matches!(r, Record::Names { .. })));
    assert_eq!(rig.send(format!("{good}\r\n").as_bytes()), 202);
    assert_eq!(rig.send(format!("{good}\r\n").as_bytes()), 202, "once more the same");
    assert_eq!(rig.send(format!("{good}Content-Length: 1\r\n\r\nx").as_bytes()), 409, "another under its id");
    assert_eq!(rig.journal.iter().filter(|r| matches!(r, Record::Taken(..))).count(), 1);
    // Half a request, and silence: both end by themselves.
    rig.answers.clear();
    rig.send(b"POST /order HT");
    rig.after(2200 * MS);
    assert!(rig.answers.iter().any(|a| status(&a.1) == 408));
    let idle = rig.core.sizes()[3];
    assert!(idle <= 2, "{idle} clients are left");
}

#[test]
fn the_bounds_of_hold_and_journal_hand_back_and_lose_nothing() {
    let mut rig = Rig::from(vec![], 100 * S, 4);
    let taken = (0..9).filter(|n| rig.hand_in("status", &format!("m{n}"), "") == 202).count();
    assert!(taken <= 4, "{taken} of four");
    let mut rig = Rig::new();
    let big = "x".repeat(60_000);
    let mut taken = 0;
    for n in 0..10 {
        let head = format!(
            "POST /status HTTP/1.1\r\nX-Txn: m{n}\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\
             Content-Length: 60000\r\n\r\n{big}"
        );
        let status = rig.send(head.as_bytes());
        assert!(status == 202 || status == 503);
        taken += usize::from(status == 202);
    }
    assert_eq!(taken, 3, "a fifth of a megabyte");
    let bytes: usize = rig.core.snapshot().iter().map(|r| r.encode().1.len() + 10).sum();
    assert!(bytes < 200_000);
}

#[test]
fn after_the_signal_to_end_it_goes_on_for_a_while_and_then_waits_for_its_calls_only() {
    let mut rig = Rig::new();
    rig.hand_in("order", "a", "");
    rig.core.end();
    assert_eq!(rig.hand_in("order", "b", ""), 202);
    let calls = rig.calls();
    assert_eq!(calls.len(), 2);
    rig.after(2800 * MS);
    assert!(!rig.core.is_done());
    let before = rig.calls().len();
    assert_eq!(rig.hand_in("order", "c", ""), 202, "taken on, for the next process");
    assert_eq!(rig.calls().len(), before, "nothing begins that cannot end");
    for call in calls {
        rig.reply(call.0, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    assert!(rig.core.is_done());
    let again = Rig::from(rig.journal.clone(), rig.now + S, 40);
    assert_eq!(again.calls().iter().map(|c| &c.1[..]).collect::<Vec<_>>(), ["c"]);
    let mut rig = Rig::new();
    rig.hand_in("order", "a", "");
    rig.core.end();
    rig.after(3400 * MS);
    assert!(rig.core.is_done(), "a silent endpoint does not keep it");
}

#[test]
fn a_silent_watch_begins_anew_and_a_lost_one_too() {
    let mut rig = Rig::new();
    let watch = rig.agent();
    assert!(rig.wrote[0].1.starts_with(b"GET /v1/endpoints?follow=1&since=41 HTTP/1.1\r\n"));
    rig.news(watch, "");
    rig.after(2600 * MS);
    assert!(!rig.closed.contains(&watch));
    rig.after(200 * MS);
    assert!(rig.closed.contains(&watch), "a line is missing");
    let second = rig.agent();
    rig.news(second, "{\"index\":50,\"snapshot\":true,\"endpoints\":[]}");
    rig.core.link_down(second, 0);
    rig.after(50 * MS);
    rig.agent();
    let asked = rig.wrote.last().unwrap();
    assert!(asked.1.starts_with(b"GET /v1/endpoints?follow=1&since=50 "), "from where it was");
}

#[test]
fn news_may_come_indented_and_in_any_pieces() {
    let value: serde_json::Value = serde_json::from_str(&list(43, "a", "bank", 3, "left", 1000)).unwrap();
    let text = format!("\n{}\n\n", serde_json::to_string_pretty(&value).unwrap());
    for cut in 1..text.len() {
        let mut rig = Rig::new();
        let watch = rig.agent();
        rig.news(watch, "");
        for part in [&text[..cut], &text[cut..]] {
            rig.reply(watch, format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
        }
        rig.hand_in("order", "a", "");
        assert!(rig.calls().is_empty() && !rig.closed.contains(&watch), "both have left; cut at {cut}");
    }
}

#[test]
fn while_discovery_is_silent_a_watch_is_open_for_its_return_at_any_moment() {
    let mut rig = Rig::new();
    for _ in 0..8 {
        let watch = rig.agent();
        rig.after(SILENT);
        assert!(rig.closed.contains(&watch));
        rig.after(MS);
    }
    let watch = rig.agent();
    rig.news(watch, &list(43, "a", "bank", 3, "left", 1000));
    rig.hand_in("order", "a", "");
    assert!(rig.calls().is_empty(), "it is heard at once");
}

#[test]
fn a_wake_up_outlasts_the_rounds_before_it() {
    // A hold full of messages that wait takes nothing, so no event comes: only the wake-up gets them going.
    let mut rig = Rig::new();
    for n in 0..3 {
        rig.hand_in("order", &format!("m{n}"), "");
    }
    let calls = rig.calls();
    rig.reply(calls[0].0, b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 500\r\nContent-Length: 0\r\n\r\n");
    rig.after(100 * MS);
    for call in &calls[1..] {
        rig.reply(call.0, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
    assert_eq!(rig.calls().len(), 3, "told to wait");
    rig.after(S);
    assert_eq!(rig.calls().len(), 4, "and then it goes, though nothing else happens");
}

#[test]
fn a_connection_given_up_in_the_turn_that_asked_for_it_is_not_made() {
    let mut rig = Rig::new();
    let client = 7;
    rig.core.client_opened(client);
    let head = "POST /status HTTP/1.1\r\nX-Txn: m\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n";
    rig.core.client_bytes(client, head.as_bytes());
    rig.core.turn(rig.now);
    let id = *rig.core.calls.keys().next().unwrap();
    rig.core.give_up(id, AttemptOutcome::Cancelled);
    rig.core.close_links();
    let made =
        rig.core.outputs().into_iter().filter(|o| matches!(o, Output::Connect(_, a) if a.port() != 8500));
    assert_eq!(made.count(), 0);
}

#[test]
fn the_last_wake_up_asked_for_counts_also_just_before_an_earlier_one() {
    let mut rig = Rig::new();
    rig.hand_in("order", "a", "");
    let a = rig.calls()[0].0;
    let begun = rig.now;
    rig.after(S);
    rig.hand_in("order", "b", "");
    let b = rig.calls()[1].0;
    rig.reply(b, b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 60000\r\nContent-Length: 0\r\n\r\n");
    // Within a tick before the end of the first comes its answer; the only event until the second has to end.
    rig.after(begun + 9 * S - 13 * MS - rig.now);
    rig.reply(a, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    rig.after(begun + 10 * S - rig.now);
    let end = |r: &Record| matches!(r, Record::Ended { end: End::Returned(_), .. });
    assert!(rig.has(end), "the second is handed back by its time");
}

#[test]
fn a_wait_told_to_a_call_that_was_given_up_is_heeded() {
    let mut rig = Rig::new();
    rig.hand_in("status", "a", "");
    let first = rig.calls()[0].0;
    rig.after(4 * S);
    let copy = rig.calls()[1].0;
    rig.reply(copy, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(rig.ended, [first], "the slower one is called off");
    assert!(!rig.closed.contains(&first), "and its answer may be on its way");
    rig.reply(first, b"HTTP/1.1 429 No\r\nX-Backoff-Ms: 1500\r\nContent-Length: 0\r\n\r\n");
    assert!(rig.closed.contains(&first));
    rig.hand_in("order", "b", "");
    rig.after(1400 * MS);
    assert_eq!(rig.calls().len(), 2, "told to wait");
    rig.after(2 * S);
    assert_eq!(rig.calls().len(), 3, "and then it goes");
}

#[test]
fn a_call_given_up_that_stays_silent_keeps_its_connection_no_longer_than_one_takes_to_come_up() {
    let mut rig = Rig::new();
    rig.hand_in("status", "a", "");
    let first = rig.calls()[0].0;
    rig.after(4 * S);
    let copy = rig.calls()[1].0;
    rig.reply(copy, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    rig.after(S);
    assert!(rig.closed.contains(&first));
    assert_eq!(endings(&rig), [1, 0, 0, 0, 0, 0, 1, 0], "served and cancelled, nothing twice");
}

#[test]
fn a_notice_that_is_not_taken_is_dropped_alone_and_holds_up_no_other() {
    let mut rig = Rig::new();
    for id in ["a", "b", "c"] {
        rig.hand_in("order", id, "");
    }
    for call in rig.calls() {
        rig.core.link_bytes(call.0, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    }
    rig.turn();
    let link = rig.agent();
    let (no, yes) = ("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n");
    for reply in [no, yes, no, no, yes] {
        rig.reply(link, reply.as_bytes());
    }
    let lines: Vec<usize> = rig.notices().iter().map(|n| n.1.lines().count()).collect();
    assert_eq!(lines, [3, 1, 2, 1, 1], "all, then fewer until the one at fault is alone");
    assert_eq!(rig.core.sizes()[1], 0);
    let line = rig.core.lines().into_iter().find(|l| l.contains("notice on b"));
    assert!(line.is_some(), "the one that is not taken is named");
}

#[test]
fn a_call_whose_connection_is_not_there_when_the_last_round_is_over_is_not_begun() {
    let mut rig = Rig::new();
    rig.core.end();
    rig.now += LAST_ROUND - 100 * MS;
    let link = rig.connecting();
    rig.now += 200 * MS;
    rig.core.link_up(link);
    rig.turn();
    assert!(rig.calls().is_empty() && rig.core.is_done(), "it is for the next process");
    assert!(!rig.has(|r| matches!(r, Record::Sent { .. } | Record::Ended { .. })));
}

#[test]
fn slots_are_no_more_than_descriptors_so_that_no_endpoint_is_blamed_for_ours() {
    let mut config = config(60);
    (config.limits.sockets, config.site.settings.max_in_flight_calls) = (64, 60);
    let mut core = Core::new(config, Replay { next: 1, ..Replay::default() }, 100 * S, 100 * S);
    (0..18).for_each(|client| core.client_opened(client));
    for n in 0..3 {
        for client in 0..18 {
            let head = format!(
                "POST /status HTTP/1.1\r\nX-Txn: m{n}-{client}\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n"
            );
            core.client_bytes(client, head.as_bytes());
        }
        core.turn(100 * S + FIRST_WORD + n * 10 * MS);
    }
    core.turn(100 * S + 500 * MS);
    assert_eq!((core.counts().taken, core.sizes()[5]), (54, 15), "three quarters of 20 descriptors");
    assert_eq!(core.counts().endings, [0; 8]);
}

#[test]
fn nothing_is_written_to_the_old_place_of_an_endpoint_that_moves_while_its_connection_is_made() {
    let mut rig = Rig::new();
    let watch = rig.agent();
    let link = rig.connecting();
    rig.news(watch, &list(43, "a", "bank", 3, "active", 2000));
    rig.core.link_up(link);
    rig.turn();
    rig.after(3 * S);
    let calls = rig.calls();
    assert!(calls.len() == 1 && calls[0].0 != link, "at the new place: {calls:?}");
    assert!(rig.links[&calls[0].0].port() > 2000);
}

#[test]
fn a_name_that_becomes_another_destination_s_gets_nothing_of_the_first_one_s() {
    let mut rig = Rig::new();
    let watch = rig.agent();
    rig.news(watch, &list(43, "b", "new", 4, "active", 1000));
    assert_eq!(rig.hand_in("order", "m", ""), 202);
    rig.after(S);
    assert!(rig.calls().is_empty(), "destination 3 has no endpoint");
    let head = "POST /order HTTP/1.1\r\nX-Txn: n\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=4\r\n\r\n";
    assert_eq!(rig.send(head.as_bytes()), 202);
    assert_eq!(rig.calls().iter().map(|c| &c.1[..]).collect::<Vec<_>>(), ["n"]);
}

#[test]
fn the_destination_that_a_name_leaves_keeps_its_kind() {
    let config = config(40);
    let news = |text: &str| serde_json::from_str::<News>(text).unwrap();
    let mut directory = Directory::default();
    directory.take(&news(&list(1, "a", "bank", 3, "active", 1000)), &config.site, S);
    let (event, stale) = directory.take(&news(&list(2, "b", "new", 4, "active", 1000)), &config.site, S);
    let Event::EndpointList { entries, .. } = event else { panic!("{event:?}") };
    let brief: Vec<_> = entries.iter().map(|e| (e.id, e.destination, e.kind, e.zone, e.status)).collect();
    let (gone, ready) = (EndpointStatus::Removed, EndpointStatus::Ready);
    assert_eq!(brief, [(1, 3, 0, 0, gone), (3, 4, 1, 1, ready), (2, 3, 0, 0, gone), (4, 4, 1, 1, ready)]);
    assert_eq!(stale, [1, 2]);
}

#[test]
fn a_message_of_a_class_beyond_the_settings_ends_also_where_its_file_names_no_classes() {
    let mut rig = Rig::new();
    assert_eq!(rig.hand_in("order", "m", ""), 202);
    let mut old: Vec<Record> = rig.journal.drain(..).filter(|r| !matches!(r, Record::Names { .. })).collect();
    for record in &mut old {
        if let Record::Taken(_, message) = record {
            message.class = 9;
        }
    }
    let mut again = Rig::from(old, rig.now + S, 40);
    let link = again.agent();
    assert_eq!(again.notices(), [(link, "{\"id\":\"m\",\"state\":\"failed\"}\n".to_owned())]);
}

#[test]
fn a_connection_whose_answer_has_a_body_still_to_come_carries_no_other_call() {
    let mut rig = Rig::new();
    rig.used("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    rig.hand_in("status", "a", "");
    let link = rig.calls().last().unwrap().0;
    rig.reply(link, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal");
    let before = rig.calls().len();
    rig.after(20 * MS);
    for n in 0..4 {
        rig.hand_in("order", &format!("b{n}"), "");
    }
    let calls = rig.calls().split_off(before);
    assert!(!calls.is_empty() && calls.iter().all(|c| c.0 != link), "{calls:?}, not on {link}");
    rig.after(50 * MS);
    assert!(rig.closed.contains(&link), "and it is not kept");
}

#[test]
fn a_call_given_up_that_was_served_all_the_same_ends_its_message() {
    for rest in ["\r\n", " OK\r\nContent-Length: 0\r\n\r\n", " OK\r\nContent-Length: x\r\n\r\n"] {
        let mut rig = Rig::new();
        rig.hand_in("status", "a", "");
        let first = rig.calls()[0].0;
        // It hangs for longer than its siblings would, and is called off for another.
        rig.core.give_up((1, 0), AttemptOutcome::Cancelled);
        rig.after(100 * MS);
        let second = rig.calls()[1].0;
        rig.reply(first, b"HTTP/1.1 200");
        assert!(rig.ended == [first] && !rig.has(|r| matches!(r, Record::Ended { .. })), "no line yet");
        rig.reply(first, rest.as_bytes());
        assert_eq!(rig.ended, [first, second], "what else is out is called off");
        assert!(rig.has(|r| matches!(r, Record::Ended { end: End::Delivered, .. })));
        assert_eq!(rig.core.sizes()[0], 0, "nothing is owed");
        rig.after(10 * S);
        assert_eq!((rig.calls().len(), rig.core.counts().notices), (2, [0, 0]), "and nothing is sent after");
    }
}

#[test]
fn nothing_is_sent_before_discovery_has_told_what_it_knows_or_is_silent() {
    let start = || {
        let core = Core::new(config(40), Replay { next: 1, ..Replay::default() }, 100 * S, 100 * S);
        let mut rig = Rig { core, now: 100 * S, ..Rig::new() };
        (rig.links, rig.up) = (BTreeMap::new(), BTreeSet::new());
        rig.turn();
        let watch = rig.agent();
        assert_eq!((rig.hand_in("order", "a", ""), rig.send(b"GET /ready HTTP/1.1\r\n\r\n")), (0, 0));
        rig.after(100 * MS);
        assert!(rig.answers.is_empty() && rig.calls().is_empty(), "it listens");
        (rig, watch)
    };
    // Both endpoints have gone since the list that it knows.
    let (mut rig, watch) = start();
    rig.news(watch, &list(43, "a", "bank", 3, "left", 1000));
    assert_eq!(rig.answers.iter().map(|a| status(&a.1)).collect::<Vec<_>>(), [200, 202]);
    rig.after(S);
    assert!(rig.calls().is_empty());
    let (mut rig, watch) = start();
    rig.news(watch, "");
    assert_eq!(rig.calls().len(), 1, "nothing new");
    let (mut rig, _) = start();
    rig.after(FIRST_WORD - 101 * MS);
    assert!(rig.calls().is_empty());
    rig.after(2 * MS);
    assert_eq!((rig.calls().len(), rig.answers.len()), (1, 2), "silent: what it knows has to do");
    let Record::Taken(_, message) = &rig.journal[rig.journal.len() - 2] else { panic!("{:?}", rig.journal) };
    assert_eq!(message.due, 109 * S, "its time runs from when it came");
}

#[test]
fn the_time_of_what_a_restart_found_runs_while_the_first_round_waits() {
    let message = |id: &str, class, left| Message {
        id: id.into(),
        token: Some(b"t".to_vec()),
        class,
        destination: 9,
        line: 0,
        due: 100 * S + left,
        body: vec![],
    };
    let sent = Attempt { number: 0, zone: 0, at: 100 * S - 6900 * MS };
    let journal = vec![
        Record::Taken(1, message("a", 0, 300 * MS)),
        Record::Taken(2, message("keyed", 1, 9 * S)),
        Record::Sent { message: 2, attempt: sent },
    ];
    let mut rig = Rig::from(journal, 100 * S, 40);
    let ended = |rig: &Rig, n| rig.has(|r| matches!(r, Record::Ended { message, .. } if *message == n));
    assert!(
        !ended(&rig, 1) && ended(&rig, 2),
        "its window of 8 s, less a second for travel, was over meanwhile"
    );
    rig.after(80 * MS);
    assert!(!ended(&rig, 1));
    rig.after(11 * MS);
    assert!(ended(&rig, 1), "two ticks before its time is up");
}

#[test]
fn an_answer_that_comes_as_its_time_is_up_is_followed_by_a_notice() {
    for (before, told) in [(2 * MS, 0), (MS / 2, 1), (0, 1)] {
        let mut rig = Rig::new();
        let due = rig.now + 9 * S;
        rig.hand_in("order", "a", "");
        let link = rig.calls()[0].0;
        rig.after(8 * S);
        // The turn that was to end it comes too late: this is read before.
        rig.now = due - before;
        rig.core.clock(rig.now);
        rig.reply(link, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(rig.core.counts().notices, [told, 0], "{before} ns before");
        let failed = |r: &Record| matches!(r, Record::Ended { end: End::Failed, .. });
        assert_eq!(rig.has(failed), told == 1);
    }
}

#[test]
fn a_key_s_rest_outlasts_the_process() {
    let start = |journal, now| {
        let mut config = config(40);
        config.site.settings.key_cooldown = 2 * S;
        Rig::with(config, journal, now)
    };
    let mut rig = start(vec![], 100 * S);
    rig.hand_in("change", "a", "k");
    rig.after(4 * S);
    let copy = rig.calls()[1].0;
    rig.reply(copy, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(rig.ended.len(), 1, "the slower one is called off, and may run on");
    // The second process has it from the file that the first began with. Each lets the key rest once more, as a
    // process that dies ends what its endpoint may not have seen the end of.
    let second = start(rig.journal, rig.now + 10 * MS);
    let mut rig = start(second.journal, second.now + 10 * MS);
    assert_eq!((rig.hand_in("change", "b", "k"), rig.hand_in("change", "c", "l")), (202, 202));
    rig.after(2 * S - FIRST_WORD - MS);
    assert_eq!(rig.calls().iter().map(|c| &c.1[..]).collect::<Vec<_>>(), ["c"], "another key's");
    rig.after(MS);
    assert_eq!(rig.calls().last().unwrap().1, "b");
}
