//! The reporting in virtual time: outages, crashes, clocks that jump. What a receiver ends with must be what was
//! counted beside the reporting, and no count may ever fall.

use linnetcart::{AttemptOutcome, Class, Idempotency, LimitChange, LimitState};
use linnetcart_delivery_events::{DeliveryEvent, FinalAnswer, LoadReport, RejectionReason};
use linnetcart_telemetry::connection::ConnectionAction;
use linnetcart_telemetry::counts::Saved;
use linnetcart_telemetry::settings::{Collectd, Form, Graphite, Security, Telemetry as Settings};
use linnetcart_telemetry::stream::Stream;
use linnetcart_telemetry::{
    collectd, CourierInfo, CurrentState, ListedEndpoint, LogEvent, Output, RestoredState, SyncError,
    Telemetry,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng as StdRng;
use std::collections::BTreeMap;

const S: u64 = 1_000_000_000;
const WALL: u64 = 1_700_000_000 * S;

fn courier(me: u32) -> CourierInfo {
    let class = |name: &str| {
        let (aim, deadline, repeat) = (S, 8 * S, Idempotency::Idempotent);
        (
            name.to_owned(),
            Class {
                latency_objective: aim,
                deadline,
                priority_weight: 2.0,
                late_weight: 0.5,
                idempotency: repeat,
                ordered: false,
            },
        )
    };
    CourierInfo {
        deployment: "test".into(),
        me,
        classes: vec![class("order"), class("query")],
        halves: false,
        seed: 5,
    }
}

fn settings(form: Form) -> Settings {
    let address = "127.0.0.1:2003".parse().expect("an address");
    Settings {
        graphite: Some(Graphite { address, form, tags: false, queue_bytes: 1 << 18, stuck_s: 5 }),
        collectd: Some(Collectd { address, host: None, security: Security::None, packet_bytes: 1452 }),
        ..Settings::default()
    }
}

/// A receiver, with what its connection holds.
#[derive(Default)]
struct Receiver {
    stream: Stream,
    held: Vec<u8>,
}

impl Receiver {
    fn take(&mut self, bytes: &[u8]) {
        self.held.extend(bytes);
        assert!(self.stream.take(&mut self.held, |_, _, _| ()));
        assert_eq!(self.stream.bad, 0, "{:?}", self.stream.last_bad);
    }
}

/// What the disk holds: the snapshot, and logs of which some bytes were never brought to disk.
#[derive(Default)]
struct Disk {
    saved: Option<Vec<u8>>,
    log: Vec<u8>,
    safe: usize,
}

struct Rig {
    telemetry: Telemetry,
    disk: Disk,
    disk_works: bool,
    receiver: Receiver,
    by_udp: Stream,
    /// The receiver is there; it reads.
    there: bool,
    reads: bool,
    up: bool,
    given: u64,
    now: u64,
    wall: u64,
    logs: Vec<LogEvent>,
    random: StdRng,
    /// What was counted beside the reporting, by the ends of series' names.
    counted: BTreeMap<String, u64>,
    most_waiting: usize,
}

impl Rig {
    fn new(form: Form) -> Rig {
        let mut rig = Rig {
            telemetry: Telemetry::new(courier(3), RestoredState::default(), settings(form), S),
            disk: Disk::default(),
            disk_works: true,
            receiver: Receiver::default(),
            by_udp: Stream::default(),
            there: true,
            reads: true,
            up: false,
            given: 0,
            now: S,
            wall: WALL,
            logs: Vec::new(),
            random: StdRng::seed_from_u64(1),
            counted: BTreeMap::new(),
            most_waiting: 0,
        };
        rig.list();
        rig.begin_log();
        rig
    }

    fn list(&mut self) {
        let entry =
            |endpoint| ListedEndpoint { endpoint, destination: endpoint / 10, apart: endpoint / 10 == 2 };
        self.telemetry.set_endpoints([10, 11, 20, 21, 30].into_iter().map(entry));
    }

    fn begin_log(&mut self) {
        self.disk.saved = Some(serde_json::to_vec(&self.telemetry.saved()).expect("it can be written"));
        self.disk.log = self.telemetry.log_head();
        self.disk.safe = self.disk.log.len();
    }

    /// The process dies; with it, if the power goes, what was not on disk.
    fn crash(&mut self, power: bool) {
        let length = if power { self.disk.safe } else { self.disk.log.len() };
        let saved: Option<Saved> =
            self.disk.saved.as_deref().map(|s| serde_json::from_slice(s).expect("it was whole"));
        let found = RestoredState { saved, logs: vec![self.disk.log[..length].to_vec()] };
        let set = self.telemetry.settings().clone();
        self.telemetry = Telemetry::new(courier(3), found, set, self.now);
        (self.up, self.given) = (false, 0);
        self.receiver.held.clear();
        self.list();
        self.begin_log();
    }

    fn count(&mut self, dest: u32, class: u8, field: &str) {
        let class = ["order", "query"][usize::from(class)];
        for end in [
            format!("courier.{field}"),
            format!("class.{class}.{field}"),
            format!("dest.d{dest}.{field}"),
            format!("dest.d{dest}.class.{class}.{field}"),
        ] {
            *self.counted.entry(end).or_default() += 1;
        }
    }

    /// A message lives and ends; its turn of the loop follows.
    fn message(&mut self) {
        let (dest, class) = (self.random.random_range(1..4u32), self.random.random_range(0..2u8));
        let endpoint = dest * 10;
        let id = self.random.random();
        let mut facts = Vec::new();
        if self.random.random_bool(0.05) {
            facts.push(DeliveryEvent::Rejected {
                class,
                destination: dest,
                reason: RejectionReason::Overloaded,
            });
            self.count(dest, class, "turned_away");
        } else {
            facts.push(DeliveryEvent::Accepted {
                message: id,
                name: "x".into(),
                class,
                destination: dest,
                deadline: self.now + 8 * S,
            });
            facts.push(DeliveryEvent::AttemptStarted {
                message: id,
                attempt: 0,
                class,
                destination: dest,
                endpoint,
                hedge: false,
            });
            self.count(dest, class, "taken");
            self.count(dest, class, "attempts");
            let (ending, answer, after, field, end) = match self.random.random_range(0..10) {
                0 => (
                    AttemptOutcome::Rejected { retry_after: S },
                    FinalAnswer::Rejected { retry_after: S },
                    S / 9,
                    "full",
                    "refused",
                ),
                1 => (AttemptOutcome::Error, FinalAnswer::Failed, S / 9, "errors", "failed"),
                2 => (AttemptOutcome::Served, FinalAnswer::Served, 2 * S, "served", "late"),
                _ => (AttemptOutcome::Served, FinalAnswer::Served, S / 9, "served", "in_aim"),
            };
            let load = Some(LoadReport { capacity_left: 0.25, rate_limit: 40.0 });
            facts.push(DeliveryEvent::AttemptFinished {
                message: id,
                attempt: 0,
                class,
                destination: dest,
                endpoint,
                outcome: ending,
                elapsed: after,
                load,
            });
            facts.push(DeliveryEvent::Completed {
                message: id,
                class,
                destination: dest,
                answer,
                elapsed: after,
            });
            self.count(dest, class, field);
            self.count(dest, class, end);
        }
        facts.iter().for_each(|f| self.telemetry.record(f));
    }

    fn turn(&mut self) {
        self.telemetry.process(self.now, self.wall, || CurrentState {
            slots: 8,
            slots_used: 2,
            ..CurrentState::default()
        });
        for _ in 0..10 {
            let outputs = self.telemetry.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.output(output);
            }
        }
        let waiting = self.telemetry.status(self.now).graphite_waiting;
        self.most_waiting = self.most_waiting.max(waiting);
    }

    fn output(&mut self, output: Output) {
        match output {
            Output::Append(bytes) => self.disk.log.extend(bytes),
            Output::Sync(number) => {
                if self.disk_works {
                    self.disk.safe = self.disk.log.len();
                }
                let done =
                    if self.disk_works { Ok(()) } else { Err(SyncError::Storage("no space".to_owned())) };
                self.telemetry.synced(number, done);
            }
            Output::Graphite(ConnectionAction::Connect(_)) if self.there => {
                (self.up, self.given) = (true, 0);
                self.telemetry.connected(self.now);
                self.telemetry.process(self.now, self.wall, CurrentState::default);
            }
            Output::Graphite(ConnectionAction::Connect(_)) => self.telemetry.disconnected(self.now),
            Output::Graphite(ConnectionAction::Write(bytes)) if self.up && self.reads => {
                self.given += bytes.len() as u64;
                self.receiver.take(&bytes);
                self.telemetry.acknowledged(self.now, self.given);
            }
            Output::Graphite(ConnectionAction::Write(_)) => {}
            Output::Graphite(ConnectionAction::Close) => {
                self.up = false;
                self.receiver.held.clear();
            }
            Output::Datagram(_, packet) => {
                let said = collectd::read(&packet, &BTreeMap::new(), Default::default()).expect("a packet");
                for s in said {
                    if let collectd::PacketItem::Values(about, values) = s {
                        let name = format!("{}.{}", about.plugin_instance, about.type_instance);
                        self.by_udp.point(&name, values[0].as_f64(), collectd::nanos(about.time) / S);
                    }
                }
            }
            Output::Log(event) | Output::Info(event) => self.logs.push(event),
        }
    }

    /// So many tenths of a second, a message in each.
    fn run(&mut self, tenths: u64) {
        for _ in 0..tenths {
            (self.now, self.wall) = (self.now + S / 10, self.wall + S / 10);
            self.message();
            self.turn();
        }
    }

    /// So many messages, one in each millisecond.
    fn run_fast(&mut self, messages: u64) {
        for _ in 0..messages {
            (self.now, self.wall) = (self.now + S / 1000, self.wall + S / 1000);
            self.message();
            self.turn();
        }
    }

    /// Quiet, until every series had its turn.
    fn settle(&mut self) {
        for _ in 0..400 {
            (self.now, self.wall) = (self.now + S, self.wall + S);
            self.turn();
        }
    }

    fn check(&self) {
        assert_eq!(self.receiver.stream.fell, Vec::<String>::new());
        assert_eq!(self.by_udp.fell, Vec::<String>::new());
        for (end, &wanted) in &self.counted {
            let name = format!("linnetcart.test.edge.3.{end}");
            let got = self.receiver.stream.last.get(&name).map(|p| p.1);
            assert_eq!(got, Some(wanted as f64), "{name}");
            let parts: Vec<&str> = end.split('.').collect();
            let (field, place) = parts.split_last().expect("a field");
            let got = self.by_udp.last.get(&format!("{}.{field}", place.join("-"))).map(|p| p.1);
            assert_eq!(got, Some(wanted as f64), "{end} over collectd");
        }
    }
}

