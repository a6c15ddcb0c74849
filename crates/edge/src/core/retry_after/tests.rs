//! Which endpoints a Retry-After blocks, and until when.

use super::*;

fn limited(endpoint: u32, limit: LimitKey) -> EndpointLimit {
    EndpointLimit { endpoint, limit }
}

#[test]
fn retry_after_of_shared_limit_blocks_all_its_endpoints_until_latest_time() {
    let mut table = RetryAfterTable::default();
    let shared = LimitKey::Destination(1);
    let limits = [limited(10, shared), limited(11, shared), limited(20, LimitKey::Route(20))];
    table.set_limits(limits.into_iter(), |_| false);
    table.record(10, 100, 1000);
    table.record(11, 50, 1000);
    assert!(table.is_blocked(10, 1099) && table.is_blocked(11, 1099));
    assert!(!table.is_blocked(10, 1100) && !table.is_blocked(20, 1000));
    table.expire(1100);
    assert!(table.blocked_until.is_empty());
}

#[test]
fn limit_of_endpoint_outside_list_stays_while_connected() {
    let mut table = RetryAfterTable::default();
    let shared = LimitKey::Destination(1);
    let limits = [limited(10, shared), limited(11, shared)];
    table.set_limits(limits.into_iter(), |_| false);
    table.set_limits(std::iter::empty(), |endpoint| endpoint == 10);
    table.record(11, 100, 1000);
    assert!(!table.is_blocked(10, 1000), "the limit of an unknown endpoint is not known");
    table.record(10, 100, 1000);
    assert!(table.is_blocked(10, 1000));
}
