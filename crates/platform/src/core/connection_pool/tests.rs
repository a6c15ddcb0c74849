//! State transitions of connections, and the outcomes of attempts that follow from them.

use super::*;
use crate::core::clock::MILLISECOND;
use linnetcart_courier_common::attribution::Attribution;
use linnetcart_http::MAX_HEAD_BYTES;

const SECOND: Time = 1000 * MILLISECOND;
const START: Time = 100 * SECOND;
const ENDPOINT: u32 = 1;
/// More than any number of request bytes: the requests are written completely.
const WRITTEN: u64 = 1 << 20;
const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn settings() -> DeploymentSettings {
    let mut settings = DeploymentSettings::default();
    settings.settings.idle_timeout = 10 * SECOND;
    settings.settings.connect_timeout = SECOND;
    settings
}

fn address() -> SocketAddr {
    "127.0.0.1:1001".parse().unwrap()
}

fn attempt(message: u32) -> AttemptId {
    AttemptId { message, number: 0 }
}

fn pool(capacity: usize) -> ConnectionPool {
    ConnectionPool::new(capacity, usize::MAX, &settings())
}

/// Returns a pool with one connection, on which the attempt of message 1 was sent. The endpoint has given
/// other responses before.
fn pool_with_sent() -> (ConnectionPool, ConnectionId) {
    let mut pool = pool(2);
    for status in [200, 503, 504] {
        pool.seen_responses.insert(ENDPOINT, status, b"another response");
    }
    let Acquired::Connecting(id) = pool.acquire(attempt(1), ENDPOINT, address(), START) else {
        panic!("a new connection")
    };
    pool.request_queued(id, 10);
    (pool, id)
}

#[test]
fn connection_reused_only_after_delay_since_its_response() {
    let (mut pool, id) = pool_with_sent();
    let finished = pool.receive(id, SERVED, WRITTEN, START, &settings()).expect("an outcome");
    assert_eq!((finished.id, finished.outcome), (attempt(1), AttemptOutcome::Served));
    assert_eq!(finished.end, Some(ReportedEnd::Delivered));
    let before_delay = pool.acquire(attempt(2), ENDPOINT, address(), START);
    assert!(matches!(before_delay, Acquired::Connecting(other) if other != id), "the response just arrived");
    let after_delay = pool.acquire(attempt(3), ENDPOINT, address(), START + 10 * MILLISECOND);
    assert_eq!(after_delay, Acquired::Idle(id));
}

const REJECTED: &[u8] = b"HTTP/1.1 503 Full\r\nX-Pressure: x0=0.1\r\nContent-Length: 0\r\n\r\n";
const OTHER_SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nX-Pressure: x0=0.2\r\nContent-Length: 0\r\n\r\n";

/// Returns a pool with one connection that carried an attempt with this response, and carries another.
fn pool_with_reused(first: &[u8]) -> (ConnectionPool, ConnectionId) {
    let (mut pool, id) = pool_with_sent();
    assert!(pool.receive(id, first, WRITTEN, START, &settings()).is_some());
    assert_eq!(pool.acquire(attempt(2), ENDPOINT, address(), START + SECOND), Acquired::Idle(id));
    pool.request_queued(id, 10);
    (pool, id)
}

#[test]
fn copy_of_earlier_response_never_believed_and_ends_connection() {
    for first in [SERVED, REJECTED, b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"] {
        for cut in 0..first.len() {
            let (mut pool, id) = pool_with_reused(first);
            assert_eq!(pool.receive(id, &first[..cut], WRITTEN, START, &settings()), None);
            let finished = pool.receive(id, &first[cut..], WRITTEN, START, &settings());
            assert_eq!(finished, Some(FinishedAttempt::new(attempt(2), AttemptOutcome::Reset)));
            assert_eq!(pool.take_closed(), [id]);
            let reported = pool.take_unattributed();
            assert_eq!(
                (reported[0].attribution, reported[0].attempt),
                (Attribution::Ambiguous, Some(attempt(2)))
            );
        }
    }
}

#[test]
fn response_unlike_all_earlier_ones_believed_on_reused_connection() {
    let (mut pool, id) = pool_with_reused(REJECTED);
    let finished = pool.receive(id, OTHER_SERVED, WRITTEN, START, &settings()).expect("an outcome");
    assert_eq!((finished.id, finished.outcome), (attempt(2), AttemptOutcome::Served));
    assert!(pool.take_unattributed().is_empty());
}

#[test]
fn copy_after_cancellation_does_not_complete_attempt() {
    let (mut pool, id) = pool_with_reused(SERVED);
    assert_eq!(pool.cancel(attempt(2), START), Cancelled::Abandoned);
    assert_eq!(pool.receive(id, SERVED, WRITTEN, START, &settings()), None);
    assert_eq!(pool.take_closed(), [id]);
    let (mut pool, id) = pool_with_reused(SERVED);
    pool.cancel(attempt(2), START);
    let late = pool.receive(id, OTHER_SERVED, WRITTEN, START, &settings()).expect("a late outcome");
    assert_eq!((late.id, late.outcome), (attempt(2), AttemptOutcome::Served));
}

#[test]
fn copy_cut_off_by_disconnect_or_timeout_is_no_success() {
    let cut = &SERVED[..20];
    let (mut pool, id) = pool_with_reused(SERVED);
    assert_eq!(pool.receive(id, cut, WRITTEN, START, &settings()), None);
    let lost = pool.disconnected(id, WRITTEN, START);
    assert_eq!(lost, Some(FinishedAttempt::new(attempt(2), AttemptOutcome::Reset)));
    let (mut pool, id) = pool_with_reused(SERVED);
    pool.receive(id, cut, WRITTEN, START, &settings());
    let timed_out = pool.close_timed_out(START + 2 * SECOND);
    assert_eq!(timed_out, [FinishedAttempt::new(attempt(2), AttemptOutcome::Reset)]);
}

