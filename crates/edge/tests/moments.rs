//! Narrow moments on real connections: a request, an answer or a signal between two lines. Each test has the
//! bad order happen every time: the stand-ins do a thing when the test says so, and never by a clock. What is
//! to be in one iteration of its event loop is sent while it is stopped.

mod process;

use process::peer::{AfterAnswer, Answer, GatedListener, Peer};
use process::stubs::{count_matching, discovery_stub, endpoint_stub, SERVED};
use process::*;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::net::SocketAddr;

const ACCEPTED_AND_CLOSED: Answer = Answer { status: 202, then: AfterAnswer::Closed };

/// Connections may take as long as the system tries for them.
fn patient(mut config: Value) -> Value {
    config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into();
    config
}

/// And another destination, 4.
fn with_other(mut config: Value, other: SocketAddr) -> Value {
    let mut entry = entry("s-9", other, "active");
    entry["group"] = 4.into();
    config["known"]["endpoints"].as_array_mut().unwrap().push(entry);
    config
}

/// The configuration as it is, with its classes in this order.
fn with_classes(courier: &CourierProcess, classes: &[usize]) -> Value {
    let text = std::fs::read_to_string(courier.dir.join("config.json")).unwrap();
    let mut config: Value = serde_json::from_str(&text).unwrap();
    let all = config["settings"]["services"].clone();
    config["settings"]["services"] = classes.iter().map(|&n| all[n].clone()).collect();
    config
}