#[test]
fn every_series_ends_with_what_was_counted() {
    for form in [Form::Plaintext, Form::Pickle] {
        let mut rig = Rig::new(form);
        rig.run(600);
        rig.settle();
        rig.check();
        let get = |end: &str| rig.receiver.stream.last[&format!("linnetcart.test.edge.3.{end}")].1;
        assert_eq!(get("dest.d2.limit_told"), 40.0);
        assert_eq!(get("dest.d2.limit_used_share"), 0.75);
        assert_eq!(get("dest.d2.route.20.attempts"), get("dest.d2.attempts"));
        let worth = |f: &str| get(&format!("courier.worth_{f}_milli"));
        assert_eq!(worth("asked"), worth("in_aim") + worth("late") + worth("lost"));
        assert!(worth("late") > 0.0 && worth("lost") > 0.0);
    }
}

#[test]
fn ten_minutes_without_a_receiver_lose_resolution_and_no_count() {
    let mut rig = Rig::new(Form::Plaintext);
    rig.run(300);
    let before = rig.receiver.stream.points;
    (rig.there, rig.reads, rig.up) = (false, false, false);
    rig.telemetry.disconnected(rig.now);
    rig.run(6000);
    assert_eq!(rig.receiver.stream.points, before);
    assert!(rig.most_waiting <= 1 << 18, "{}", rig.most_waiting);
    (rig.there, rig.reads) = (true, true);
    rig.run(1200);
    rig.settle();
    rig.check();
    let dropped = rig.receiver.stream.last["linnetcart.test.edge.3.courier.points_dropped"].1;
    assert!(dropped > 0.0, "what was dropped is reported");
}

