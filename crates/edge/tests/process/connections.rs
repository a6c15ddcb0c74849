//! Connections to endpoints: Retry-After while connecting; late, incomplete and expired responses.

use crate::courier::{platform_config, submission, wait_until, CourierProcess};
use crate::peer::{serve_next_request, GatedListener};
use crate::stubs::{discovery_stub, SERVED};
use std::time::Duration;

/// The decision to send an attempt is made before its connection is established. A Retry-After that arrives
/// in between must still hold the attempt back.
#[test]
fn retry_after_while_connecting_withholds_attempt() {
    let discovery = discovery_stub();
    let quick = GatedListener::new();
    let mut late = GatedListener::not_accepting();
    let courier = CourierProcess::with_config("retry-after", |listen| {
        let mut config = platform_config(listen, &[quick.address, late.address], discovery.address);
        // Long enough for the kernel to retransmit the SYN.
        config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into();
        config
    });
    // Each endpoint gets one attempt: the second goes to the endpoint with none in flight.
    assert_eq!((courier.submit("order", "a"), courier.submit("order", "b")), (202, 202));
    let mut first = quick.accept();
    first.read_request();
    first.send("HTTP/1.1 429 No\r\nX-Backoff-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
    courier.wait_until_input_processed();
    late.open();
    let mut second = late.accept();
    courier.wait_until_input_processed();
    assert!(second.is_silent(), "the Retry-After applies to every endpoint of the destination");
    assert_eq!(courier.count_logged("attempt withheld, Retry-After pending", &[]), 1);
}

/// The rest of a response may arrive after the courier has taken its status. On a reused connection it
/// would be read as the response to the next attempt.
#[test]
fn connection_with_incomplete_response_carries_no_other_attempt() {
    const INCOMPLETE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal";
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::with_config("incomplete", |listen| {
        platform_config(listen, &[gate.address], discovery.address)
    });
    let mut peers = vec![];
    let mut last_connection = 0;
    // The courier reuses connections only after several attempts. Each response but the last is complete.
    for (n, response) in [SERVED, SERVED, SERVED, INCOMPLETE].iter().enumerate() {
        assert_eq!(courier.submit("order", &format!("m{n}")), 202);
        let served = serve_next_request(&gate, &mut peers, response);
        assert_eq!(served.id, format!("m{n}"));
        last_connection = served.connection;
        courier.wait_until_input_processed();
        // A connection is reused at the earliest 10 ms after a response.
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(courier.submit("order", "next"), 202);
    let next = serve_next_request(&gate, &mut peers, SERVED);
    assert!(
        next.connection != last_connection && next.id == "next",
        "the rest of the incomplete response is not the response to the next attempt"
    );
}

/// An attempt that is given up keeps its connection for a while, because its response may still come. That
/// response must complete the message: its retry is cancelled and no failure is notified.
#[test]
fn late_response_to_abandoned_attempt_completes_message_and_cancels_others() {
    let discovery = discovery_stub();
    let gates = [GatedListener::new(), GatedListener::new()];
    let mut courier = CourierProcess::with_config("late", |listen| {
        let mut config = platform_config(listen, &[gates[0].address, gates[1].address], discovery.address);
        config["settings"]["services"][0]["slo_ns"] = 200_000_000.into();
        config
    });
    assert_eq!(courier.submit("status", "a"), 202);
    wait_until("its attempt is in flight", || gates.iter().any(|gate| !gate.is_silent()));
    let first = gates.iter().position(|gate| !gate.is_silent()).unwrap();
    let mut hung = gates[first].accept();
    assert_eq!(hung.read_request(), "a");
    // The other endpoint serves a message while the first does not respond, so the attempt at the first is
    // given up.
    assert_eq!(courier.submit("status", "b"), 202);
    let other = &gates[1 - first];
    let mut peers = vec![];
    assert_eq!(serve_next_request(other, &mut peers, SERVED).id, "b");
    hung.read_to_end();
    // The message has been retried when the response to its first attempt arrives.
    let retry = serve_next_request(other, &mut peers, "");
    assert_eq!(retry.id, "a");
    hung.send(SERVED);
    peers[retry.connection].read_to_end();
    courier.kill_and_restart();
    courier.wait_until_input_processed();
    assert!(gates.iter().all(GatedListener::is_silent), "a delivered message is not sent again");
    assert_eq!(discovery.count_matching("\"a\""), 0, "no other outcome is notified");
}

/// A response that waits in the socket's buffer until after the deadline must not count as a delivery.
#[test]
fn response_read_after_deadline_is_no_delivery() {
    let discovery = discovery_stub();
    let gate = GatedListener::new();
    let courier = CourierProcess::with_config("after-deadline", |listen| {
        platform_config(listen, &[gate.address], discovery.address)
    });
    let text = submission("order", "late", "").replace("-Ms: 30000", "-Ms: 1000");
    assert_eq!(courier.request(&text), Some(202));
    let mut attempt = gate.accept();
    assert_eq!(attempt.read_request(), "late");
    // The process is stopped until after the deadline, at which it would have given up the message.
    courier.stop();
    std::thread::sleep(Duration::from_millis(1100));
    attempt.send(SERVED);
    courier.resume();
    wait_until("the message has failed", || discovery.count_matching(r#""late","state":"failed""#) == 1);
}