#[test]
fn retry_after_while_connecting_withholds_attempt() {
    let (discovery, _) = discovery_stub();
    let quick = GatedListener::new();
    let mut late = GatedListener::not_accepting();
    let courier = CourierProcess::with("wait", |listen| {
        patient(config_file(listen, &[quick.address, late.address], discovery))
    });
    // Each endpoint gets one: the second goes to where none is out.
    assert_eq!((courier.submit("order", "a"), courier.submit("order", "b")), (202, 202));
    let mut first = quick.accept();
    first.read_request();
    first.send("HTTP/1.1 429 No\r\nX-Backoff-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
    courier.settle();
    late.open();
    let mut second = late.accept();
    courier.settle();
    assert!(second.is_silent(), "the wait binds every endpoint of the destination");
    assert_eq!(courier.logged("attempt withheld, Retry-After pending", &[]), 1);
}

#[test]
fn attempt_connecting_while_journal_replaced_counts_after_kill() {
    let (discovery, notifications) = discovery_stub();
    let (quick, served) = endpoint_stub();
    let mut late = GatedListener::not_accepting();
    let mut courier = CourierProcess::with("anew", |listen| {
        patient(with_other(config_file(listen, &[late.address], discovery), quick))
    });
    assert_eq!(courier.submit("order", "unsafe"), 202);
    let before = files(&courier);
    // Others fill the file until there is a new one, which begins with what is held.
    for n in 0.. {
        assert!(n < 20, "the journal never begins anew");
        let id = format!("fill-{n}");
        let head = submission("status", &id, "Content-Length: 60000\r\n").replace("dest=3", "dest=4");
        assert_eq!(courier.request(&format!("{head}{}", "x".repeat(60_000))), Some(202));
        wait_until("it is delivered", || count_matching(&served, &id) == 1);
        courier.settle();
        if files(&courier) != before {
            break;
        }
    }
    late.open();
    let mut attempt = late.accept();
    assert_eq!(attempt.read_request(), "unsafe");
    courier.kill_and_restart();
    wait_until("it is ended by a notification", || count_matching(&notifications, "unsafe") == 1);
    assert!(count_matching(&notifications, r#""state":"failed""#) == 1, "it may have run");
    courier.settle();
    assert!(late.is_silent(), "and does not go again");
}

fn files(courier: &CourierProcess) -> Vec<std::ffi::OsString> {
    std::fs::read_dir(courier.dir.join("state")).unwrap().map(|e| e.unwrap().file_name()).collect()
}

#[test]
fn message_under_reordered_settings_keeps_its_class() {
    let (discovery, notifications) = discovery_stub();
    let (endpoint, attempts) = endpoint_stub();
    let mut courier = CourierProcess::new("classes", endpoint, discovery);
    assert_eq!((courier.submit("order", "slow-order"), courier.submit("status", "slow-status")), (202, 202));
    wait_until("both are out", || attempts.lock().unwrap().len() == 2);
    // The place of the unsafe class is now that of the safe one.
    write_config(&courier.dir, &with_classes(&courier, &[2, 0, 1]));
    courier.kill_and_restart();
    wait_until("the safe one goes again", || count_matching(&attempts, "slow-status") == 2);
    wait_until("the unsafe one is ended", || count_matching(&notifications, "slow-order") == 1);
    // And where there is no such class at all, what is owed has an end all the same.
    write_config(&courier.dir, &with_classes(&courier, &[0, 2]));
    courier.kill_and_restart();
    wait_until("it has failed", || count_matching(&notifications, r#""slow-status","state":"failed""#) == 1);
    assert_eq!((count_matching(&attempts, "slow-order"), count_matching(&attempts, "slow-status")), (1, 2));
    let id = [("id", json!("slow-status"))];
    assert_eq!(courier.logged("recovered message of unknown class failed", &id), 1);
}

#[test]
fn completed_id_known_also_after_kills() {
    let (discovery, _) = discovery_stub();
    let (endpoint, attempts) = endpoint_stub();
    let mut courier = CourierProcess::new("known", endpoint, discovery);
    assert_eq!(courier.submit("order", "once"), 202);
    wait_until("it is delivered", || count_matching(&attempts, "once") == 1);
    courier.settle();
    for _ in 0..3 {
        assert_eq!(courier.submit("order", "once"), 202, "it is known");
        assert_eq!(courier.submit("status", "once"), 409, "another under its id");
        courier.settle();
        assert_eq!(count_matching(&attempts, "once"), 1);
        courier.kill_and_restart();
    }
}

#[test]
fn message_submitted_twice_in_one_iteration_gets_same_answer() {
    let (discovery, _) = discovery_stub();
    let (endpoint, attempts) = endpoint_stub();
    let courier = CourierProcess::new("twice", endpoint, discovery);
    for (left, status, called) in [("1", 503, 0), ("30000", 202, 1)] {
        let text =
            submission("order", &format!("m-{left}"), "").replace("-Ms: 30000", &format!("-Ms: {left}"));
        let mut clients = [Peer::connect(courier.listen), Peer::connect(courier.listen)];
        courier.settle();
        courier.signal(Signal::STOP);
        clients.iter_mut().for_each(|c| c.send(&text));
        courier.signal(Signal::CONT);
        let answers = clients.each_mut().map(|c| c.read_answer().status);
        assert_eq!(answers, [status; 2], "rejected in its iteration, or accepted: to both");
        courier.settle();
        wait_until("it is sent", || count_matching(&attempts, &format!("m-{left}")) >= called);
        assert_eq!(count_matching(&attempts, &format!("m-{left}")), called);
    }
}

#[test]
fn client_asking_for_close_gets_it_with_its_answer() {
    let (discovery, _) = discovery_stub();
    let (endpoint, _) = endpoint_stub();
    let courier = CourierProcess::new("close", endpoint, discovery);
    let mut client = Peer::connect(courier.listen);
    client.send(&submission("order", "last", "Connection: close\r\n"));
    assert_eq!(client.read_answer(), ACCEPTED_AND_CLOSED);
    client.read_to_end();
    let mut client = Peer::connect(courier.listen);
    client.send(&submission("order", "half", ""));
    client.half_close();
    assert_eq!(client.read_answer().status, 202, "one that sends no more still reads");
    client.read_to_end();
}

#[test]
fn request_on_last_connections_taken_answered() {
    let (discovery, _) = discovery_stub();
    let (endpoint, _) = endpoint_stub();
    let mut courier = CourierProcess::new("term", endpoint, discovery);
    // A slow process: it has heard the signal, and by the time it looks again it is past the moment at which
    // idle connections go. It has to be stopped before that moment; if this test was too slow for it, once
    // more.
    let mut kept = loop {
        let mut kept = Peer::connect(courier.listen);
        kept.send("GET /ready HTTP/1.1\r\n\r\n");
        assert_eq!(kept.read_answer().status, 200);
        let lives = courier.logged("shutdown started", &[]);
        courier.signal(Signal::TERM);
        wait_until("it has heard", || courier.logged("shutdown started", &[]) > lives);
        courier.signal(Signal::STOP);
        wait_until("it is stopped", || is_stopped(&courier));
        if !kept.has_input() {
            break kept;
        }
        courier.kill_and_restart();
    };
    let mut clients: Vec<Peer> = (0..20).map(|_| Peer::connect(courier.listen)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submission("order", &format!("late-{n}"), ""));
    }
    kept.send(&submission("order", "kept", ""));
    std::thread::sleep(std::time::Duration::from_millis(600));
    courier.signal(Signal::CONT);
    assert_eq!(kept.read_answer(), ACCEPTED_AND_CLOSED);
    for client in &mut clients {
        assert_eq!(client.read_answer(), ACCEPTED_AND_CLOSED, "accepted, and the connection ends");
    }
    assert!(courier.child.wait().unwrap().success());
}

#[test]
fn configuration_half_written_read_once_complete_and_early_signal_harmless() {
    let (endpoint, attempts) = endpoint_stub();
    let (first, _) = discovery_stub();
    let (second, after) = discovery_stub();
    let mut courier = CourierProcess::new("reload", endpoint, first);
    let whole = config_file(courier.listen, &[endpoint], second).to_string();
    std::fs::write(courier.dir.join("config.json"), &whole[..whole.len() / 2]).unwrap();
    courier.signal(Signal::HUP);
    wait_until("it has seen half of it", || {
        courier.logged("configuration unreadable, previous one stays in force", &[]) > 0
    });
    std::fs::write(courier.dir.join("config.json"), &whole).unwrap();
    wait_until("it has read all of it", || courier.logged("configuration reloaded", &[]) > 0);
    assert_eq!(courier.submit("order", "slow-m"), 202);
    wait_until("it is out", || count_matching(&attempts, "slow-m") == 1);
    courier.kill_and_restart();
    wait_until("the notification goes there", || count_matching(&after, "slow-m") == 1);
    // A signal while it starts, again and again: it neither ends it nor is it lost.
    courier.child.kill().unwrap();
    courier.child.wait().unwrap();
    courier.child = start_courier(&courier.dir);
    wait_until("it catches signals", || caught(&courier));
    (0..20).for_each(|_| courier.signal(Signal::HUP));
    courier.wait_until_ready();
    wait_until("it has read it again", || courier.logged("configuration reloaded", &[]) >= 2);
}

fn is_stopped(courier: &CourierProcess) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/status", courier.child.id())).unwrap();
    status.lines().any(|l| l.starts_with("State:\tT"))
}

/// Whether the process blocks SIGHUP, as one does that reads its signals.
fn caught(courier: &CourierProcess) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/status", courier.child.id())).unwrap();
    let mask = status.lines().find_map(|l| l.strip_prefix("SigBlk:")).unwrap().trim();
    u64::from_str_radix(mask, 16).unwrap() & 1 != 0
}

#[test]
fn recovered_untried_message_attempted() {
    for (name, signal) in [("full-kill", Signal::KILL), ("full-term", Signal::TERM)] {
        let (discovery, notifications) = discovery_stub();
        let gate = GatedListener::new();
        let mut courier =
            CourierProcess::with(name, |listen| config_file(listen, &[gate.address], discovery));
        // Slots for six are taken by attempts that hang; all others wait, as many as are held without any
        // going back.
        let taken = (0..36).filter(|n| courier.submit("order", &format!("m{n}")) == 202).count();
        assert_eq!(taken, 36);
        let mut hung: Vec<Peer> = (0..6).map(|_| gate.accept()).collect();
        let out: Vec<String> = hung.iter_mut().map(Peer::read_request).collect();
        courier.signal(signal);
        courier.child.wait().unwrap();
        drop(hung);
        courier.child = start_courier(&courier.dir);
        courier.wait_until_ready();
        let untried = taken - out.len();
        let mut seen = serve_requests(&gate, &mut vec![], untried);
        seen.sort();
        seen.dedup();
        assert!(seen.len() == untried && seen.iter().all(|id| !out.contains(id)), "each of them once");
        let failed =
            || notifications.lock().unwrap().iter().map(|n| n.matches("failed").count()).sum::<usize>();
        wait_until("the others have failed", || failed() == out.len());
        let counts = [
            ("recovered", json!(taken)),
            ("untried", json!(untried)),
            ("attempted", json!(untried)),
            ("given_up", json!(0)),
        ];
        wait_until("it says so", || courier.logged("recovery finished", &counts) == 1);
    }
}

#[test]
fn connection_with_incomplete_response_carries_no_other_attempt() {
    let (discovery, _) = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::with("body", |listen| config_file(listen, &[gate.address], discovery));
    let mut peers = vec![];
    let mut spoilt = 0;
    // A connection is kept once there is a use for it. Each answer but the last is whole.
    for (n, answer) in
        [SERVED, SERVED, SERVED, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal"].iter().enumerate()
    {
        assert_eq!(courier.submit("order", &format!("m{n}")), 202);
        let (at, id) = serve_next_request(&gate, &mut peers, answer);
        assert_eq!(id, format!("m{n}"));
        spoilt = at;
        courier.settle();
        // Longer than a connection settles after its answer; how much longer is no matter.
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(courier.submit("order", "next"), 202);
    let (at, id) = serve_next_request(&gate, &mut peers, SERVED);
    assert!(at != spoilt && id == "next", "what is still to come there is not its answer");
}

/// Serves so many requests, on these connections or new ones: their ids.
fn serve_requests(gate: &GatedListener, peers: &mut Vec<Peer>, count: usize) -> Vec<String> {
    (0..count).map(|_| serve_next_request(gate, peers, SERVED).1).collect()
}

/// Serves the next request on any of these connections or a new one: which, and its id.
fn serve_next_request(gate: &GatedListener, peers: &mut Vec<Peer>, answer: &str) -> (usize, String) {
    for _ in 0..1500 {
        if !gate.is_silent_for(20) {
            peers.push(gate.accept());
        }
        let asks = peers.iter_mut().position(|w| w.has_input() && w.has_request());
        if let Some(at) = asks {
            let id = peers[at].read_request();
            peers[at].send(answer);
            return (at, id);
        }
    }
    panic!("half a minute, and no request");
}

#[test]
fn late_response_to_abandoned_attempt_completes_message_and_cancels_others() {
    let (discovery, notifications) = discovery_stub();
    let gates = [GatedListener::new(), GatedListener::new()];
    let mut courier = CourierProcess::with("late", |listen| {
        let mut config = config_file(listen, &[gates[0].address, gates[1].address], discovery);
        config["settings"]["services"][0]["slo_ns"] = 200_000_000.into();
        config
    });
    assert_eq!(courier.submit("status", "a"), 202);
    wait_until("it is out", || gates.iter().any(|g| !g.is_silent()));
    let first = gates.iter().position(|g| !g.is_silent()).unwrap();
    let mut hung = gates[first].accept();
    assert_eq!(hung.read_request(), "a");
    // Another is served where the first is not: it hangs while its siblings answer, and is given up.
    assert_eq!(courier.submit("status", "b"), 202);
    let mut peers = vec![];
    assert_eq!(serve_next_request(&gates[1 - first], &mut peers, SERVED).1, "b");
    hung.read_to_end();
    // It has gone again by now; its first answer comes all the same.
    let again = serve_next_request(&gates[1 - first], &mut peers, "");
    assert_eq!(again.1, "a");
    hung.send(SERVED);
    peers[again.0].read_to_end();
    courier.kill_and_restart();
    courier.settle();
    assert!(gates.iter().all(GatedListener::is_silent), "delivered: nothing is sent after");
    assert_eq!(count_matching(&notifications, "\"a\""), 0, "and no other outcome notified");
}

#[test]
fn recovered_untried_message_not_displaced_by_new_ones() {
    let (discovery, notifications) = discovery_stub();
    let gate = GatedListener::new();
    let mut courier = CourierProcess::with("crowd", |listen| config_file(listen, &[gate.address], discovery));
    let found = (0..36).filter(|n| courier.submit("status", &format!("found-{n}")) == 202).count();
    assert_eq!(found, 36, "as many as are held without any going back");
    let hung: Vec<Peer> = (0..6).map(|_| gate.accept()).collect();
    courier.kill_and_restart();
    drop(hung);
    // Its slots are taken by attempts that hang, and more come than are held. They are worth more, as they
    // are younger.
    let mut peers: Vec<Peer> = (0..6).map(|_| gate.accept()).collect();
    let new = (0..12).filter(|n| courier.submit("status", &format!("new-{n}")) == 202).count();
    assert_eq!(new, 0, "refused unseen, which is harmless");
    let mut seen = serve_requests(&gate, &mut peers, found);
    seen.sort();
    seen.dedup();
    assert!(seen.len() == found && seen.iter().all(|id| id.starts_with("found")), "{seen:?}");
    assert_eq!(count_matching(&notifications, "returned"), 0);
}

#[test]
fn restart_sends_nothing_by_outdated_endpoint_list() {
    // Discovery has to be heard within the time that a process waits for it. Where the test was too slow,
    // again.
    assert!(
        (0..5).any(|n| !sends_by_outdated_list(n)),
        "an attempt at an endpoint that had left before the start"
    );
}

fn sends_by_outdated_list(n: u32) -> bool {
    let agent = GatedListener::new();
    let gate = GatedListener::new();
    let mut courier = CourierProcess::with(&format!("first-{n}"), |listen| {
        config_file(listen, &[gate.address], agent.address)
    });
    (0..7).for_each(|n| assert_eq!(courier.submit("order", &format!("m{n}")), 202));
    let hung: Vec<Peer> = (0..6).map(|_| gate.accept()).collect();
    courier.child.kill().unwrap();
    courier.child.wait().unwrap();
    drop((hung, agent.accept()));
    // One is untried, and its endpoint has left meanwhile.
    courier.child = start_courier(&courier.dir);
    let mut watch = agent.accept();
    courier.signal(Signal::STOP);
    let entry = entry("s-1", gate.address, "left");
    let line = format!("{}\n", serde_json::json!({"index": 2, "snapshot": false, "endpoints": [entry]}));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.send(&format!("{head}{:x}\r\n{line}\r\n", line.len()));
    courier.signal(Signal::CONT);
    courier.wait_until_ready();
    courier.settle();
    !gate.is_silent()
}

#[test]
fn response_read_after_deadline_is_no_delivery() {
    let (discovery, notifications) = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::with("after", |listen| config_file(listen, &[gate.address], discovery));
    let text = submission("order", "late", "").replace("-Ms: 30000", "-Ms: 1000");
    assert_eq!(courier.request(&text), Some(202));
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "late");
    // A slow process, over the moment at which it would have ended the message.
    courier.signal(Signal::STOP);
    wait_until("it is stopped", || is_stopped(&courier));
    std::thread::sleep(std::time::Duration::from_millis(1100));
    attempt.send(SERVED);
    courier.signal(Signal::CONT);
    wait_until("it is ended by a notification", || {
        count_matching(&notifications, r#""late","state":"failed""#) == 1
    });
}

#[test]
fn key_cooldown_after_possibly_executed_attempt_outlasts_process() {
    let (discovery, notifications) = discovery_stub();
    let gate = GatedListener::new();
    let mut courier = CourierProcess::with("rest", |listen| {
        let mut config = config_file(listen, &[gate.address], discovery);
        config["settings"]["contract"]["turn_gap_ns"] = 4_000_000_000u64.into();
        config
    });
    let of = |key: &str, id: &str| submission("change", id, &format!("Cookie: subject={key}\r\n"));
    assert_eq!(courier.request(&of("k", "first").replace("-Ms: 30000", "-Ms: 500")), Some(202));
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "first");
    wait_until("its time is up", || count_matching(&notifications, "first") == 1);
    courier.kill_and_restart();
    assert_eq!(
        (courier.request(&of("k", "second")), courier.request(&of("l", "other"))),
        (Some(202), Some(202))
    );
    let mut peers = vec![];
    assert_eq!(serve_next_request(&gate, &mut peers, SERVED).1, "other");
    courier.settle();
    assert!(gate.is_silent_for(100) && !peers[0].has_input(), "its key cools down");
    assert_eq!(serve_next_request(&gate, &mut peers, SERVED).1, "second", "and then it goes");
}
