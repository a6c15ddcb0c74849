//! More client connections than the courier has descriptors for: none ends without an answer from which a part of a
//! request was read.

use crate::courier::{submission, CourierProcess};
use crate::peer::Peer;
use crate::stubs::{discovery_stub, endpoint_stub};
use std::time::Duration;

/// Connections that the courier has for clients with the descriptors of the tests.
const CAPACITY: usize = 116;
/// Longer than the time after which an answered connection counts as rested.
const RESTED: Duration = Duration::from_millis(2300);
const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\n\r\n";

fn idle_clients(courier: &CourierProcess, count: usize) -> Vec<Peer> {
    let connect = |_| {
        let mut client = Peer::connect(courier.listen);
        client.send(READY_REQUEST);
        assert_eq!(client.read_response().status, 200);
        client
    };
    (0..count).map(connect).collect()
}

/// Sends the start of a submission, up to the middle of its body. Returns the client and the rest.
fn send_half(courier: &CourierProcess, id: &str) -> (Peer, String) {
    let request = submission("order", id, "Content-Length: 40\r\n") + &"x".repeat(40);
    let (start, rest) = request.split_at(request.len() - 20);
    let mut client = Peer::connect(courier.listen);
    client.send(start);
    (client, rest.to_owned())
}

#[test]
fn half_received_request_is_answered_while_idle_clients_fill_the_table() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("half-rested", endpoint.address, discovery.address);
    let _rested = idle_clients(&courier, CAPACITY - 10);
    std::thread::sleep(RESTED);
    let halves: Vec<_> = (0..5).map(|number| send_half(&courier, &format!("m{number}."))).collect();
    courier.wait_until_input_processed();
    let _crowd = idle_clients(&courier, 60);
    for (mut client, rest) in halves {
        client.send(&rest);
        assert_eq!(client.read_response().status, 202, "a part of its request was read");
    }
}

/// No idle connection has rested: new ones are shut, and half received requests are completed and answered.
#[test]
fn half_received_request_is_answered_while_new_clients_fill_the_table() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("half-new", endpoint.address, discovery.address);
    let _idle = idle_clients(&courier, CAPACITY - 10);
    let halves: Vec<_> = (0..5).map(|number| send_half(&courier, &format!("m{number}."))).collect();
    courier.wait_until_input_processed();
    let _silent: Vec<Peer> = (0..60).map(|_| Peer::connect(courier.listen)).collect();
    for (mut client, rest) in halves {
        client.send(&rest);
        assert_eq!(client.read_response().status, 202, "a part of its request was read");
    }
}

/// Half requests alone fill the table: each gets an answer, and the table is free again afterwards. All arrive before
/// the courier runs, so that it reads the start of each with its connection.
#[test]
fn half_requests_that_fill_the_table_are_answered() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("half-full", endpoint.address, discovery.address);
    courier.stop();
    let mut halves: Vec<_> =
        (0..CAPACITY + 20).map(|number| send_half(&courier, &format!("m{number}."))).collect();
    courier.resume();
    for (client, _) in &mut halves {
        let status = client.read_response().status;
        assert!(matches!(status, 408 | 503), "{status}");
    }
    assert_eq!(courier.request(&submission("order", "fresh", "")), Some(202));
}

/// Guards against a client that comes to a full table being closed right behind each of its answers, without being told,
/// while clients that ask once hold their connections.
#[test]
fn client_that_goes_on_keeps_its_connection_beside_those_that_ask_once() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("held-table", endpoint.address, discovery.address);
    let mut idle = idle_clients(&courier, CAPACITY);
    courier.stop();
    let mut client = Peer::connect(courier.listen);
    client.send(READY_REQUEST);
    courier.resume();
    assert_eq!(client.read_response().status, 200);
    for number in 0..5 {
        client.send(&submission("order", &format!("m{number}."), ""));
        assert_eq!(client.read_response().status, 202, "{number}");
    }
    assert!(idle[0].closes_without_data(), "it was answered before all others");
    let closed = [("state", "Answered".into()), ("connections", (CAPACITY + 1).into())];
    assert_eq!(courier.count_logged("client connection closed, too many are open", &closed), 1);
}

/// Guards against half requests with the id of an open message being told that it may be submitted again.
#[test]
fn half_request_with_id_of_open_message_is_not_rejected() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("half-open-id", endpoint.address, discovery.address);
    assert_eq!(courier.request(&submission("order", "slow", "")), Some(202));
    courier.stop();
    let mut halves: Vec<_> = (0..CAPACITY + 20).map(|_| send_half(&courier, "slow")).collect();
    courier.resume();
    let statuses: Vec<u16> = halves.iter_mut().map(|(client, _)| client.read_response().status).collect();
    assert!(statuses.iter().all(|status| matches!(status, 408 | 409)), "{statuses:?}");
    assert!(statuses.contains(&409), "some are refused before their time is up");
    assert_eq!(courier.request(&submission("order", "slow", "")), Some(202), "the open message goes on");
    assert_eq!(endpoint.requests(), ["slow"]);
}

/// The rest of a refused request crosses its answer: the answer arrives, and behind it the end of the connection.
#[test]
fn answer_of_refused_half_request_is_not_lost_with_a_reset_over_later_bytes() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new("half-reset", endpoint.address, discovery.address);
    courier.stop();
    let mut halves: Vec<_> =
        (0..CAPACITY + 20).map(|number| send_half(&courier, &format!("m{number}."))).collect();
    courier.resume();
    for _ in 0..20 {
        courier.wait_until_input_processed();
    }
    for (client, rest) in &mut halves {
        let (start, end) = rest.split_at(10);
        client.send(start);
        std::thread::sleep(Duration::from_millis(1));
        client.send(end);
    }
    let mut refused = 0;
    for (client, _) in &mut halves {
        let response = client.read_response();
        assert!(matches!(response.status, 202 | 503), "{}", response.status);
        if response.status == 503 {
            refused += 1;
            client.half_close();
            client.read_to_end();
        }
    }
    assert!(refused >= 20, "{refused}");
}