#[test]
fn a_receiver_that_never_reads_or_resets_each_connection_costs_no_count() {
    let mut rig = Rig::new(Form::Pickle);
    rig.reads = false;
    rig.run(3000);
    assert!(rig.most_waiting <= 1 << 18, "{}", rig.most_waiting);
    rig.reads = true;
    for _ in 0..60 {
        rig.run(30);
        rig.up = false;
        rig.receiver.held.clear();
        rig.telemetry.disconnected(rig.now);
    }
    rig.run(900);
    rig.settle();
    rig.check();
}

#[test]
fn crashes_between_saves_and_three_restarts_in_an_interval_lose_nothing() {
    let mut rig = Rig::new(Form::Plaintext);
    for n in 0..30 {
        rig.run(10 + n * 3 % 70);
        rig.run_fast(n % 5);
        rig.crash(false);
        if n % 10 == 0 {
            rig.crash(false);
            rig.run(1);
            rig.crash(false);
        }
    }
    rig.run(10);
    rig.settle();
    rig.check();
}

#[test]
fn a_power_cut_takes_what_was_not_on_disk_and_no_series_falls() {
    let mut rig = Rig::new(Form::Plaintext);
    for n in 0..30 {
        rig.run(150 + n * 7 % 130);
        rig.crash(true);
    }
    rig.settle();
    assert_eq!(rig.receiver.stream.fell, Vec::<String>::new());
    let counted = rig.counted["courier.taken"] as f64;
    let got = rig.receiver.stream.last["linnetcart.test.edge.3.courier.taken"].1;
    assert!(got <= counted && got > counted / 2.0, "{got} of {counted}");
}

