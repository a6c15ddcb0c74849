//! System calls on sockets fail temporarily.
//!
//! A temporary failure must neither lose a request or an answer nor count against the endpoint.

use crate::courier::{entry, submission, wait_until, CourierProcess};
use crate::peer::{serve_next_request, GatedListener, Peer};
use crate::stubs::{discovery_stub, endpoint_stub, Stub, SERVED};
use linnetcart_fault_injection::{Fault, Rate};
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;

/// Number of messages submitted in a test of one fault: fewer than may be in flight before load is shed.
const MESSAGES: usize = 30;
/// How long a fault that is injected into every call lasts.
const FAILURE: Duration = Duration::from_millis(600);

struct Setup {
    endpoint: Stub,
    courier: CourierProcess,
    _discovery: Stub,
}

fn setup(name: &str) -> Setup {
    let endpoint = endpoint_stub();
    let discovery = discovery_stub();
    let courier = CourierProcess::new(name, endpoint.address, discovery.address);
    Setup { endpoint, courier, _discovery: discovery }
}

/// Submits messages on one connection while these faults are injected, and checks that each message is
/// accepted and delivered exactly once.
fn check_served_under(name: &str, faults: &[(Fault, Rate)]) {
    let Setup { endpoint, courier, _discovery } = setup(name);
    let mut client = Peer::connect(courier.listen);
    for &(fault, rate) in faults {
        courier.faults.set(fault, rate);
    }
    for n in 0..MESSAGES {
        client.send(&submission("order", &format!("m{n:03}"), ""));
        assert_eq!(client.read_response().status, 202, "message {n}");
    }
    for n in 0..MESSAGES {
        let id = format!("m{n:03}");
        wait_until("the message is delivered", || endpoint.count_matching(&id) > 0);
    }
    for &(fault, _) in faults {
        assert!(courier.faults.injected(fault) > 0, "{fault:?} was not injected");
    }
    courier.faults.clear();
    courier.wait_until_input_processed();
    assert_eq!(endpoint.requests().len(), MESSAGES, "a message was sent twice");
}

#[test]
fn send_interrupted_or_short_answers_and_calls_are_complete() {
    check_served_under("send-eintr", &[(Fault::SendInterrupted, 220), (Fault::SendShort, 200)]);
}

#[test]
fn send_without_buffers_keeps_connection_and_answer() {
    check_served_under("send-enobufs", &[(Fault::SendNoBuffers, 128)]);
}

#[test]
fn receive_interrupted_or_short_requests_are_complete() {
    check_served_under("recv-eintr", &[(Fault::ReceiveInterrupted, 200), (Fault::ReceiveShort, 200)]);
}

#[test]
fn receive_without_buffers_keeps_connection_and_request() {
    check_served_under("recv-enobufs", &[(Fault::ReceiveNoBuffers, 128)]);
}

/// After `EINTR`, a non-blocking connect is still in progress: it must be awaited, not repeated.
#[test]
fn connect_interrupted_continues_in_the_kernel() {
    check_served_under("connect-eintr", &[(Fault::ConnectInterrupted, 255)]);
}

#[test]
fn connect_status_temporarily_unavailable_is_queried_again() {
    check_served_under("socket-status", &[(Fault::SocketStatus, 160)]);
}

/// Makes every connect fail for a local reason, and checks that connects are not retried in a tight loop,
/// that messages are delivered afterwards, and that the endpoint's health does not change.
fn check_local_connect_failure(name: &str, fault: Fault) {
    let Setup { endpoint, courier, _discovery } = setup(name);
    courier.faults.always(fault);
    let mut client = Peer::connect(courier.listen);
    for n in 0..MESSAGES / 2 {
        client.send(&submission("order", &format!("m{n:03}"), ""));
        assert_eq!(client.read_response().status, 202, "message {n}");
    }
    std::thread::sleep(FAILURE);
    let attempts = courier.faults.injected(fault);
    assert!((1..400).contains(&attempts), "connect was tried {attempts} times");
    courier.faults.clear();
    for n in 0..MESSAGES / 2 {
        wait_until("the message is delivered", || endpoint.count_matching(&format!("m{n:03}")) == 1);
    }
    assert_eq!(courier.count_logged("limit state changed", &[]), 0, "the endpoint's health was changed");
}

#[test]
fn socket_creation_fails_endpoint_health_is_unchanged_and_message_is_delivered() {
    check_local_connect_failure("no-socket", Fault::Socket);
}

#[test]
fn connect_fails_locally_endpoint_health_is_unchanged_and_message_is_delivered() {
    check_local_connect_failure("no-connect", Fault::Connect);
}

