//! Encoding, batches and acknowledgement of notifications, and the ordering keys that they block.

use super::answer::Acknowledged;
use super::queue::FIRST_RESEND_INTERVAL;
use super::*;
use crate::core::clock::MILLISECOND;
use crate::core::tests::fixtures;

const NOW: Time = 1_000 * MILLISECOND;
const CONNECTION: ConnectionId = 9;
/// More than any number of request bytes: the requests are written completely.
const WRITTEN: u64 = 1 << 20;
const ACCEPTED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
const REJECTED: &[u8] = b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n";

fn host() -> SocketAddr {
    "127.0.0.1:8500".parse().unwrap()
}

fn message(id: &str, ordering_key: u64) -> Message {
    Message { ordering_key, ..fixtures::message(id) }
}

/// Returns a connected notifier with a failed message for each number.
fn notifier_with(numbers: &[u32]) -> StatusNotifier {
    let mut notifier = StatusNotifier::new();
    for &number in numbers {
        notifier.push(number, &message(&format!("m{number}"), 5), FinalOutcome::Failed, Time::MAX);
    }
    notifier.release_all();
    if !numbers.is_empty() {
        assert_eq!(notifier.poll(NOW), NotifierAction::Connect);
    }
    connect(&mut notifier, CONNECTION, NOW);
    notifier
}

fn connect(notifier: &mut StatusNotifier, id: ConnectionId, now: Time) {
    notifier.connecting(id, now);
    notifier.connected(id);
}

/// Establishes connections from `first` on and sends batches until nothing is to be done. Returns the sizes of the
/// batches.
fn send_all(notifier: &mut StatusNotifier, first: ConnectionId, now: Time) -> Vec<usize> {
    let mut sizes = Vec::new();
    loop {
        while let Some(request) = notifier.next_request(now, host()) {
            assert!(request.bytes.len() < 64 * 1024, "the platform accepts bodies of 64 KiB");
            sizes.push(request.messages.len());
        }
        match notifier.poll(now) {
            NotifierAction::Connect => connect(notifier, first + sizes.len() as u64, now),
            NotifierAction::Nothing => return sizes,
            NotifierAction::Close(_) | NotifierAction::CloseTimedOut(_) => {}
        }
    }
}

fn batch_size(notifier: &mut StatusNotifier) -> usize {
    let request = notifier.next_request(NOW, host()).expect("a request");
    String::from_utf8(request.bytes).expect("text").matches("\"id\"").count()
}

#[test]
fn notification_bytes_unchanged() {
    let mut notifier = notifier_with(&[1]);
    notifier.push(2, &message("m2", 0), FinalOutcome::Returned { retry_after_ms: 7 }, Time::MAX);
    notifier.push(3, &message("m3", 0), FinalOutcome::Returned { retry_after_ms: 0 }, Time::MAX);
    notifier.push(4, &message("m4", 0), FinalOutcome::Delivered, Time::MAX);
    notifier.release_all();
    let request = notifier.next_request(NOW, host()).expect("a request");
    assert_eq!(request.connection, CONNECTION);
    let expected = "POST /status HTTP/1.1\r\nHost: 127.0.0.1:8500\r\nContent-Type: application/x-ndjson\r\n\
                    Content-Length: 104\r\n\r\n{\"id\":\"m1\",\"state\":\"failed\"}\n\
                    {\"after_ms\":7,\"id\":\"m2\",\"state\":\"returned\"}\n\
                    {\"id\":\"m3\",\"state\":\"returned\"}\n";
    assert_eq!(String::from_utf8(request.bytes).expect("text"), expected);
    assert_eq!(notifier.counts(), NotificationCounts { failed: 1, returned: 2 });
}

