//! A message ends once: after any of its ends nothing is sent under its id, by any path.

use crate::courier::{platform_config, submission, wait_until, CourierProcess};
use crate::peer::{serve_next_request, GatedListener, Peer};
use crate::scene::Scene;
use crate::stubs::{discovery_stub, endpoint_stub, SERVED};
use linnetcart_fault_injection::Fault;
use rustix::process::Signal;
use std::time::Duration;

const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const REJECTED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
/// How long a test waits for a call that must not come: longer than a retry waits for the rest of a response
/// and for an endpoint that has just failed.
const NO_RETRY_MS: u64 = 2500;

/// Submits a message that its endpoint answers with the start of a 410, and closes the connection if `closes`.
fn check_partial_gone(name: &str, response: &str, closes: bool) {
    let mut scene = Scene::new(name);
    scene.submit("status", "a");
    let served = scene.serve(response);
    assert_eq!(served.id, "a");
    if closes {
        scene.peers.remove(served.connection);
    }
    assert!(scene.is_quiet_for(NO_RETRY_MS), "the message is over, and it was sent again");
    assert_eq!(scene.discovery.requests().len(), 0, "nothing is owed for it");
}

#[test]
fn gone_with_body_cut_by_close_ends_message() {
    check_partial_gone("gone-cut", "HTTP/1.1 410 Gone\r\nContent-Length: 20\r\n\r\nover", true);
}

#[test]
fn gone_with_head_cut_by_close_ends_message() {
    check_partial_gone("gone-head", "HTTP/1.1 410 Gone\r\nContent-Le", true);
}

#[test]
fn gone_with_body_that_never_comes_ends_message() {
    check_partial_gone("gone-late", "HTTP/1.1 410 Gone\r\nContent-Length: 20\r\n\r\nover", false);
}

#[test]
fn gone_with_body_of_unknown_length_ends_message() {
    check_partial_gone("gone-endless", "HTTP/1.1 410 Gone\r\n\r\nover", false);
}

/// Several messages are over: a 410 equals an earlier one, and may come on the same connection.
#[test]
fn gone_equal_to_earlier_one_ends_message() {
    let mut scene = Scene::new("gone-equal");
    for (id, body) in [("a", "1"), ("b", "2"), ("c", "2"), ("d", "2")] {
        scene.submit("status", id);
        let response = format!("HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\n{body}");
        assert_eq!(scene.serve(&response).id, id);
        std::thread::sleep(Duration::from_millis(30));
    }
    assert!(scene.is_quiet_for(NO_RETRY_MS), "a message that is over was sent again");
    assert_eq!(scene.discovery.requests().len(), 0, "nothing is owed for them");
}

/// The courier has one slot. It cancels the overdue call of a message that goes on, because another message
/// waits for the slot; then the endpoint answers the cancelled call.
fn check_response_after_cancellation(name: &str, response: &str) {
    let mut scene =
        Scene::with_config(name, |config| config["settings"]["family_info"]["max_calls"] = 1.into());
    scene.submit("status", "a");
    let first = scene.serve("");
    assert_eq!(first.id, "a");
    scene.submit("status", "b");
    scene.peers[first.connection].read_to_end();
    scene.peers[first.connection].send(response);
    let end = [("id", "a".into()), ("outcome", "Delivered".into())];
    wait_until("the response is read", || {
        let read = scene.courier.count_logged("late response to an abandoned attempt", &[]);
        read + scene.courier.count_logged("message completed", &end) > 0
    });
    scene.courier.wait_until_input_processed();
    // A retry that was sent before the response is cancelled or left unanswered.
    let before = scene.serve_all_but("a", 50);
    assert!(before <= 1, "retried {before} times before the response was read");
    assert_eq!(scene.serve_all_but("a", NO_RETRY_MS), 0, "the message has ended, and it was sent again");
    assert_eq!(scene.courier.count_logged("message completed", &end), 1);
    assert_eq!(scene.discovery.count_matching("\"a\""), 0, "nothing is owed for it");
}

#[test]
fn gone_to_cancelled_attempt_ends_message() {
    check_response_after_cancellation("gone-cancelled", GONE);
}

#[test]
fn gone_cut_to_cancelled_attempt_ends_message() {
    check_response_after_cancellation("gone-cancelled-cut", "HTTP/1.1 410 Gone\r\n");
}

#[test]
fn success_to_cancelled_attempt_ends_message() {
    check_response_after_cancellation("served-cancelled", SERVED);
}

