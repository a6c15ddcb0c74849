//! Updates of the endpoint list, and polls for it.

use crate::support::*;
use linnetcart::*;

#[test]
fn draining_endpoint_after_update_gets_no_sends() {
    let mut dispatcher = dispatcher_with(settings());
    let mut events = vec![endpoint_update(endpoint(10, SHARED_LIMIT, 0, EndpointStatus::Draining))];
    events.extend((0..6).map(|id| accepted(id, SHARED_LIMIT, IDEMPOTENT)));
    let sent = sends_after(&mut dispatcher, SECOND, events);
    assert!(!sent.is_empty());
    assert!(sent.iter().all(|sent| sent.endpoint == 11));
}

#[test]
fn endpoint_list_after_failure_is_polled_again() {
    let polls = |actions: Vec<Action>| actions.contains(&Action::WatchEndpoints);
    let mut dispatcher = Dispatcher::new(Settings { endpoint_list_polled: true, ..settings() }, 1);
    assert!(polls(dispatcher.decide(SECOND, vec![endpoint_list()])));
    assert!(!polls(dispatcher.decide(2 * SECOND, vec![Event::EndpointListFailed])));
    assert!(polls(dispatcher.decide(4 * SECOND, vec![Event::WokenUp])));
    dispatcher.decide(5 * SECOND, vec![endpoint_list()]);
    assert!(!polls(dispatcher.decide(30 * SECOND, vec![Event::WokenUp])));
}

#[test]
fn retry_after_of_route_removed_and_listed_again_is_respected() {
    let mut dispatcher = Dispatcher::new(settings(), 1);
    let route = |id, status| endpoint_update(endpoint(id, INDEPENDENT_ROUTES, 1, status));
    dispatcher.decide(SECOND, vec![endpoint_list(), route(21, EndpointStatus::Removed)]);
    let sent = sends_after(&mut dispatcher, SECOND, vec![accepted(1, INDEPENDENT_ROUTES, IDEMPOTENT)]);
    assert_eq!(sent, [Sent { message: 1, endpoint: 20 }]);
    dispatcher.decide(SECOND + MILLISECOND, vec![route(20, EndpointStatus::Removed)]);
    let rejected = finished(1, 0, 20, AttemptOutcome::Rejected { retry_after: 2 * SECOND });
    dispatcher.decide(SECOND + 10 * MILLISECOND, vec![rejected]);
    // An update of another entry must not drop the Retry-After.
    let other = endpoint_update(endpoint(10, SHARED_LIMIT, 0, EndpointStatus::Draining));
    dispatcher.decide(SECOND + 20 * MILLISECOND, vec![other]);
    let back = vec![route(20, EndpointStatus::Ready)];
    assert!(sends_after(&mut dispatcher, SECOND + 30 * MILLISECOND, back).is_empty(), "at once");
    for elapsed in (40..2010).step_by(10) {
        let sent = sends_on_wake_up(&mut dispatcher, SECOND + elapsed * MILLISECOND);
        assert!(sent.is_empty(), "{elapsed} ms");
    }
    let mut sent_later = 0;
    for step in 21..300 {
        let now = SECOND + step * 100 * MILLISECOND;
        let more = vec![accepted(step as u32, INDEPENDENT_ROUTES, IDEMPOTENT)];
        sent_later += sends_after(&mut dispatcher, now, more).len();
    }
    assert!(sent_later > 0, "it is sent after the Retry-After");
}