#[test]
fn notification_batch_rejected_sent_in_parts_until_rejected_one_is_alone() {
    let mut notifier = notifier_with(&[1, 2, 3]);
    assert_eq!(batch_size(&mut notifier), 3);
    let nothing = Acknowledged { messages: vec![], result: BatchResult::Rejected };
    assert_eq!(notifier.receive(CONNECTION, REJECTED, WRITTEN, NOW), Ok(Some(nothing)));
    assert_eq!(send_all(&mut notifier, 20, NOW), [1, 1, 1], "none waits for the answer to another");
    let first = Acknowledged { messages: vec![1], result: BatchResult::Rejected };
    let answer = notifier.receive(20, REJECTED, WRITTEN, NOW);
    assert_eq!(answer, Ok(Some(first)), "rejected alone, and not sent again");
    let second = Acknowledged { messages: vec![2], result: BatchResult::Accepted };
    assert_eq!(notifier.receive(21, ACCEPTED, WRITTEN, NOW), Ok(Some(second)));
    assert_eq!(notifier.len(), 1);
}

#[test]
fn notification_unanswered_in_time_sent_again_beside_its_first_batch() {
    let mut notifier = notifier_with(&[1]);
    assert_eq!(batch_size(&mut notifier), 1);
    let resend_at = NOW + FIRST_RESEND_INTERVAL;
    assert_eq!(notifier.next_wake(), resend_at);
    assert_eq!(notifier.poll(resend_at - 1), NotifierAction::Nothing);
    assert_eq!(send_all(&mut notifier, 20, resend_at), [1]);
    let acknowledged = Acknowledged { messages: vec![1], result: BatchResult::Accepted };
    let late = notifier.receive(CONNECTION, ACCEPTED, WRITTEN, resend_at + 50 * MILLISECOND);
    assert_eq!(late, Ok(Some(acknowledged)), "the late answer acknowledges it");
    assert_eq!((notifier.len(), notifier.owns(20)), (0, true));
}

/// Notifications that fall due while earlier ones are unanswered leave within 300 ms, however slow discovery is.
#[test]
fn notifications_owed_at_once_leave_in_time_whatever_answers_do() {
    for count in [200u32, 2000] {
        let mut notifier = notifier_with(&(1..=count).collect::<Vec<_>>());
        let sent: usize = send_all(&mut notifier, 20, NOW).iter().sum();
        assert_eq!(sent, count as usize, "all leave at once");
        let mut now = NOW;
        for later in 0..100u32 {
            now += 37 * MILLISECOND;
            let number = count + 1 + later;
            notifier.push(number, &message(&format!("m{number}"), 5), FinalOutcome::Failed, Time::MAX);
            notifier.release_all();
            let due_at = now;
            let first = 1000 * u64::from(later + 1);
            let mut connection = first;
            loop {
                match notifier.poll(now) {
                    NotifierAction::Connect => {
                        connect(&mut notifier, connection, now);
                        connection += 1;
                    }
                    NotifierAction::Nothing => {
                        let request = notifier.next_request(now, host());
                        if request.is_some_and(|request| request.messages.contains(&number)) {
                            break;
                        }
                        now += 10 * MILLISECOND;
                        assert!(now < due_at + 200 * MILLISECOND, "{number} has not left");
                    }
                    NotifierAction::Close(_) | NotifierAction::CloseTimedOut(_) => {}
                }
            }
        }
        assert_eq!(notifier.len(), count as usize + 100, "nothing owed is dropped");
    }
}

/// While discovery is silent, connections and bytes stay bounded.
#[test]
fn unanswered_notifications_are_sent_at_growing_intervals() {
    let mut notifier = notifier_with(&(1..=500).collect::<Vec<_>>());
    let (mut sent, mut connects, mut next_id) = (0, 0, 20);
    let end = NOW + 10_000 * MILLISECOND;
    let mut now = NOW;
    while now < end {
        let sizes = send_all(&mut notifier, next_id, now);
        next_id += 100;
        connects += sizes.len();
        sent += sizes.iter().sum::<usize>();
        now = notifier.next_wake().max(now + MILLISECOND);
    }
    assert!(sent <= 500 * 16, "{sent} sends of 500 notifications in 10 s");
    assert!(connects <= 100, "{connects} connections in 10 s");
    assert_eq!(notifier.len(), 500);
}

