//! Reuse of connections, and attempts whose endpoint changes while their connection is being established.

use super::harness::*;

/// Returns the response of an endpoint that executed the message, with this body.
fn served_with(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn connection_reused_after_exact_response_never_after_unexpected_bytes() {
    let unlike_others = served_with("4f");
    for (response, later_bytes, is_reused) in [
        (unlike_others.clone(), "", true),
        (format!("{unlike_others}{unlike_others}"), "", false),
        (unlike_others.clone(), &unlike_others[..], false),
        // A response like this one could not be told from its copy.
        (SERVED.to_owned(), "", false),
    ] {
        let mut harness = Harness::new();
        harness.serve_ten_messages(SERVED);
        harness.submit("status", "a", "");
        let before = harness.attempts().len();
        let connection = harness.attempts()[before - 1].connection;
        harness.respond(connection, response.as_bytes());
        if !later_bytes.is_empty() {
            harness.respond(connection, later_bytes.as_bytes());
        }
        harness.run_for(20 * MILLISECOND);
        // The endpoints are equally good, so one of the four attempts uses the connection if it may be
        // reused.
        for n in 0..4 {
            harness.submit("status", &format!("b{n}"), "");
        }
        let used = harness.attempts()[before..].iter().any(|attempt| attempt.connection == connection);
        assert_eq!(used, is_reused, "{response:?} {later_bytes:?}");
        assert_eq!(harness.outcomes().served, 11, "each response delivers one message");
    }
    let mut harness = Harness::new();
    harness.serve_ten_messages(SERVED);
    harness.submit("status", "a", "");
    let connection = harness.attempts().last().unwrap().connection;
    harness.respond(connection, unlike_others.as_bytes());
    harness.run_for(7 * SECOND);
    assert!(!harness.closed.contains(&connection));
    harness.run_for(SECOND);
    assert!(harness.closed.contains(&connection), "closed before the endpoint's own idle timeout");
}

#[test]
fn endpoint_draining_while_connecting_gets_no_attempt() {
    let mut harness = Harness::new();
    let watch = harness.connect_discovery();
    let line = |status: &str| list_event(43, "a", "bank", 3, status, 1000);
    // The list changes while a connection is being established.
    let connection = harness.begin_connecting();
    harness.watch_event(watch, &line("leaving"));
    harness.core.upstream_connected(connection);
    harness.process();
    harness.run_for(SECOND);
    assert!(harness.attempts().is_empty());
    harness.watch_event(watch, &line("active"));
    harness.run_for(3 * SECOND);
    assert_eq!(harness.attempts().len(), 1, "sent once the endpoint is ready again");
}

#[test]
fn connection_cancelled_in_iteration_of_its_connect_not_established() {
    let mut harness = Harness::new();
    let client = 7;
    harness.core.client_opened(client);
    let head = "POST /status HTTP/1.1\r\nX-Txn: m\r\nX-Remaining-Ms: 9000\r\nX-Route-To: dest=3\r\n\r\n";
    harness.core.client_received(client, head.as_bytes());
    harness.core.process(harness.now);
    let id = harness.core.attempts.ids()[0];
    harness.core.cancel_attempt(id, AttemptOutcome::Cancelled);
    harness.core.put_closes_first();
    let connects = harness.core.take_outputs().into_iter().filter(is_endpoint_connect);
    assert_eq!(connects.count(), 0);
}

#[test]
fn attempts_bounded_by_file_descriptors_fail_no_endpoint() {
    let mut config = config(60);
    config.limits.file_descriptors = 64;
    config.settings.settings.max_in_flight_calls = 60;
    let mut core = Harness::starting(config, &[], 100 * SECOND).core;
    (0..18).for_each(|client| core.client_opened(client));
    for n in 0..3 {
        for client in 0..18 {
            let head = format!(
                "POST /status HTTP/1.1\r\nX-Txn: m{n}-{client}\r\nX-Remaining-Ms: 9000\r\n\
                 X-Route-To: dest=3\r\n\r\n"
            );
            core.client_received(client, head.as_bytes());
        }
        core.process(100 * SECOND + INITIAL_SYNC_TIMEOUT + n * 10 * MILLISECOND);
    }
    core.process(100 * SECOND + 500 * MILLISECOND);
    assert_eq!(
        (core.counters().accepted, core.sizes().attempts),
        (54, 15),
        "attempts get three quarters of the 20 connections to endpoints"
    );
    assert_eq!(core.counters().outcomes, OutcomeCounts::default());
}

#[test]
fn endpoint_moved_while_connecting_gets_attempt_at_new_address() {
    let mut harness = Harness::new();
    let watch = harness.connect_discovery();
    let connection = harness.begin_connecting();
    harness.watch_event(watch, &list_event(43, "a", "bank", 3, "active", 2000));
    harness.core.upstream_connected(connection);
    harness.process();
    harness.run_for(3 * SECOND);
    let attempts = harness.attempts();
    assert!(
        attempts.len() == 1 && attempts[0].connection != connection,
        "sent to the new address: {attempts:?}"
    );
    assert!(harness.connections[&attempts[0].connection].port() > 2000);
}

#[test]
fn connection_with_body_remaining_carries_no_other_attempt() {
    let mut harness = Harness::new();
    harness.serve_ten_messages(SERVED);
    harness.submit("status", "a", "");
    let connection = harness.attempts().last().unwrap().connection;
    harness.respond(connection, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal");
    let before = harness.attempts().len();
    harness.run_for(20 * MILLISECOND);
    for n in 0..4 {
        harness.submit("order", &format!("b{n}"), "");
    }
    let attempts = harness.attempts().split_off(before);
    assert!(
        !attempts.is_empty() && attempts.iter().all(|attempt| attempt.connection != connection),
        "{attempts:?}, none on {connection}"
    );
    harness.run_for(50 * MILLISECOND);
    assert!(harness.closed.contains(&connection), "closed after the time limit for the rest of its response");
}

/// An endpoint writes its response in pieces. A close behind the first one would reset the connection under it.
#[test]
fn response_in_pieces_is_read_to_its_end_and_connection_reused() {
    let mut harness = Harness::new();
    harness.serve_ten_messages(SERVED);
    harness.submit("order", "a", "");
    let connection = harness.attempts().last().unwrap().connection;
    let delivered = harness.outcomes().served;
    for piece in ["HTTP/1.1 200 OK\r\nContent-", "Length: 8\r\n\r\n", "pie", "ces.."] {
        assert!(!harness.closed.contains(&connection), "before {piece:?}");
        harness.respond(connection, piece.as_bytes());
        assert_eq!(harness.outcomes().served, delivered + 1, "the status line decides");
    }
    harness.run_for(20 * MILLISECOND);
    harness.submit("order", "b", "");
    assert_eq!(harness.attempts().last().unwrap().connection, connection);
}
