//! Messages that a restarted process recovers from the journal: attempted or not, with a changed endpoint
//! list, or with an ordering key in its cooldown.

use crate::courier::{entry, platform_config, submission, wait_until, CourierProcess};
use crate::peer::{serve_next_request, GatedListener, Peer};
use crate::stubs::{discovery_stub, endpoint_stub, SERVED};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The most attempts that the courier has in flight at a time in these tests.
const MAX_ATTEMPTS_IN_FLIGHT: usize = 6;
/// The most messages that may be in flight in these tests before the courier rejects some.
const MAX_MESSAGES_IN_FLIGHT: usize = 36;

/// Adds an endpoint of destination 4.
fn with_other_destination(mut config: Value, address: SocketAddr) -> Value {
    let mut entry = entry("s-9", address, "active");
    entry["group"] = 4.into();
    config["known"]["endpoints"].as_array_mut().unwrap().push(entry);
    config
}

/// Submits this many messages. Returns how many were accepted.
fn submit_all(courier: &CourierProcess, class: &str, prefix: &str, count: usize) -> usize {
    (0..count).filter(|n| courier.submit(class, &format!("{prefix}{n}")) == 202).count()
}

/// Accepts the connections of as many attempts as may be in flight.
fn accept_all(gate: &GatedListener) -> Vec<Peer> {
    (0..MAX_ATTEMPTS_IN_FLIGHT).map(|_| gate.accept()).collect()
}

/// Serves this many requests, on these connections or on new ones. Returns their distinct ids, sorted.
fn serve_requests(gate: &GatedListener, peers: &mut Vec<Peer>, count: usize) -> Vec<String> {
    let mut ids: Vec<String> = (0..count).map(|_| serve_next_request(gate, peers, SERVED).id).collect();
    ids.sort();
    ids.dedup();
    ids
}

