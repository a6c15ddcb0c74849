//! The timeline of an operators' report, played with each candidate for the end of its message.
//!
//! Two endpoints in different zones never answer. The courier calls both, gives both calls up together because
//! another message waits for a slot, and calls again. Each candidate ends the message; nothing is sent after it.
//!
//! `COURIER_PROGRAM=PATH cargo test -p linnetcart-edge --test process reported_timeline -- --nocapture` plays it to
//! another build.

use crate::courier::{platform_config, submission, CourierProcess};
use crate::peer::{GatedListener, Peer};
use crate::stubs::{discovery_stub, Stub, SERVED};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
/// When messages for another destination begin to wait for a slot, which ends calls that are overdue, and how often
/// more come.
const OTHER_MESSAGES_AT_MS: u64 = 2300;
const OTHER_MESSAGES_INTERVAL_MS: u64 = 1500;
const OTHER_MESSAGES: usize = 3;
const SLOTS: usize = 4;
/// When the endpoints begin to answer that the message is over, and when that play ends.
const GONE_FROM_MS: u64 = 3000;
const GONE_PLAY_MS: u64 = 6500;
/// Time to the deadline where the deadline ends the message, and how late its notification may be.
const SHORT_DEADLINE_MS: u64 = 4000;
const NOTIFICATION_TIME_MS: u64 = 300;
/// How long after an end a call may arrive that left before the end was read.
const READING_TOLERANCE_MS: u64 = 50;
const NO_CALL_MS: u64 = 3000;

/// A call of the reported message.
#[derive(Clone, Debug)]
struct Call {
    at_ms: u64,
    ended_ms: Option<u64>,
}

/// What the endpoints do with calls of the reported message; those of others get no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Silent,
    Gone,
    /// They answer 200 in the moment in which the courier ends the call.
    ServedAtEnd,
}

/// A connection from the courier, and the index of the call of the reported message on it.
struct Upstream {
    peer: Peer,
    call: Option<usize>,
}

struct Play {
    courier: CourierProcess,
    discovery: Stub,
    gates: Vec<GatedListener>,
    upstream: Vec<Upstream>,
    calls: Vec<Call>,
    served_ms: Option<u64>,
    notified_ms: Option<u64>,
    submitted_at: Instant,
    next_others_ms: u64,
}

impl Play {
    fn new(name: &str, change: impl FnOnce(&mut Value)) -> Play {
        Play::with_endpoints(name, [GatedListener::new(), GatedListener::new()], change)
    }

    fn with_endpoints(name: &str, gates: [GatedListener; 2], change: impl FnOnce(&mut Value)) -> Play {
        let discovery = discovery_stub();
        let mut gates = Vec::from(gates);
        gates.push(GatedListener::new());
        let addresses: Vec<SocketAddr> = gates.iter().map(|gate| gate.address).collect();
        let courier = CourierProcess::with_config(name, |listen| {
            let mut config = timeline_config(listen, &addresses, discovery.address);
            change(&mut config);
            config
        });
        Play {
            courier,
            discovery,
            gates,
            upstream: vec![],
            calls: vec![],
            served_ms: None,
            notified_ms: None,
            submitted_at: Instant::now(),
            next_others_ms: OTHER_MESSAGES_AT_MS,
        }
    }

    /// Submits the reported message; the times of the play count from now.
    fn submit(&mut self, remaining_ms: u64) {
        self.submitted_at = Instant::now();
        assert_eq!(self.courier.request(&reported(remaining_ms)), Some(202));
    }

    fn elapsed_ms(&self) -> u64 {
        self.submitted_at.elapsed().as_millis() as u64
    }

    /// Lets the endpoints behave so until this time of the play.
    fn run_until(&mut self, until_ms: u64, behaviour: Behaviour) {
        while self.elapsed_ms() < until_ms {
            if self.elapsed_ms() >= self.next_others_ms {
                self.next_others_ms += OTHER_MESSAGES_INTERVAL_MS;
                self.submit_others();
            }
            for gate in &self.gates {
                if gate.is_open() && !gate.is_silent_for(1) {
                    self.upstream.push(Upstream { peer: gate.accept(), call: None });
                }
            }
            if self.notified_ms.is_none() && self.discovery.count_matching("\"reported\"") > 0 {
                self.notified_ms = Some(self.elapsed_ms());
            }
            for mut upstream in std::mem::take(&mut self.upstream) {
                if self.serve(&mut upstream, behaviour) {
                    self.upstream.push(upstream);
                }
            }
        }
    }