#[test]
fn response_before_last_byte_of_request_is_no_answer() {
    let requested = 10;
    for written in [0, requested - 1] {
        let (mut pool, id) = pool_with_sent();
        let finished = pool.receive(id, SERVED, written, START, &settings());
        assert_eq!(finished, Some(FinishedAttempt::new(attempt(1), AttemptOutcome::NoConnection)));
        assert_eq!(pool.take_unattributed()[0].attribution, Attribution::Unsolicited);
    }
    // Interim responses may come at any time.
    let (mut pool, id) = pool_with_sent();
    assert_eq!(pool.receive(id, b"HTTP/1.1 100 Continue\r\n\r\n", 0, START, &settings()), None);
    let finished = pool.receive(id, SERVED, requested, START, &settings()).expect("an outcome");
    assert_eq!(finished.outcome, AttemptOutcome::Served);
}

#[test]
fn response_on_connection_without_request_ends_it() {
    let mut connecting = pool(2);
    let Acquired::Connecting(id) = connecting.acquire(attempt(1), ENDPOINT, address(), START) else {
        panic!("a new connection")
    };
    let finished = connecting.receive(id, SERVED, 0, START, &settings());
    let not_sent = FinishedAttempt::new(attempt(1), AttemptOutcome::NoConnection);
    assert_eq!(finished, Some(not_sent), "the attempt ends at once, not at its deadline");
    let (mut idle, id) = pool_with_sent();
    idle.receive(id, SERVED, WRITTEN, START, &settings());
    assert_eq!(idle.receive(id, SERVED, WRITTEN, START, &settings()), None);
    assert_eq!(idle.take_closed(), [id]);
}

#[test]
fn endless_interim_responses_end_connection() {
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(50);
    let most_calls = MAX_HEAD_BYTES / interim.len() + 1;
    let (mut idle, id) = pool_with_sent();
    idle.receive(id, SERVED, WRITTEN, START, &settings());
    let (in_use, sent) = pool_with_sent();
    for (mut pool, id) in [(idle, id), (in_use, sent)] {
        for _ in 0..most_calls {
            pool.receive(id, &interim, WRITTEN, START, &settings());
        }
        assert_eq!(pool.take_closed(), [id]);
    }
}

#[test]
fn connection_kept_only_after_response_unlike_others_of_endpoint() {
    let mut pool = pool(8);
    for (number, response, is_kept) in [(1, OTHER_SERVED, false), (2, SERVED, true), (3, SERVED, false)] {
        let Acquired::Connecting(id) = pool.acquire(attempt(number), ENDPOINT, address(), START) else {
            panic!("a new connection")
        };
        pool.request_queued(id, 10);
        pool.receive(id, response, WRITTEN, START, &settings());
        assert_eq!(pool.take_closed().is_empty(), is_kept, "response {number}");
    }
}

#[test]
fn connection_pool_full_evicts_idle_or_is_exhausted() {
    let (mut pool, id) = pool_with_sent();
    pool.receive(id, SERVED, WRITTEN, START, &settings());
    for message in [2, 3] {
        let acquired = pool.acquire(attempt(message), ENDPOINT + 1, address(), START);
        assert!(matches!(acquired, Acquired::Connecting(_)));
    }
    assert_eq!(pool.take_closed(), [id], "the idle connection is evicted");
    assert_eq!(pool.acquire(attempt(4), ENDPOINT, address(), START), Acquired::Exhausted);
}

#[test]
fn attempt_cancelled_before_request_is_unsent_after_request_is_abandoned() {
    let mut connecting = pool(2);
    connecting.acquire(attempt(1), ENDPOINT, address(), START);
    assert_eq!(connecting.cancel(attempt(1), START), Cancelled::Unsent);
    assert_eq!(connecting.size(), PoolSize { connections: 0, attempts: 0 });
    let (mut pool, id) = pool_with_sent();
    assert_eq!(pool.cancel(attempt(1), START), Cancelled::Abandoned);
    assert_eq!((pool.take_abandoned(), pool.take_closed()), (vec![id], vec![]));
    assert_eq!(pool.cancel(attempt(1), START), Cancelled::Unsent, "an abandoned attempt has no connection");
    let late = pool.receive(id, SERVED, WRITTEN, START, &settings()).expect("a late outcome");
    assert_eq!((late.id, late.abandoned_endpoint), (attempt(1), Some(ENDPOINT)));
}

#[test]
fn connection_event_after_close_changes_nothing() {
    let (mut pool, id) = pool_with_sent();
    assert!(pool.disconnected(id, 10, START).is_some());
    assert_eq!(pool.take_closed(), [id]);
    assert!(pool.receive(id, SERVED, WRITTEN, START, &settings()).is_none());
    assert!(
        pool.disconnected(id, 10, START).is_none()
            && pool.connect_failed(id, ConnectFailure::Remote).is_none()
    );
    pool.request_queued(id, 10);
    assert_eq!((pool.take_closed(), pool.next_deadline()), (vec![], Time::MAX));
}

#[test]
fn connection_not_established_in_time_closed_as_no_connection() {
    let mut pool = pool(2);
    pool.acquire(attempt(1), ENDPOINT, address(), START);
    assert_eq!(pool.next_deadline(), START + SECOND);
    assert!(pool.close_timed_out(START + SECOND - 1).is_empty());
    let finished = pool.close_timed_out(START + SECOND);
    assert_eq!(finished, [FinishedAttempt::new(attempt(1), AttemptOutcome::NoConnection)]);
}