#[test]
fn clocks_that_jump_an_hour_either_way_let_no_series_fall() {
    let mut rig = Rig::new(Form::Plaintext);
    rig.run(300);
    rig.wall -= 3600 * S;
    rig.run(600);
    assert!(rig.logs.iter().any(|event| matches!(event, LogEvent::ClockSetBack { .. })), "{:?}", rig.logs);
    rig.crash(false);
    rig.run(600);
    rig.wall += 3 * 3600 * S;
    rig.run(300);
    rig.settle();
    rig.check();
}

#[test]
fn while_the_disk_fails_counts_are_held_back_and_gauges_go_on() {
    let mut rig = Rig::new(Form::Plaintext);
    rig.run(300);
    rig.disk_works = false;
    let taken = rig.receiver.stream.last["linnetcart.test.edge.3.courier.taken"];
    let slots = rig.receiver.stream.last["linnetcart.test.edge.3.courier.slots"];
    rig.run(600);
    assert_eq!(rig.receiver.stream.last["linnetcart.test.edge.3.courier.taken"], taken);
    assert!(rig.receiver.stream.last["linnetcart.test.edge.3.courier.slots"].0 > slots.0);
    assert!(rig.telemetry.status(rig.now).counts_not_safe);
    rig.disk_works = true;
    rig.run(300);
    rig.settle();
    rig.check();
}

#[test]
fn names_that_change_or_collide_never_make_a_series_fall() {
    let mut rig = Rig::new(Form::Plaintext);
    let name = |rig: &mut Rig, names: &[(u32, &str)]| {
        let names = names.iter().map(|(n, name)| (*n, (*name).to_owned())).collect();
        let set = Settings { names, ..rig.telemetry.settings().clone() };
        rig.telemetry.configure(set, rig.now);
        rig.run(250);
    };
    name(&mut rig, &[(1, "Bank Łódź"), (2, "Bank.Lodz")]);
    name(&mut rig, &[(1, "Other"), (2, "Bank Lodz"), (3, "Bank Lodz")]);
    rig.crash(false);
    // One is removed from the list, and comes back.
    rig.telemetry.set_endpoints([10, 30].into_iter().map(|e| ListedEndpoint {
        endpoint: e,
        destination: e / 10,
        apart: false,
    }));
    name(&mut rig, &[(3, "Other")]);
    rig.list();
    name(&mut rig, &[(1, "Bank Lodz")]);
    rig.settle();
    assert_eq!(rig.receiver.stream.fell, Vec::<String>::new());
    let taken = |name: &str| rig.receiver.stream.last[&format!("linnetcart.test.edge.3.dest.{name}.taken")].1;
    assert_eq!(taken("Bank_Lodz"), rig.counted["dest.d1.taken"] as f64, "it is the first owner's again");
    assert!(taken("Bank_Lodz-d2") > 0.0 && taken("Bank_Lodz-d3") > 0.0 && taken("Other-d3") > 0.0);
}