/// While a message is open, each other request with its id gets an answer that is true of that request. None is told
/// that submitting its message again is harmless, and none changes what becomes of the open message.
#[test]
fn other_request_with_id_of_open_message_gets_answer_of_its_own() {
    let mut scene = Scene::new("open-id");
    scene.submit("status", "a");
    let first = scene.serve("");
    assert_eq!(first.id, "a");
    let valid = submission("status", "a", "");
    for (what, request, status) in [
        ("another class", submission("order", "a", ""), 409),
        ("another destination", valid.replace("dest=3", "dest=77"), 404),
        ("an unreadable time", valid.replace("X-Remaining-Ms: 30000", "X-Remaining-Ms: soon"), 400),
        ("no time left", valid.replace("X-Remaining-Ms: 30000", "X-Remaining-Ms: 0"), 202),
        ("no destination", valid.replace("X-Route-To: dest=3\r\n", ""), 400),
        ("an unknown class", valid.replace("POST /status", "POST /none"), 404),
        ("another method", valid.replace("POST", "PUT"), 405),
        ("a copy behind it", format!("{valid}{valid}"), 202),
        ("another class behind it", format!("{valid}{}", submission("order", "a", "")), 202),
        ("a copy behind another class", format!("{}{valid}", submission("order", "a", "")), 409),
    ] {
        assert_eq!(scene.courier.request(&request), Some(status), "{what}");
    }
    scene.courier.faults.always(Fault::FileWrite);
    scene.courier.faults.always(Fault::FileCreate);
    assert_eq!(scene.courier.request(&submission("status", "other", "")), Some(503));
    assert_eq!(scene.courier.request(&valid), Some(202), "the journal is unwritable");
    scene.courier.faults.clear();
    scene.peers[first.connection].send(SERVED);
    assert!(scene.is_quiet(), "it was accepted once and is delivered");
}

/// A message that failed stays ended although discovery does not acknowledge its notification.
#[test]
fn failed_message_handed_in_again_before_acknowledgement_is_not_sent() {
    let discovery = GatedListener::new();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("unacknowledged", gate.address, discovery.address);
    let request = submission("order", "a", "");
    assert_eq!(courier.request(&request), Some(202));
    let mut peers = vec![];
    assert_eq!(serve_next_request(&gate, &mut peers, ERROR).id, "a");
    wait_until("its end is logged", || courier.count_logged("message completed", &[]) == 1);
    assert_eq!(courier.request(&request), Some(202), "its end is known");
    courier.wait_until_input_processed();
    assert!(gate.is_silent_for(300) && peers.iter_mut().all(Peer::is_silent), "it was sent again");
    assert_eq!(courier.count_logged("message accepted", &[]), 1);
}

/// The id of a message that was returned is not sent again, neither by this process nor by the next. Its
/// sender uses a new id.
#[test]
fn returned_message_handed_in_again_is_not_sent() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let mut courier = CourierProcess::new("returned", gate.address, discovery.address);
    let request = submission("order", "a", "").replace("-Ms: 30000", "-Ms: 9000");
    assert_eq!(courier.request(&request), Some(202));
    let mut peers = vec![];
    let notified = || discovery.count_matching(r#""a","state":"returned""#) > 0;
    while !notified() {
        if !gate.is_silent_for(50) {
            peers.push(gate.accept());
        }
        for peer in &mut peers {
            if peer.has_input() && peer.wait_for_request() {
                peer.read_request();
                peer.send(REJECTED);
            }
        }
    }
    courier.wait_until_input_processed();
    let longer = submission("order", "a", "");
    assert_eq!(courier.request(&longer), Some(503), "it was returned");
    courier.kill_and_restart();
    assert_eq!(courier.request(&longer), Some(503), "the next process knows its end");
    assert!(gate.is_silent_for(300), "it was sent again");
}

/// A rejected id stays rejected: the client was told that submitting the message again, under a new id, is harmless.
/// The id of an invalid request is free, because nothing of that request can be sent.
#[test]
fn rejected_message_handed_in_again_is_not_sent() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("refused", endpoint.address, discovery.address);
    courier.faults.always(Fault::FileWrite);
    courier.faults.always(Fault::FileCreate);
    for id in ["undone", "unwritable"] {
        assert_eq!(courier.request(&submission("order", id, "")), Some(503));
    }
    courier.faults.clear();
    wait_until("the journal is writable", || courier.count_logged("journal writable", &[]) == 1);
    let invalid = submission("order", "invalid", "").replace("X-Remaining-Ms: 30000", "X-Remaining-Ms: soon");
    assert_eq!(courier.request(&invalid), Some(400));
    for (id, status) in [("undone", 503), ("unwritable", 503), ("invalid", 202)] {
        assert_eq!(courier.request(&submission("order", id, "")), Some(status), "{id}");
    }
    wait_until("it is delivered", || endpoint.count_matching("invalid") == 1);
    assert_eq!(courier.request(&submission("order", "fresh", "")), Some(202));
    wait_until("it is delivered", || endpoint.count_matching("fresh") == 1);
    assert_eq!(endpoint.requests(), ["invalid", "fresh"]);
}

