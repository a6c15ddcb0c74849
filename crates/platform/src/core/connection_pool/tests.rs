//! State transitions of connections, and the outcomes of attempts that follow from them.

use super::*;
use crate::core::clock::MILLISECOND;

const SECOND: Time = 1000 * MILLISECOND;
const START: Time = 100 * SECOND;
const ENDPOINT: u32 = 1;
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
    ConnectionPool::new(capacity, &settings())
}

/// Returns a pool with one connection, on which the attempt of message 1 was sent.
fn pool_with_sent() -> (ConnectionPool, ConnectionId) {
    let mut pool = pool(2);
    let Acquired::Connecting(id) = pool.acquire(attempt(1), ENDPOINT, address(), START) else {
        panic!("a new connection")
    };
    pool.request_queued(id, 10);
    (pool, id)
}

#[test]
fn connection_reused_only_after_delay_since_its_response() {
    let (mut pool, id) = pool_with_sent();
    let finished = pool.receive(id, SERVED, START, &settings()).expect("an outcome");
    assert_eq!((finished.id, finished.outcome), (attempt(1), AttemptOutcome::Served));
    assert!(finished.message_completed);
    let before_delay = pool.acquire(attempt(2), ENDPOINT, address(), START);
    assert!(matches!(before_delay, Acquired::Connecting(other) if other != id), "the response just arrived");
    let after_delay = pool.acquire(attempt(3), ENDPOINT, address(), START + 10 * MILLISECOND);
    assert_eq!(after_delay, Acquired::Idle(id));
}

#[test]
fn connection_pool_full_evicts_idle_or_is_exhausted() {
    let (mut pool, id) = pool_with_sent();
    pool.receive(id, SERVED, START, &settings());
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
    let late = pool.receive(id, SERVED, START, &settings()).expect("a late outcome");
    assert_eq!((late.id, late.abandoned_endpoint), (attempt(1), Some(ENDPOINT)));
}

#[test]
fn connection_event_after_close_changes_nothing() {
    let (mut pool, id) = pool_with_sent();
    assert!(pool.disconnected(id, 10, START).is_some());
    assert_eq!(pool.take_closed(), [id]);
    assert!(pool.receive(id, SERVED, START, &settings()).is_none());
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