#[test]
fn states_are_told_once_and_silence_of_one_endpoint_of_two_is_no_outage() {
    let mut rig = Rig::new(Form::Plaintext);
    let mut told = Vec::new();
    let mut stand = |rig: &mut Rig, destination, endpoint, standing| {
        let change = LimitChange { destination, endpoint, state: standing, evidence: None };
        rig.telemetry.record(&DeliveryEvent::LimitChanged(change));
        rig.telemetry.process(rig.now, rig.wall, CurrentState::default);
        for output in rig.telemetry.outputs() {
            let Output::Datagram(_, packet) = output else { continue };
            for said in collectd::read(&packet, &BTreeMap::new(), Default::default()).expect("a packet") {
                if let collectd::PacketItem::Notification(about, severity, _) = said {
                    told.push((about.plugin_instance, severity));
                }
            }
        }
    };
    stand(&mut rig, 1, 10, LimitState::Silent);
    stand(&mut rig, 1, 11, LimitState::Silent);
    stand(&mut rig, 1, 11, LimitState::Ejected);
    stand(&mut rig, 2, 21, LimitState::Silent);
    stand(&mut rig, 1, 10, LimitState::Recovering);
    stand(&mut rig, 1, 10, LimitState::Healthy);
    let wanted = [("dest-d1", 1), ("dest-d2-route-21", 1), ("dest-d1", 2), ("dest-d1", 4)];
    assert_eq!(told, wanted.map(|(i, s)| (i.to_owned(), s)));
}

#[test]
fn sums_do_not_fall_at_a_restart_when_cells_have_come_to_their_bound() {
    let mut rig = Rig::new(Form::Plaintext);
    let set = Settings { cells: 3, ..settings(Form::Plaintext) };
    rig.telemetry = Telemetry::new(courier(3), RestoredState::default(), set, rig.now);
    rig.list();
    rig.begin_log();
    rig.run(300);
    rig.crash(false);
    rig.run(300);
    assert_eq!(rig.receiver.stream.fell, Vec::<String>::new());
    assert!(rig.telemetry.status(rig.now).beyond > 0);
}

#[test]
fn a_thousand_couriers_report_spread_over_the_interval() {
    let mut seconds = [0; 10];
    for me in 0..1000 {
        let t = Telemetry::new(courier(me), RestoredState::default(), settings(Form::Plaintext), 0);
        seconds[(t.next_wakeup() / S) as usize] += 1;
    }
    assert!(seconds.iter().all(|n| (60..=140).contains(n)), "{seconds:?}");
}

#[test]
fn five_thousand_destinations_of_ten_classes_stay_within_the_bound_of_a_report() {
    let mut many = courier(3);
    many.classes = (0..10).map(|n| (format!("c{n}"), many.classes[0].1.clone())).collect();
    let mut set = Settings { points: 20_000, ..settings(Form::Plaintext) };
    set.graphite.iter_mut().for_each(|g| g.queue_bytes = 16 << 20);
    let mut t = Telemetry::new(many, RestoredState::default(), set, 0);
    t.set_endpoints((0..5000).map(|d| ListedEndpoint { endpoint: d, destination: d, apart: false }));
    let mut receiver = Receiver::default();
    for round in 1..=60u64 {
        if round == 1 {
            for d in 0..5000u32 {
                for class in 0..10 {
                    t.record(&DeliveryEvent::Accepted {
                        message: d,
                        name: "x".into(),
                        class,
                        destination: d,
                        deadline: S,
                    });
                }
            }
        }
        let now = round * 10 * S;
        for slice in 0..300u64 {
            let now = now + slice * S / 1000;
            t.process(now, WALL + now, CurrentState::default);
            for output in t.outputs() {
                match output {
                    Output::Sync(n) => t.synced(n, Ok(())),
                    Output::Graphite(ConnectionAction::Connect(_)) => t.connected(now),
                    Output::Graphite(ConnectionAction::Write(bytes)) => receiver.take(&bytes),
                    _ => {}
                }
            }
            t.acknowledged(now, u64::MAX);
            assert!(t.status(now).points <= 20_000 + 100, "{}", t.status(now).points);
        }
    }
    let cells = receiver
        .stream
        .last
        .keys()
        .filter(|k| k.contains(".class.c") && k.contains(".dest.") && k.ends_with(".taken"));
    assert_eq!(cells.count(), 50_000, "every cell had its turn");
}