/// An attempt that waits for its connection when its message is delivered by a hedge is not sent, even where the
/// settings forbid cancelling.
#[test]
fn attempt_waiting_for_connection_is_not_sent_after_delivery() {
    const MESSAGES: usize = 4;
    let discovery = discovery_stub();
    let first = GatedListener::new();
    let mut second = GatedListener::not_accepting();
    let courier = CourierProcess::with_config("waiting-hedge", |listen| {
        let mut config = platform_config(listen, &[first.address, second.address], discovery.address);
        config["settings"]["bounds"]["may_cancel"] = false.into();
        config["settings"]["bounds"]["parallel_tries"] = true.into();
        config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into();
        config
    });
    // Some first attempts go to the endpoint that does not accept. They are hedged to the other, which delivers.
    for number in 0..MESSAGES {
        assert_eq!(courier.request(&submission("status", &format!("m{number}"), "")), Some(202));
    }
    let mut peers = vec![];
    for _ in 0..MESSAGES {
        serve_next_request(&first, &mut peers, SERVED);
    }
    let delivered = [("outcome", "Delivered".into())];
    wait_until("all are delivered", || courier.count_logged("message completed", &delivered) == MESSAGES);
    second.open();
    let mut late = vec![second.accept()];
    courier.wait_until_input_processed();
    while !second.is_silent_for(300) {
        late.push(second.accept());
    }
    assert!(late.iter_mut().all(Peer::is_silent), "a delivered message was sent again");
}

/// The time that a message has runs from its client's sending, also while the process is held up.
#[test]
fn time_while_process_is_held_up_counts() {
    const HELD_UP: Duration = Duration::from_millis(600);
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("held-up", gate.address, discovery.address);
    let mut client = Peer::connect(courier.listen);
    client.send("GET /ready HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_response().status, 200);
    courier.stop();
    client.send(&submission("order", "a", "").replace("-Ms: 30000", "-Ms: 5000"));
    let mut expired = Peer::connect(courier.listen);
    expired.send(&submission("order", "b", "").replace("-Ms: 30000", "-Ms: 500"));
    std::thread::sleep(HELD_UP);
    courier.resume();
    assert_eq!(client.read_response().status, 202);
    assert_eq!(expired.read_response().status, 503, "its time was over when it was read");
    let mut attempt = gate.accept();
    let remaining = attempt.read_remaining_ms();
    assert!(remaining <= 4400, "{remaining} ms are left of 5000 after 600 ms");
    assert!(gate.is_silent_for(300), "only one message is sent");
}

/// At the limit of connections, a request that has been read is answered: a connection is evicted only if
/// nothing has arrived on it.
#[test]
fn request_read_in_same_poll_as_eviction_is_answered() {
    const CONNECTIONS: usize = 116;
    const EVICTABLE_AFTER: Duration = Duration::from_millis(2300);
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("evicted", endpoint.address, discovery.address);
    let mut clients: Vec<Peer> = (0..CONNECTIONS).map(|_| Peer::connect(courier.listen)).collect();
    for client in &mut clients {
        client.send("GET /ready HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_response().status, 200);
    }
    std::thread::sleep(EVICTABLE_AFTER);
    courier.stop();
    clients[0].send(&submission("order", "a", ""));
    let mut new: Vec<Peer> = (0..3).map(|_| Peer::connect(courier.listen)).collect();
    for client in &mut new {
        client.send("GET /ready HTTP/1.1\r\n\r\n");
    }
    courier.resume();
    assert_eq!(clients[0].read_response().status, 202, "its request was read and not answered");
}

/// A message whose end cannot be recorded is reported at its deadline, and by the next process again: both
/// reports say the same.
#[test]
fn unrecorded_end_is_notified_with_one_meaning_across_kill() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let mut courier = CourierProcess::new("one-meaning", gate.address, discovery.address);
    let request = submission("order", "a", "").replace("-Ms: 30000", "-Ms: 1200");
    assert_eq!(courier.request(&request), Some(202));
    let mut endpoint = gate.accept();
    assert_eq!(endpoint.read_request(), "a");
    courier.faults.always(Fault::FileWrite);
    courier.faults.always(Fault::FileCreate);
    endpoint.send(REJECTED);
    wait_until("the platform is notified", || discovery.count_matching("\"a\"") > 0);
    courier.kill();
    courier.faults.clear();
    courier.restart();
    wait_until("it is notified again", || discovery.count_matching("\"a\"") > 1);
    let notified = discovery.requests().concat();
    let one_meaning = !notified.contains("returned") || !notified.contains("failed");
    assert!(one_meaning, "{notified}");
}

/// The end of a message that was read before a restart stays its end.
#[test]
fn gone_message_is_not_sent_by_next_process() {
    for (name, signal) in [("gone-kill", Signal::KILL), ("gone-term", Signal::TERM)] {
        let mut scene = Scene::new(name);
        scene.submit("status", "a");
        scene.serve("HTTP/1.1 410 Gone\r\nContent-Length: 20\r\n\r\nover");
        scene.courier.signal(signal);
        scene.courier.child.wait().unwrap();
        scene.courier.restart();
        assert!(scene.is_quiet_for(1000), "the message is over, and the next process sent it");
    }
}