/// A new journal file begins with the state of the messages in flight. If it recorded an attempt that is
/// still connecting as never sent, and the later record of its sending were ignored, a message that is not
/// idempotent would be sent again after a kill.
#[test]
fn attempt_connecting_while_journal_replaced_counts_after_kill() {
    let discovery = discovery_stub();
    let quick = endpoint_stub();
    let mut late = GatedListener::not_accepting();
    let mut courier = CourierProcess::with_config("journal", |listen| {
        let mut config = with_other_destination(
            platform_config(listen, &[late.address], discovery.address),
            quick.address,
        );
        // Long enough for the kernel to retransmit the SYN.
        config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into();
        config
    });
    assert_eq!(courier.submit("order", "unsafe"), 202);
    let before = courier.state_files();
    // Other messages fill the journal file until a new one is started.
    for n in 0.. {
        assert!(n < 20, "no new journal file is started");
        let id = format!("fill-{n}");
        let head = submission("status", &id, "Content-Length: 60000\r\n").replace("dest=3", "dest=4");
        assert_eq!(courier.request(&format!("{head}{}", "x".repeat(60_000))), Some(202));
        wait_until("it is delivered", || quick.count_matching(&id) == 1);
        courier.wait_until_input_processed();
        if courier.state_files() != before {
            break;
        }
    }
    late.open();
    let mut attempt = late.accept();
    assert_eq!(attempt.read_request(), "unsafe");
    courier.kill_and_restart();
    wait_until("the message is completed", || discovery.count_matching("unsafe") == 1);
    assert!(discovery.count_matching(r#""state":"failed""#) == 1, "it may have been executed");
    courier.wait_until_input_processed();
    assert!(late.is_silent(), "it is not sent again");
}

/// Messages that were accepted but not attempted before the end of the process are attempted by the next one.
#[test]
fn recovered_untried_message_attempted() {
    for (name, signal) in [("full-kill", Signal::KILL), ("full-term", Signal::TERM)] {
        let discovery = discovery_stub();
        let gate = GatedListener::new();
        let mut courier = CourierProcess::with_config(name, |listen| {
            platform_config(listen, &[gate.address], discovery.address)
        });
        // Attempts without a response use up the limit of attempts in flight. The other messages wait.
        let accepted = submit_all(&courier, "order", "m", MAX_MESSAGES_IN_FLIGHT);
        assert_eq!(accepted, MAX_MESSAGES_IN_FLIGHT);
        let mut hung = accept_all(&gate);
        let attempted: Vec<String> = hung.iter_mut().map(Peer::read_request).collect();
        courier.signal(signal);
        courier.child.wait().unwrap();
        drop(hung);
        courier.restart();
        let untried = accepted - attempted.len();
        let served = serve_requests(&gate, &mut vec![], untried);
        assert!(
            served.len() == untried && served.iter().all(|id| !attempted.contains(id)),
            "each untried message is attempted once"
        );
        let failed = || discovery.requests().iter().map(|n| n.matches("failed").count()).sum::<usize>();
        wait_until("the attempted messages have failed", || failed() == attempted.len());
        let counts = [
            ("recovered", json!(accepted)),
            ("untried", json!(untried)),
            ("attempted", json!(untried)),
            ("given_up", json!(0)),
        ];
        wait_until("the counts are logged", || courier.count_logged("recovery finished", &counts) == 1);
    }
}

/// A message that the previous process accepted must not be rejected in favour of a new one.
#[test]
fn recovered_untried_message_not_displaced_by_new_ones() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let mut courier = CourierProcess::with_config("displaced", |listen| {
        platform_config(listen, &[gate.address], discovery.address)
    });
    let recovered = submit_all(&courier, "status", "found-", MAX_MESSAGES_IN_FLIGHT);
    assert_eq!(recovered, MAX_MESSAGES_IN_FLIGHT);
    let mut hung = accept_all(&gate);
    hung.iter_mut().for_each(|attempt| drop(attempt.read_request()));
    courier.kill_and_restart();
    drop(hung);
    // Attempts without a response use up the limit of attempts in flight, and more messages arrive than may
    // be in flight. The new ones are worth more, as the weight of a message falls with its age.
    let mut peers = accept_all(&gate);
    assert_eq!(submit_all(&courier, "status", "new-", 12), 0, "rejected before they are accepted");
    let served = serve_requests(&gate, &mut peers, recovered);
    assert!(served.len() == recovered && served.iter().all(|id| id.starts_with("found")), "{served:?}");
    assert_eq!(discovery.count_matching("returned"), 0);
}

/// Endpoints may have left the list while no process ran. Recovered messages must not be sent by the list
/// in the configuration before discovery has answered.
#[test]
fn restart_sends_nothing_by_outdated_endpoint_list() {
    // The process waits only a limited time for discovery. If the test is too slow to answer, it tries again.
    assert!(
        (0..5).any(|n| !sends_by_outdated_list(n)),
        "an attempt at an endpoint that had left before the start"
    );
}

/// Restarts a courier with a message that was not attempted and whose endpoint has left the list meanwhile.
/// Returns whether the courier connected to that endpoint.
fn sends_by_outdated_list(n: u32) -> bool {
    let discovery = GatedListener::new();
    let gate = GatedListener::new();
    let mut courier = CourierProcess::with_config(&format!("outdated-{n}"), |listen| {
        platform_config(listen, &[gate.address], discovery.address)
    });
    assert_eq!(submit_all(&courier, "order", "m", MAX_ATTEMPTS_IN_FLIGHT + 1), MAX_ATTEMPTS_IN_FLIGHT + 1);
    let mut hung = accept_all(&gate);
    hung.iter_mut().for_each(|attempt| drop(attempt.read_request()));
    courier.kill();
    drop((hung, discovery.accept()));
    courier.start();
    let mut watch = discovery.accept();
    // A response before the request would be no answer to it.
    watch.read_request();
    courier.stop();
    let entry = entry("s-1", gate.address, "left");
    let line = format!("{}\n", json!({"index": 2, "snapshot": false, "endpoints": [entry]}));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.send(&format!("{head}{:x}\r\n{line}\r\n", line.len()));
    courier.resume();
    courier.wait_until_ready();
    courier.wait_until_input_processed();
    !gate.is_silent()
}

/// An attempt that may have been executed can still be running when its process is killed. The next process
/// must keep the ordering key in its cooldown, and may serve other keys meanwhile.
#[test]
fn key_cooldown_after_possibly_executed_attempt_outlasts_process() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let mut courier = CourierProcess::with_config("cooldown", |listen| {
        let mut config = platform_config(listen, &[gate.address], discovery.address);
        config["settings"]["contract"]["turn_gap_ns"] = 4_000_000_000u64.into();
        config
    });
    let with_key = |key: &str, id: &str| submission("change", id, &format!("Cookie: subject={key}\r\n"));
    let first = with_key("k", "first").replace("-Ms: 30000", "-Ms: 500");
    assert_eq!(courier.request(&first), Some(202));
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "first");
    wait_until("its deadline has passed", || discovery.count_matching("first") == 1);
    courier.kill_and_restart();
    assert_eq!(courier.request(&with_key("k", "second")), Some(202));
    assert_eq!(courier.request(&with_key("l", "other")), Some(202));
    let mut peers = vec![];
    assert_eq!(serve_next_request(&gate, &mut peers, SERVED).id, "other");
    courier.wait_until_input_processed();
    assert!(
        gate.is_silent_for(100) && peers[0].is_silent(),
        "a message was sent during the cooldown of its key"
    );
    let next = serve_next_request(&gate, &mut peers, SERVED);
    assert_eq!(next.id, "second", "the message is sent after the cooldown");
}
