//! Requests of clients: repeated ids, `Connection: close`, and requests during the shutdown.

use crate::courier::{submission, wait_until, CourierProcess};
use crate::peer::{Peer, Response};
use crate::stubs::{discovery_stub, endpoint_stub};
use linnetcart_http::Persistence;
use rustix::process::Signal;
use std::time::Duration;

const ACCEPTED_AND_CLOSED: Response = Response { status: 202, persistence: Persistence::Close };

/// An id must be remembered after its message is completed, also across restarts: a client may submit the
/// message again as long as its deadline has not passed.
#[test]
fn completed_id_is_known_after_kills() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let mut courier = CourierProcess::new("known", endpoint.address, discovery.address);
    assert_eq!(courier.submit("order", "once"), 202);
    wait_until("it is delivered", || endpoint.count_matching("once") == 1);
    courier.wait_until_input_processed();
    for _ in 0..3 {
        assert_eq!(courier.submit("order", "once"), 202, "its id is known");
        assert_eq!(courier.submit("status", "once"), 409, "another message with its id");
        courier.wait_until_input_processed();
        assert_eq!(endpoint.count_matching("once"), 1);
        courier.kill_and_restart();
    }
}

/// Two clients submit the same message in one iteration of the event loop. The decision to reject it falls
/// at the end of the iteration: the second must not be told before that that the message is accepted.
#[test]
fn message_submitted_twice_in_one_iteration_gets_same_answer() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("twice", endpoint.address, discovery.address);
    for (time_left, status, calls) in [("1", 503, 0), ("30000", 202, 1)] {
        let id = format!("m-{time_left}");
        let text = submission("order", &id, "").replace("-Ms: 30000", &format!("-Ms: {time_left}"));
        let mut clients = [Peer::connect(courier.listen), Peer::connect(courier.listen)];
        courier.wait_until_input_processed();
        courier.stop();
        clients.iter_mut().for_each(|client| client.send(&text));
        courier.resume();
        let statuses = clients.each_mut().map(|client| client.read_response().status);
        assert_eq!(statuses, [status; 2], "both are rejected in their iteration, or both accepted");
        courier.wait_until_input_processed();
        wait_until("it is sent", || endpoint.count_matching(&id) >= calls);
        assert_eq!(endpoint.count_matching(&id), calls);
    }
}

#[test]
fn client_requesting_connection_close_gets_it_with_its_answer() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("close", endpoint.address, discovery.address);
    let mut client = Peer::connect(courier.listen);
    client.send(&submission("order", "last", "Connection: close\r\n"));
    assert_eq!(client.read_response(), ACCEPTED_AND_CLOSED);
    client.read_to_end();
    let mut client = Peer::connect(courier.listen);
    client.send(&submission("order", "half", ""));
    client.half_close();
    assert_eq!(client.read_response().status, 202, "a half-closed connection still gets its response");
    client.read_to_end();
}

/// Sends SIGTERM to the courier and stops the process before it closes idle connections. Returns an idle
/// connection that is still open. If the process closes it first, the process is restarted and the sequence
/// is repeated.
fn stop_after_sigterm(courier: &mut CourierProcess) -> Peer {
    loop {
        let mut idle = Peer::connect(courier.listen);
        idle.send("GET /ready HTTP/1.1\r\n\r\n");
        assert_eq!(idle.read_response().status, 200);
        let shutdowns = courier.count_logged("shutdown started", &[]);
        courier.signal(Signal::TERM);
        wait_until("the shutdown has started", || courier.count_logged("shutdown started", &[]) > shutdowns);
        courier.stop();
        if !idle.has_input() {
            return idle;
        }
        courier.kill_and_restart();
    }
}

/// The courier closes idle connections half a second after SIGTERM. A request that arrived before that, on
/// an idle connection or on one that is still to be accepted, must be read and answered first.
#[test]
fn request_on_connection_accepted_during_shutdown_is_answered() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let mut courier = CourierProcess::new("term", endpoint.address, discovery.address);
    let mut idle = stop_after_sigterm(&mut courier);
    let mut clients: Vec<Peer> = (0..20).map(|_| Peer::connect(courier.listen)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&submission("order", &format!("late-{n}"), ""));
    }
    idle.send(&submission("order", "kept", ""));
    // The process is stopped until after the time at which it would have closed idle connections.
    std::thread::sleep(Duration::from_millis(600));
    courier.resume();
    assert_eq!(idle.read_response(), ACCEPTED_AND_CLOSED);
    for client in &mut clients {
        assert_eq!(client.read_response(), ACCEPTED_AND_CLOSED, "accepted, and the connection is closed");
    }
    assert!(courier.child.wait().unwrap().success());
}
