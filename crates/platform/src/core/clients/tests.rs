//! Which connections of clients stay.

use super::*;

const ASK: &[u8] = b"GET /ready HTTP/1.1\r\n\r\n";

#[test]
fn one_too_many_drives_out_the_longest_silent_and_never_one_that_asks() {
    let mut c = Clients::new(3);
    for (id, at) in [(1, 10), (2, 20), (3, 30)] {
        assert_eq!(c.opened(id, at), None);
    }
    // The first asks, the second had its answer, the third never said a word.
    c.bytes(1, ASK, 40);
    c.asks(1);
    c.bytes(2, ASK, 40);
    c.answered(2, 50);
    assert_eq!(c.opened(4, 60), Some(3), "silent from the start, though it came after the second");
    c.bytes(4, ASK, 70);
    c.asks(4);
    assert_eq!(c.opened(5, 80), Some(5), "an idle one that was known just now stays");
    assert_eq!(c.opened(6, 50 + SPARE_AFTER), Some(2), "after a while it may go");
    c.bytes(6, ASK, 60 + SPARE_AFTER);
    c.asks(6);
    assert_eq!(c.opened(7, 100 * SPARE_AFTER), Some(7), "none that asks");
    assert_eq!(c.len(), 3);
}

#[test]
fn one_too_many_never_drives_out_one_whose_request_awaits_the_turn() {
    let mut c = Clients::new(2);
    assert_eq!(c.opened(1, 10), None);
    assert_eq!(c.opened(2, 20), None);
    // What the first sent was looked at in a turn and is no request yet; the second's awaits the next turn.
    c.bytes(1, b"POST /a", 30);
    c.fresh();
    c.bytes(2, ASK, 30);
    assert_eq!(c.opened(3, 30), Some(1), "the one that is not known to ask anything");
    c.bytes(3, ASK, 30);
    assert_eq!(c.opened(4, 30), Some(4), "both others wait for this turn");
}

#[test]
fn silence_and_heads_that_never_end_are_overdue_and_requests_are_not() {
    let mut c = Clients::new(9);
    (1..=4).for_each(|id| assert_eq!(c.opened(id, 0), None));
    c.bytes(2, b"POST /a", REQUEST_WITHIN - 1);
    c.bytes(3, ASK, 0);
    c.asks(3);
    c.bytes(4, ASK, 0);
    c.answered(4, 0);
    assert_eq!(c.overdue(REQUEST_WITHIN, false), [(1, false), (2, true)]);
    assert_eq!(c.overdue(IDLE, false), [(1, false), (2, true), (4, false)]);
    assert_eq!(c.overdue(0, true), [(4, false)], "the first may be about to ask");
    let idle = [(1, false), (4, false)];
    assert_eq!(c.overdue(FIRST_WITHIN, true), idle, "all idle ones, when the program ends");
}