    /// Serves a connection. Returns whether it is still of use.
    fn serve(&mut self, upstream: &mut Upstream, behaviour: Behaviour) -> bool {
        let now = self.elapsed_ms();
        if upstream.peer.has_ended() {
            if let Some(call) = upstream.call {
                self.calls[call].ended_ms = Some(now);
                if behaviour == Behaviour::ServedAtEnd {
                    upstream.peer.send_if_open(SERVED);
                    self.served_ms.get_or_insert(now);
                }
            }
            return false;
        }
        if !upstream.peer.has_input() || !upstream.peer.wait_for_request() {
            return true;
        }
        if upstream.peer.read_request() != "reported" {
            return true;
        }
        upstream.call = Some(self.calls.len());
        self.calls.push(Call { at_ms: now, ended_ms: None });
        if behaviour == Behaviour::Gone {
            upstream.peer.send_if_open(GONE);
        }
        true
    }

    /// Submits messages that wait for a slot.
    fn submit_others(&self) {
        for number in 0..OTHER_MESSAGES {
            let id = format!("other-{}-{number}", self.next_others_ms);
            let other = submission("status", &id, "").replace("dest=3", "dest=4");
            self.courier.request(&other.replace("-Ms: 30000", "-Ms: 3000"));
        }
    }

    /// Plays two calls that get no answer and end together, because other messages wait for a slot.
    fn play_first_calls(&mut self, remaining_ms: u64) {
        self.submit(remaining_ms);
        self.run_until(OTHER_MESSAGES_AT_MS + 1, Behaviour::Silent);
    }

    /// Fails if a call arrived after this time of the play.
    fn check_no_call_after(&self, end_ms: u64, what: &str) {
        println!("{what}: ended at {end_ms}, notified at {:?}, calls {:?}", self.notified_ms, self.calls);
        for line in self.courier.log_lines_of("reported") {
            println!("  {line}");
        }
        let is_late = |call: &&Call| call.at_ms > end_ms + READING_TOLERANCE_MS;
        let late: Vec<&Call> = self.calls.iter().filter(is_late).collect();
        assert!(late.is_empty(), "{what}: ended at {end_ms} ms, and sent again: {late:?}");
    }

    fn check_notified_by(&self, end_ms: u64) {
        let notified = self.notified_ms.expect("the platform is notified of its end");
        assert!(
            notified <= end_ms + NOTIFICATION_TIME_MS,
            "notified at {notified} ms, it ended at {end_ms} ms"
        );
    }
}

fn reported(remaining_ms: u64) -> String {
    submission("status", "reported", "").replace("-Ms: 30000", &format!("-Ms: {remaining_ms}"))
}

/// Two endpoints of destination 3 in zones of their own, one of destination 4, hedging after 600 ms.
fn timeline_config(listen: SocketAddr, endpoints: &[SocketAddr], discovery: SocketAddr) -> Value {
    let mut config = platform_config(listen, endpoints, discovery);
    let settings = &mut config["settings"];
    settings["zones"] = json!(["building-a", "building-b", "building-c"]);
    settings["family_info"] = json!({"max_calls": SLOTS, "kind_apart": [true]});
    settings["bounds"]["parallel_tries"] = true.into();
    settings["services"][0]["slo_ns"] = 600_000_000u64.into();
    config["known"]["endpoints"][0]["zone"] = "building-b".into();
    config["known"]["endpoints"][1]["zone"] = "building-c".into();
    config["known"]["endpoints"][2]["group"] = 4.into();
    config
}

#[test]
fn message_reported_as_gone_is_not_sent_again() {
    let mut play = Play::new("timeline-gone", |_| {});
    play.play_first_calls(30_000);
    play.run_until(GONE_FROM_MS, Behaviour::Silent);
    play.run_until(GONE_PLAY_MS, Behaviour::Gone);
    let gone = play.calls.iter().map(|call| call.at_ms).find(|&at| at >= GONE_FROM_MS);
    play.check_no_call_after(gone.expect("it is sent until then"), "410");
    assert_eq!(play.notified_ms, None, "nothing is owed for it");
}

