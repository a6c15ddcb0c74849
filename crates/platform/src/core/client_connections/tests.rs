//! Eviction and timeouts of client connections.

use super::connection::{FIRST_REQUEST_GRACE, IDLE_TIMEOUT, REQUEST_TIMEOUT};
use super::eviction::EVICTABLE_IDLE_TIME;
use super::ExpiredClient::{Idle, InRequest};
use super::*;

const MEMORY_BYTES: usize = 100_000;
const READY_REQUEST: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";

fn at(time: Time) -> Arrival {
    Arrival { earliest: time, read_at: time }
}

/// Opens a connection, and returns the one that is evicted for it.
fn open(clients: &mut ClientConnections, id: ClientId, now: Time) -> Option<ClientId> {
    clients.opened(id, now);
    match clients.evict(now) {
        Some(Eviction::Close(evicted)) => Some(evicted.client),
        Some(Eviction::Refuse(id)) => panic!("{id} has a part of a request"),
        None => None,
    }
}

#[test]
fn client_beyond_capacity_evicts_idle_one_never_one_with_request() {
    let mut clients = ClientConnections::new(3, MEMORY_BYTES, 0);
    for (id, at) in [(1, 10), (2, 20), (3, 30)] {
        assert_eq!(open(&mut clients, id, at), None);
    }
    // The first has an outstanding request, the second was answered, the third never sent a byte.
    clients.receive(1, READY_REQUEST, at(40));
    clients.mark_awaiting_answer(1);
    clients.receive(2, READY_REQUEST, at(40));
    clients.answered(2, 50);
    assert_eq!(
        open(&mut clients, 4, 60),
        Some(3),
        "without any request it is evicted first, although it is newer than the second"
    );
    clients.receive(4, READY_REQUEST, at(70));
    clients.mark_awaiting_answer(4);
    assert_eq!(open(&mut clients, 5, 80), Some(5), "a connection answered just now is not evicted");
    assert_eq!(
        open(&mut clients, 6, 50 + EVICTABLE_IDLE_TIME),
        Some(2),
        "evictable after `EVICTABLE_IDLE_TIME`"
    );
    clients.receive(6, READY_REQUEST, at(60 + EVICTABLE_IDLE_TIME));
    clients.mark_awaiting_answer(6);
    assert_eq!(
        open(&mut clients, 7, 100 * EVICTABLE_IDLE_TIME),
        Some(7),
        "all others have outstanding requests"
    );
    assert_eq!(clients.len(), 3);
}

#[test]
fn client_beyond_capacity_never_evicts_one_with_unread_request() {
    let mut clients = ClientConnections::new(2, MEMORY_BYTES, 0);
    assert_eq!(open(&mut clients, 1, 10), None);
    assert_eq!(open(&mut clients, 2, 20), None);
    // An iteration has parsed the first's incomplete request; the second's request is not parsed yet.
    clients.receive(1, b"POST /a", at(30));
    clients.take_unread();
    clients.receive(2, READY_REQUEST, at(30));
    assert_eq!(open(&mut clients, 3, 30), Some(3), "a part of a request was read from the others");
}

#[test]
fn client_with_part_of_request_ends_after_all_that_have_rested_and_is_answered() {
    let mut clients = ClientConnections::new(3, MEMORY_BYTES, 0);
    for id in 1..=3 {
        assert_eq!(open(&mut clients, id, 0), None);
        clients.receive(id, b"POST /a", at(0));
    }
    clients.answered(3, 0);
    assert_eq!(open(&mut clients, 4, 10), Some(4), "shut unread");
    assert_eq!(open(&mut clients, 5, EVICTABLE_IDLE_TIME), Some(3), "rested");
    clients.receive(5, b"POST /a", at(EVICTABLE_IDLE_TIME));
    clients.opened(6, EVICTABLE_IDLE_TIME);
    assert_eq!(clients.evict(EVICTABLE_IDLE_TIME), Some(Eviction::Refuse(1)), "stalled for longest");
    clients.closed(1);
    clients.opened(7, EVICTABLE_IDLE_TIME);
    clients.receive(6, b"POST /a", at(EVICTABLE_IDLE_TIME));
    clients.receive(7, b"POST /a", at(EVICTABLE_IDLE_TIME));
    assert_eq!(clients.evict(EVICTABLE_IDLE_TIME), Some(Eviction::Refuse(2)), "stalled");
    clients.closed(2);
    clients.opened(8, EVICTABLE_IDLE_TIME + 1);
    clients.receive(8, b"POST /a", at(EVICTABLE_IDLE_TIME + 1));
    assert_eq!(clients.evict(EVICTABLE_IDLE_TIME + 1), Some(Eviction::Refuse(5)), "all are partial");
}

