//! Which endpoints a Retry-After blocks, and for how long.

use super::*;

#[test]
fn retry_after_of_a_shared_limit_blocks_all_its_endpoints_until_the_latest_time() {
    let mut table = RetryAfterTable::default();
    let shared = LimitKey::Destination(1);
    table.set_limits([(10, shared), (11, shared), (20, LimitKey::Route(20))].into_iter(), |_| false);
    table.record(10, 100, 1000);
    table.record(11, 50, 1000);
    assert!(table.is_blocked(10, 1099) && table.is_blocked(11, 1099));
    assert!(!table.is_blocked(10, 1100) && !table.is_blocked(20, 1000));
    table.expire(1100);
    assert!(table.blocked_until.is_empty());
}

#[test]
fn endpoint_outside_the_list_keeps_its_limit_while_it_is_connected() {
    let mut table = RetryAfterTable::default();
    let limits = [(10, LimitKey::Destination(1)), (11, LimitKey::Destination(1))];
    table.set_limits(limits.into_iter(), |_| false);
    table.set_limits(std::iter::empty(), |endpoint| endpoint == 10);
    table.record(11, 100, 1000);
    assert!(!table.is_blocked(10, 1000), "the limit of an unknown endpoint is not known");
    table.record(10, 100, 1000);
    assert!(table.is_blocked(10, 1000));
}
