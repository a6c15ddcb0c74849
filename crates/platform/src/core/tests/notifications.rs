//! Status notifications, and the ordering keys that they block until they are acknowledged.

use super::harness::*;

#[test]
fn notification_unacknowledged_resent_after_timeout_discovery_move_and_restart() {
    let mut harness = Harness::new();
    harness.submit("order", "m", "");
    let connection = harness.attempts()[0].connection;
    harness.respond(connection, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    let first = harness.connect_discovery();
    assert_eq!(harness.notifications(), [failed_notification(first)]);
    harness.run_for(230 * MILLISECOND);
    let second = harness.connect_discovery();
    assert!(second != first && harness.notifications().len() == 2, "sent again after the answer timeout");
    harness.core.move_discovery("127.0.0.1:8501".parse().unwrap());
    harness.process();
    assert!(harness.closed.contains(&second));
    let moved = harness.connections.values().filter(|address| address.port() == 8501);
    assert_eq!(moved.count(), 2, "the watch and the notifications");
    let mut restarted = Harness::with_journal(harness.journal.clone(), harness.now, 40);
    let connection = restarted.connect_discovery();
    assert_eq!(restarted.notifications().len(), 1);
    restarted.respond(connection, b"HTTP/1.1 204 No Content\r\n\r\n");
    assert!(restarted.has_record(|record| matches!(record, Record::Notified { .. })));
    let snapshot: Vec<Record> = restarted.core.snapshot().collect();
    assert!(
        matches!(snapshot[..], [Record::Names { .. }, Record::CompletedId(_)]),
        "every outcome is acknowledged: {snapshot:?}"
    );
}

#[test]
fn ordering_key_blocked_until_previous_message_acknowledged() {
    let mut harness = Harness::new();
    harness.submit("change", "one", "k");
    harness.submit("change", "two", "k");
    harness.submit("change", "other", "l");
    assert_eq!(harness.sent_ids(), ["one", "other"]);
    // `one` is not served, and is completed as undelivered at its deadline.
    harness.run_for(8995 * MILLISECOND);
    assert!(!harness.sent_ids().contains(&"two".to_owned()), "{:?}", harness.sent_ids());
    let mut harness = Harness::new();
    harness.submit("change", "one", "k");
    harness.submit("change", "two", "k");
    let mut in_flight = harness.core.in_flight.iter();
    let (number, _) = in_flight.find(|(_, message)| message.message().id == b"one").unwrap();
    drop(in_flight);
    // The first message fails. The second may be sent once the notification of the failure is acknowledged.
    harness.core.complete_undelivered(number, FinalOutcome::Failed, CompletionReason::GivenUp);
    harness.core.decisions.push(Event::ClientCancelled { message: number });
    harness.run_for(300 * MILLISECOND);
    assert_eq!(harness.sent_ids(), ["one"], "the notification is not acknowledged");
    let connection = harness.connect_discovery();
    harness.respond(connection, b"HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(harness.sent_ids(), ["one", "two"]);
}

#[test]
fn attempt_waiting_for_connection_not_started_again_by_acknowledgement() {
    let mut harness = Harness::new();
    let client = 7;
    harness.core.client_opened(client);
    let head = "POST /change HTTP/1.1\r\nX-Txn: one\r\nIdempotency-Key: t\r\nX-Remaining-Ms: 9000\r\n\
                Cookie: subject=k\r\nX-Route-To: dest=3\r\n\r\n";
    harness.core.client_received(client, head.as_bytes());
    harness.core.process(harness.now);
    // An earlier message of its ordering key fails while the connection is being established.
    let (first, message) = harness.core.in_flight.iter().next().unwrap();
    let ordering_key = message.message().ordering_key;
    let mut pending = message.pending.clone();
    pending.message.id = b"two".to_vec();
    let earlier = first.wrapping_sub(1);
    harness.core.in_flight.insert(earlier, pending, harness.now + SECOND);
    harness.core.complete_undelivered(earlier, FinalOutcome::Failed, CompletionReason::GivenUp);
    assert!(harness.core.notifier.blocks(ordering_key, first));
    assert!(!harness.core.notifier.blocks(ordering_key, earlier), "a later message waits for an earlier one");
    harness.core.acknowledge(earlier);
    let connects = harness.core.take_outputs().into_iter().filter(is_endpoint_connect);
    assert_eq!(connects.count(), 1, "one connection for one attempt");
}

#[test]
fn notification_rejected_alone_dropped_and_blocks_no_other() {
    let mut harness = Harness::new();
    for id in ["a", "b", "c"] {
        harness.submit("order", id, "");
    }
    for attempt in harness.attempts() {
        harness.core.upstream_received(
            attempt.connection,
            b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            u64::MAX,
        );
    }
    harness.process();
    let rejection = "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n";
    let acknowledgement = "HTTP/1.1 204 No Content\r\n\r\n";
    let whole = harness.connect_discovery();
    harness.respond(whole, rejection.as_bytes());
    let alone = [0; 3].map(|_| harness.connect_discovery());
    for (connection, response) in alone.into_iter().zip([acknowledgement, rejection, acknowledgement]) {
        harness.respond(connection, response.as_bytes());
    }
    let lines: Vec<usize> = harness.notifications().iter().map(|batch| batch.body.lines().count()).collect();
    assert_eq!(lines, [3, 1, 1, 1], "batches shrink until the rejected notification is alone");
    assert_eq!(harness.core.sizes().unacknowledged, 0);
    let rejected = CoreEvent::NotificationRejected { message: "b".into() };
    assert!(harness.core.take_events().contains(&rejected), "the rejected message is named");
}

#[test]
fn notification_connection_closed_after_its_answer() {
    let mut harness = Harness::new();
    for id in ["a", "b"] {
        harness.submit("order", id, "");
    }
    let attempts = harness.attempts();
    let failed = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    harness.respond(attempts[0].connection, failed);
    let first = harness.connect_discovery();
    // The second notification is queued before the first is acknowledged.
    harness.respond(attempts[1].connection, failed);
    harness.respond(first, b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    let second = harness.connect_discovery();
    harness.respond(second, b"HTTP/1.1 204 No Content\r\n\r\n");
    let connections: Vec<ConnectionId> =
        harness.notifications().iter().map(|batch| batch.connection).collect();
    assert_eq!((connections, harness.core.sizes().unacknowledged), (vec![first, second], 0));
    assert!(harness.closed.contains(&first) && harness.closed.contains(&second));
    harness.run_for(5 * SECOND);
    // Bytes on the old connection, and its disconnect, do not affect the new one.
    harness.respond(first, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    harness.core.upstream_disconnected(first, 0);
    harness.process();
    assert_eq!(harness.core.sizes().unacknowledged, 0);
}