#[test]
fn registration_fails_endpoint_health_is_unchanged_and_message_is_delivered() {
    let Setup { endpoint, courier, _discovery } = setup("no-register");
    let mut client = Peer::connect(courier.listen);
    client.send(&submission("order", "before", ""));
    assert_eq!(client.read_response().status, 202);
    wait_until("it is delivered", || endpoint.count_matching("before") == 1);
    courier.faults.always(Fault::Register);
    client.send(&submission("order", "m", ""));
    assert_eq!(client.read_response().status, 202);
    assert!(
        Peer::connect(courier.listen).closes_without_data(),
        "a connection that cannot be registered is closed"
    );
    courier.faults.clear();
    wait_until("the message is delivered", || endpoint.count_matching("m") == 1);
    assert_eq!(courier.count_logged("limit state changed", &[]), 0, "the endpoint's health was changed");
}

#[test]
fn accept_fails_in_every_way_queued_connections_are_served() {
    let Setup { courier, .. } = setup("accept");
    courier.faults.set(Fault::Accept, 200);
    for n in 0..MESSAGES {
        let mut client = Peer::connect(courier.listen);
        client.send(&submission("status", &format!("m{n:03}"), ""));
        assert_eq!(client.read_response().status, 202, "message {n}");
    }
    assert!(courier.faults.injected(Fault::Accept) > 0);
}

/// Closing a listener resets the connections in its backlog, so they must be accepted and read first.
#[test]
fn accept_fails_when_listener_is_closed_queued_requests_are_answered() {
    let Setup { mut courier, .. } = setup("accept-term");
    courier.faults.always(Fault::Accept);
    let mut queued = Peer::connect(courier.listen);
    queued.send(&submission("status", "queued", ""));
    courier.signal(Signal::TERM);
    // The listener is closed half a second after the signal.
    std::thread::sleep(Duration::from_millis(800));
    courier.faults.clear();
    assert_eq!(queued.read_response().status, 202);
    courier.child.wait().unwrap();
}

#[test]
fn accept_fails_for_long_process_does_not_spin() {
    let Setup { courier, .. } = setup("accept-spin");
    courier.faults.always(Fault::Accept);
    let mut queued = Peer::connect(courier.listen);
    queued.send(&submission("status", "queued", ""));
    std::thread::sleep(FAILURE);
    let calls = courier.faults.injected(Fault::Accept);
    assert!((1..2000).contains(&calls), "accept was called {calls} times");
    courier.faults.clear();
    assert_eq!(queued.read_response().status, 202);
}

#[test]
fn sends_fail_temporarily_during_shutdown_answers_are_complete() {
    let Setup { mut courier, .. } = setup("last-answer");
    let mut clients: Vec<Peer> = (0..MESSAGES).map(|_| Peer::connect(courier.listen)).collect();
    courier.wait_until_input_processed();
    for fault in [Fault::SendInterrupted, Fault::SendShort, Fault::SendNoBuffers] {
        courier.faults.set(fault, 128);
    }
    // All requests have arrived before the process reads the signal.
    courier.stop();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submission("status", &format!("m{n:03}"), ""));
    }
    courier.signal(Signal::TERM);
    courier.resume();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.read_response().status, 202, "client {n}");
    }
    courier.child.wait().unwrap();
}

/// A request that `send` does not take (`ENOBUFS`) waits in the connection's queue. If its endpoint starts
/// to drain before a byte of it is taken, the attempt must be withdrawn and decided again.
#[test]
fn unsent_request_is_not_sent_to_an_endpoint_that_drains_meanwhile() {
    let discovery = GatedListener::new();
    let gate = GatedListener::new();
    let courier = CourierProcess::new("unwritten", gate.address, discovery.address);
    let mut watch = discovery.accept();
    let mut client = Peer::connect(courier.listen);
    client.send(&submission("order", "warm", ""));
    let mut peers = vec![];
    serve_next_request(&gate, &mut peers, SERVED);
    assert_eq!(client.read_response().status, 202);
    courier.wait_until_input_processed();
    courier.faults.always(Fault::SendNoBuffers);
    client.send(&submission("order", "late", ""));
    wait_until("writes fail", || courier.faults.injected(Fault::SendNoBuffers) > 2);
    let line = format!(
        "{}\n",
        json!({"index": 2, "snapshot": false, "endpoints": [entry("s-1", gate.address, "leaving")]})
    );
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.send(&format!("{head}{:x}\r\n{line}\r\n", line.len()));
    wait_until("the drain is known", || {
        courier.count_logged("endpoint list event", &[("version", json!(2))]) == 1
    });
    courier.faults.clear();
    assert_eq!(client.read_response().status, 202);
    courier.wait_until_input_processed();
    // A connection may have been started before the drain was known.
    while !gate.is_silent_for(300) {
        peers.push(gate.accept());
    }
    assert!(peers.iter_mut().all(Peer::is_silent), "sent to a draining endpoint");
}