/// Plays a message whose time is up after [`SHORT_DEADLINE_MS`].
fn check_deadline(
    name: &str,
    remaining_ms: u64,
    change: impl FnOnce(&mut Value),
    disturb: impl FnOnce(&Play),
) {
    let mut play = Play::new(name, change);
    play.play_first_calls(remaining_ms);
    play.run_until(SHORT_DEADLINE_MS - 500, Behaviour::Silent);
    disturb(&play);
    play.run_until(SHORT_DEADLINE_MS + NO_CALL_MS, Behaviour::Silent);
    play.check_no_call_after(SHORT_DEADLINE_MS, name);
    play.check_notified_by(SHORT_DEADLINE_MS);
}

#[test]
fn message_is_not_sent_after_time_that_client_gave() {
    check_deadline("timeline-client-time", SHORT_DEADLINE_MS, |_| {}, |_| {});
}

#[test]
fn message_is_not_sent_after_time_of_its_class() {
    let shorten = |config: &mut Value| {
        config["settings"]["services"][0]["hard_limit_ns"] = (SHORT_DEADLINE_MS * 1_000_000).into();
    };
    check_deadline("timeline-class-time", 30_000, shorten, |_| {});
}

#[test]
fn message_is_not_sent_after_its_time_although_wall_clock_goes_back() {
    let step = |play: &Play| play.courier.faults.step_wall_clock_back(Duration::from_secs(3600));
    check_deadline("timeline-clock", SHORT_DEADLINE_MS, |_| {}, step);
}

#[test]
fn message_is_not_sent_after_its_time_although_new_settings_are_longer() {
    let reload = |play: &Play| {
        let mut config = play.courier.read_config();
        config["settings"]["services"][0]["hard_limit_ns"] = 60_000_000_000u64.into();
        play.courier.write_config(&config);
        play.courier.signal(rustix::process::Signal::HUP);
    };
    check_deadline("timeline-settings", SHORT_DEADLINE_MS, |_| {}, reload);
}

#[test]
fn message_is_not_sent_after_its_time_although_process_was_held_up() {
    const HELD_UP: Duration = Duration::from_millis(150);
    let hold_up = |play: &Play| {
        while play.elapsed_ms() + 50 < SHORT_DEADLINE_MS {
            std::thread::sleep(Duration::from_millis(1));
        }
        play.courier.stop();
        std::thread::sleep(HELD_UP);
        play.courier.resume();
    };
    check_deadline("timeline-held-up", SHORT_DEADLINE_MS, |_| {}, hold_up);
}

/// The message has no attempt left after its first two. Discovery is silent, so its notification is not answered.
#[test]
fn message_given_up_is_not_sent_while_notification_is_unanswered() {
    let silent = GatedListener::new();
    let mut play = Play::new("timeline-given-up", |config| {
        config["settings"]["bounds"]["max_attempts"] = 2.into();
        config["discovery"] = silent.address.to_string().into();
    });
    play.play_first_calls(30_000);
    play.run_until(SHORT_DEADLINE_MS, Behaviour::Silent);
    let ended = play.calls.iter().filter_map(|call| call.ended_ms).max();
    play.run_until(GONE_PLAY_MS, Behaviour::Silent);
    play.check_no_call_after(ended.expect("both calls end"), "given up");
}

/// A request that names the id of the reported message, and the answer to it if no message with its id is known.
struct OtherRequest {
    what: &'static str,
    request: String,
    status: u16,
}

/// Requests that name the id of the reported message and are invalid, unreadable, incomplete or another message.
fn other_requests() -> Vec<OtherRequest> {
    let valid = reported(30_000);
    let with_field = |field: &str| valid.replace("X-Route-To", &format!("{field}\r\nX-Route-To"));
    let requests = vec![
        ("another class", valid.replace("POST /status", "POST /order"), 202),
        ("another destination", valid.replace("dest=3", "dest=77"), 404),
        ("an unreadable time", valid.replace("-Ms: 30000", "-Ms: soon"), 400),
        ("no time left", valid.replace("-Ms: 30000", "-Ms: 0"), 503),
        ("a body that never comes", with_field("Content-Length: 100"), 408),
        ("a head that never ends", valid.replace("\r\n\r\n", "\r\n"), 408),
        ("two lengths", with_field("Content-Length: 5\r\nContent-Length: 7"), 400),
        ("a negative length", with_field("Content-Length: -5"), 400),
        ("a huge length", with_field("Content-Length: 60000000"), 413),
        ("a transfer coding", with_field("Content-Length: 5\r\nTransfer-Encoding: chunked"), 411),
        ("a line that is no field", with_field("No field"), 400),
        ("a head that is too long", with_field(&format!("X-Long: {}", "x".repeat(40_000))), 431),
        ("its id twice", with_field("X-Txn: reported"), 400),
    ];
    requests.into_iter().map(|(what, request, status)| OtherRequest { what, request, status }).collect()
}