/// Guards against a notification that is late because connections were closed without an answer: it is tried every 20 ms
/// for as long as it has to arrive in time.
#[test]
fn backoff_grows_on_failures_only() {
    let mut notifier = notifier_with(&[1]);
    let mut now = NOW;
    let mut delays = Vec::new();
    for id in 20..40 {
        notifier.disconnected(if id == 20 { CONNECTION } else { id - 1 }, now);
        delays.push((notifier.next_wake() - now) / MILLISECOND);
        now = notifier.next_wake();
        assert_eq!(notifier.poll(now), NotifierAction::Connect);
        notifier.connecting(id, now);
    }
    assert_eq!(delays[..16], [20; 16], "for 300 ms");
    assert_eq!(delays[16..], [40, 80, 150, 150]);
    notifier.connected(39);
    assert!(notifier.next_request(now, host()).is_some());
    assert!(notifier.receive(39, ACCEPTED, WRITTEN, now).is_ok());
    notifier.push(2, &message("m2", 0), FinalOutcome::Failed, Time::MAX);
    notifier.release_all();
    assert_eq!(notifier.poll(now), NotifierAction::Connect, "at once after an answer");
}

#[test]
fn notification_answer_invalid_reported() {
    for (answer, error) in [
        (&b"noise\r\n\r\n"[..], NotificationError::Malformed),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", NotificationError::Status(500)),
        (b"HTTP/1.1 200 OK\r\n\r\n", NotificationError::UnboundedBody(200)),
    ] {
        let mut notifier = notifier_with(&[1]);
        batch_size(&mut notifier);
        assert_eq!(notifier.receive(CONNECTION, answer, WRITTEN, NOW), Err(error));
        assert_eq!(notifier.len(), 1, "it stays unacknowledged");
    }
}

#[test]
fn answer_before_batch_was_written_acknowledges_nothing() {
    for interim in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
        let mut notifier = notifier_with(&[1]);
        assert_eq!(notifier.receive(CONNECTION, interim.as_bytes(), 0, NOW), Ok(None));
        let unsolicited = notifier.receive(CONNECTION, ACCEPTED, 0, NOW);
        assert_eq!(unsolicited, Err(NotificationError::Unsolicited), "no batch is sent");
        let mut notifier = notifier_with(&[1]);
        let request = notifier.next_request(NOW, host()).expect("a request").bytes.len() as u64;
        assert_eq!(notifier.receive(CONNECTION, interim.as_bytes(), request - 1, NOW), Ok(None));
        let early = notifier.receive(CONNECTION, ACCEPTED, request - 1, NOW);
        assert_eq!(early, Err(NotificationError::Unsolicited));
        assert_eq!(notifier.len(), 1, "it stays unacknowledged");
    }
}

#[test]
fn endless_interim_answers_are_an_error() {
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(500);
    let mut notifier = notifier_with(&[1]);
    batch_size(&mut notifier);
    assert_eq!(notifier.receive(CONNECTION, &interim, WRITTEN, NOW), Err(NotificationError::Malformed));
}

#[test]
fn ordering_key_blocked_until_other_messages_released() {
    let mut notifier = notifier_with(&[1]);
    assert!(notifier.blocks(5, 2) && !notifier.blocks(5, 1) && !notifier.blocks(6, 2));
    notifier.release(5, 1);
    assert!(!notifier.blocks(5, 2));
}

#[test]
fn notification_of_unrecorded_outcome_waits_for_record_or_deadline() {
    let mut notifier = notifier_with(&[]);
    notifier.push(1, &message("m1", 0), FinalOutcome::Returned { retry_after_ms: 5 }, NOW + 10);
    notifier.push(2, &message("m2", 0), FinalOutcome::Failed, NOW + 20);
    assert_eq!((notifier.len(), notifier.next_wake()), (2, NOW + 10));
    assert!(notifier.due_unrecorded(NOW + 9).is_empty(), "the next process may attempt the message");
    assert!(notifier.next_request(NOW + 9, host()).is_none());
    assert_eq!(notifier.due_unrecorded(NOW + 10), [1]);
    notifier.release_as(1, &message("m1", 0), FinalOutcome::Failed);
    assert!(notifier.due_unrecorded(NOW + 10).is_empty());
    let request = notifier.next_request(NOW + 10, host()).expect("a batch");
    assert_eq!(request.messages, [1]);
    assert!(String::from_utf8(request.bytes)
        .expect("text")
        .ends_with("{\"id\":\"m1\",\"state\":\"failed\"}\n"));
    assert!(notifier.release_all() && !notifier.release_all());
}
