//! Which connections of clients stay.

use super::OverdueClient::{Idle, InRequest};
use super::*;

const ASK: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";

#[test]
fn client_beyond_capacity_evicts_longest_silent_never_one_that_asks() {
    let mut clients = ClientConnections::new(3, 0);
    for (id, at) in [(1, 10), (2, 20), (3, 30)] {
        assert_eq!(clients.opened(id, at), None);
    }
    // The first asks, the second had its answer, the third never said a word.
    clients.receive(1, ASK, 40);
    clients.awaits_answer(1);
    clients.receive(2, ASK, 40);
    clients.answered(2, 50);
    assert_eq!(clients.opened(4, 60), Some(3), "silent from the start, though it came after the second");
    clients.receive(4, ASK, 70);
    clients.awaits_answer(4);
    assert_eq!(clients.opened(5, 80), Some(5), "an idle one that was known just now stays");
    assert_eq!(clients.opened(6, 50 + EVICTABLE_IDLE_TIME), Some(2), "after a while it may go");
    clients.receive(6, ASK, 60 + EVICTABLE_IDLE_TIME);
    clients.awaits_answer(6);
    assert_eq!(clients.opened(7, 100 * EVICTABLE_IDLE_TIME), Some(7), "none that asks");
    assert_eq!(clients.len(), 3);
}

#[test]
fn client_beyond_capacity_never_evicts_one_with_unread_request() {
    let mut clients = ClientConnections::new(2, 0);
    assert_eq!(clients.opened(1, 10), None);
    assert_eq!(clients.opened(2, 20), None);
    // What the first sent was looked at in an iteration and is no request yet; the second's awaits the next one.
    clients.receive(1, b"POST /a", 30);
    clients.take_unread();
    clients.receive(2, ASK, 30);
    assert_eq!(clients.opened(3, 30), Some(1), "the one that is not known to ask anything");
    clients.receive(3, ASK, 30);
    assert_eq!(clients.opened(4, 30), Some(4), "both others wait for this iteration");
}

#[test]
fn client_silent_or_with_incomplete_request_overdue() {
    let mut clients = ClientConnections::new(9, 0);
    (1..=4).for_each(|id| assert_eq!(clients.opened(id, 0), None));
    clients.receive(2, b"POST /a", REQUEST_TIMEOUT - 1);
    clients.receive(3, ASK, 0);
    clients.awaits_answer(3);
    clients.receive(4, ASK, 0);
    clients.answered(4, 0);
    assert_eq!(clients.overdue(REQUEST_TIMEOUT, IdlePolicy::Keep), [Idle(1), InRequest(2)]);
    assert_eq!(clients.overdue(IDLE_TIMEOUT, IdlePolicy::Keep), [Idle(1), InRequest(2), Idle(4)]);
    assert_eq!(clients.overdue(0, IdlePolicy::Close), [Idle(4)], "the first may be about to ask");
    let idle = [Idle(1), Idle(4)];
    assert_eq!(
        clients.overdue(FIRST_REQUEST_GRACE, IdlePolicy::Close),
        idle,
        "all idle ones, when the program ends"
    );
}