/// Other requests with the message's id, as another client or an impatient one sends them: each is told what is true of
/// it, none that its message may be submitted again, and the reported message goes on to its one end.
#[test]
fn message_is_delivered_once_although_other_requests_with_its_id_are_refused() {
    let mut play = Play::new("timeline-told", |_| {});
    play.submit(30_000);
    let mut clients = Vec::new();
    for OtherRequest { what, request, status } in other_requests() {
        let mut client = Peer::connect(play.courier.listen);
        client.send(&request);
        let expected = match what {
            "another class" => 409,
            "no time left" => 202,
            _ => status,
        };
        clients.push((what, client, expected));
    }
    play.run_until(GONE_FROM_MS, Behaviour::Silent);
    for (what, client, expected) in &mut clients {
        assert_eq!(client.read_response().status, *expected, "{what}");
    }
    play.run_until(GONE_PLAY_MS, Behaviour::ServedAtEnd);
    play.check_no_call_after(play.served_ms.expect("a call ends"), "200 at the end of a call");
    assert_eq!(play.notified_ms, None, "nothing is owed for it");
    assert_eq!(play.courier.count_logged("message accepted", &[("id", "reported".into())]), 1);
}

/// Only an answer that says that the message may be submitted again binds the id of a request that is no submission:
/// nothing else of it can be sent, and its id may be another client's.
#[test]
fn id_of_refused_invalid_request_is_free_unless_it_was_rejected() {
    let play = Play::new("timeline-refused", |_| {});
    let mut clients = Vec::new();
    for (number, other) in other_requests().into_iter().enumerate() {
        let id = format!("refused-{number}");
        let mut client = Peer::connect(play.courier.listen);
        client.send(&other.request.replace("reported", &id));
        clients.push((other, id, client));
    }
    for (other, id, client) in &mut clients {
        let OtherRequest { what, status, .. } = other;
        assert_eq!(client.read_response().status, *status, "{what}");
        let expected = match *status {
            202 => 409,
            503 => 503,
            _ => 202,
        };
        assert_eq!(play.courier.request(&submission("status", id, "")), Some(expected), "{what}");
    }
}

/// The answer 202 may not have arrived: the client resets its connection right behind its request. Its message is
/// accepted or not, and has one end either way.
#[test]
fn message_of_client_that_left_ends_once() {
    let mut play = Play::new("timeline-left", |_| {});
    play.submitted_at = Instant::now();
    let mut client = Peer::connect(play.courier.listen);
    client.send(&reported(SHORT_DEADLINE_MS));
    drop(client);
    play.run_until(SHORT_DEADLINE_MS + NO_CALL_MS, Behaviour::Silent);
    play.check_no_call_after(SHORT_DEADLINE_MS, "client left");
    if !play.calls.is_empty() {
        play.check_notified_by(SHORT_DEADLINE_MS);
    }
}

#[test]
fn message_served_in_moment_of_cancellation_is_not_sent_again() {
    let mut play = Play::new("timeline-served", |_| {});
    play.play_first_calls(30_000);
    play.run_until(GONE_PLAY_MS, Behaviour::ServedAtEnd);
    play.check_no_call_after(play.served_ms.expect("a call ends"), "200 at the end of a call");
    assert_eq!(play.notified_ms, None, "nothing is owed for it");
}

/// The second endpoint accepts no connection until the message has ended.
#[test]
fn attempt_that_waits_for_connection_is_not_sent_after_end() {
    let mut play = Play::with_endpoints(
        "timeline-waiting",
        [GatedListener::new(), GatedListener::not_accepting()],
        |config| config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into(),
    );
    play.play_first_calls(30_000);
    play.run_until(GONE_FROM_MS, Behaviour::Silent);
    play.gates[1].open();
    play.run_until(GONE_PLAY_MS, Behaviour::Gone);
    let gone = play.calls.iter().map(|call| call.at_ms).find(|&at| at >= GONE_FROM_MS);
    play.check_no_call_after(gone.unwrap_or(GONE_PLAY_MS), "waiting attempt");
}