#[test]
fn client_idle_or_with_incomplete_request_expires() {
    let mut clients = ClientConnections::new(9, MEMORY_BYTES, 0);
    (1..=4).for_each(|id| assert_eq!(open(&mut clients, id, 0), None));
    clients.receive(2, b"POST /a", at(REQUEST_TIMEOUT - 1));
    clients.receive(3, READY_REQUEST, at(0));
    clients.mark_awaiting_answer(3);
    clients.receive(4, READY_REQUEST, at(0));
    clients.answered(4, 0);
    assert_eq!(clients.expired(REQUEST_TIMEOUT, IdlePolicy::Keep), [Idle(1), InRequest(2)]);
    assert_eq!(clients.expired(IDLE_TIMEOUT, IdlePolicy::Keep), [Idle(1), InRequest(2), Idle(4)]);
    assert_eq!(clients.expired(0, IdlePolicy::Close), [Idle(4)], "the first may still send a request");
    let idle = [Idle(1), Idle(4)];
    assert_eq!(
        clients.expired(FIRST_REQUEST_GRACE, IdlePolicy::Close),
        idle,
        "all idle connections during the shutdown"
    );
}

#[test]
fn client_with_largest_partial_request_is_refused_over_the_memory_and_those_with_whole_ones_never() {
    let mut clients = ClientConnections::new(9, MEMORY_BYTES, 0);
    (1..=4).for_each(|id| clients.opened(id, 0));
    let whole = [&b"POST /a HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"[..], &[b'x'; 60_000]].concat();
    clients.receive(1, &whole, at(0));
    clients.receive(2, b"POST /a", at(0));
    clients.receive(3, &whole[..20_000], at(5));
    assert_eq!(clients.over_memory(), None);
    clients.receive(4, &whole[..40_000], at(0));
    assert_eq!(clients.over_memory(), Some(4));
    clients.closed(4);
    assert_eq!(clients.over_memory(), None);
    clients.mark_awaiting_answer(1);
    assert!(clients.request_bytes() < 40_000, "the body is kept elsewhere");
    clients.answered(1, 10);
    clients.closed(2);
    clients.closed(3);
    assert_eq!(clients.request_bytes(), 0);
}

#[test]
fn connection_answered_just_now_ends_after_one_with_a_part_of_a_request() {
    let mut clients = ClientConnections::new(1, MEMORY_BYTES, 0);
    clients.opened(1, 0);
    clients.receive(1, READY_REQUEST, at(0));
    clients.answered(1, 0);
    clients.opened(2, 0);
    clients.receive(2, b"POST /a", at(0));
    assert_eq!(clients.evict(10), Some(Eviction::Refuse(2)));
}

#[test]
fn connections_are_parsed_in_order_of_their_first_unparsed_bytes() {
    let mut clients = ClientConnections::new(4, MEMORY_BYTES, 0);
    for id in 1..=4 {
        assert_eq!(open(&mut clients, id, 0), None);
    }
    for id in [3, 1, 4, 2, 3] {
        clients.receive(id, b"POST /a", at(10));
    }
    clients.closed(4);
    assert_eq!(clients.take_unread(), Some(3));
    clients.receive(3, b"POST /a", at(20));
    let rest: Vec<_> = std::iter::from_fn(|| clients.take_unread()).collect();
    assert_eq!(rest, [1, 2, 3]);
    assert!(!clients.has_unread());
}

/// Guards against a client that goes on submitting losing its connection to a crowd that asks once: the newest of those
/// answered just now was closed, while the requests of others were complete and could not be.
#[test]
fn connection_answered_longest_ago_ends_first_of_those_answered_just_now() {
    let mut clients = ClientConnections::new(3, MEMORY_BYTES, 0);
    for (id, answered_at) in [(1, 30), (2, 10), (3, 20)] {
        assert_eq!(open(&mut clients, id, 0), None);
        clients.receive(id, READY_REQUEST, at(0));
        clients.answered(id, answered_at);
    }
    for (id, ended) in [(4, 2), (5, 3), (6, 1)] {
        clients.opened(id, 40);
        clients.receive(id, READY_REQUEST, at(40));
        let state = EvictedState::Answered;
        let idle_for = [10, 30, 20][ended as usize - 1];
        let evicted = EvictedClient { client: ended, state, idle_for, connections: 4 };
        assert_eq!(clients.evict(40), Some(Eviction::Close(evicted)));
    }
    clients.opened(7, 40);
    clients.receive(7, READY_REQUEST, at(40));
    assert_eq!(clients.evict(40), None, "all have a complete request");
}
