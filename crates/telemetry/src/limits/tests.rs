use super::*;

const DESTINATION: u32 = 1;
const ROUTED_DESTINATION: u32 = 2;

/// A destination with two endpoints that share its limit, and one with an independent route.
fn table() -> LimitTable {
    let mut table = LimitTable::default();
    let entry = |destination, endpoint, independent_route| ListedEndpoint {
        endpoint,
        destination,
        independent_route,
    };
    let endpoints =
        [entry(DESTINATION, 10, false), entry(DESTINATION, 11, false), entry(ROUTED_DESTINATION, 20, true)];
    table.set_endpoints(endpoints.into_iter());
    table
}

fn destination_changed(state: LimitState) -> Option<StateChange> {
    Some(StateChange { owner: LimitOwner::Destination, state })
}

fn gauge(points: &[Point], metric: &str) -> Option<f64> {
    points.iter().find(|point| point.metric == metric).map(|point| point.value.as_f64())
}

#[test]
fn silent_endpoint_ejects_destination_only_when_all_are_silent() {
    let mut table = table();
    assert_eq!(table.change_state(DESTINATION, 10, LimitState::Silent), None);
    assert_eq!(table.change_state(DESTINATION, 10, LimitState::Silent), None, "the same endpoint again");
    let second = table.change_state(DESTINATION, 11, LimitState::Silent);
    assert_eq!(second, destination_changed(LimitState::Ejected));
    let healthy = table.change_state(DESTINATION, 11, LimitState::Healthy);
    assert_eq!(healthy, destination_changed(LimitState::Healthy));
    assert_eq!(
        table.change_state(DESTINATION, 11, LimitState::Silent),
        None,
        "endpoint 10 is no longer silent"
    );
}

#[test]
fn silent_endpoint_that_serves_no_longer_counts_as_silent() {
    let mut table = table();
    assert_eq!(table.change_state(DESTINATION, 10, LimitState::Silent), None);
    table.of_attempt(DESTINATION, 10).for_each(|limit| limit.attempt_served(10, 0));
    assert_eq!(table.change_state(DESTINATION, 11, LimitState::Silent), None);
}

#[test]
fn silent_route_is_ejected_at_once() {
    let change = table().change_state(ROUTED_DESTINATION, 20, LimitState::Silent);
    assert_eq!(change, Some(StateChange { owner: LimitOwner::Route(20), state: LimitState::Ejected }));
}

#[test]
fn state_unchanged_or_unlisted_is_no_change() {
    let mut table = table();
    assert_eq!(table.change_state(DESTINATION, 10, LimitState::Healthy), None, "healthy from the start");
    assert_eq!(table.change_state(9, 90, LimitState::Ejected), None, "not listed");
}

#[test]
fn endpoint_removed_from_list_has_no_state_and_begins_anew() {
    let mut table = table();
    table.change_state(DESTINATION, 10, LimitState::Ejected);
    table.set_endpoints(std::iter::empty());
    assert_eq!(table.destinations().count() + table.routes().count(), 0);
    assert_eq!(table.of_attempt(DESTINATION, 10).count(), 0);
}

#[test]
fn attempt_over_route_counts_for_route_and_destination() {
    let mut table = table();
    assert_eq!(table.of_attempt(ROUTED_DESTINATION, 20).count(), 2);
    assert_eq!(table.of_attempt(DESTINATION, 10).count(), 1);
}

#[test]
fn limit_not_reported_is_inferred_from_intervals_with_rejections() {
    let mut limit = ObservedLimit::default();
    let subject = SeriesSubject::Courier;
    let mut interval = |served: u64, rejected: u64| {
        (0..served).for_each(|_| limit.attempt_served(10, 0));
        (0..rejected).for_each(|_| limit.attempt_rejected());
        let mut points = Vec::new();
        limit.take_points(&subject, 10.0, &mut points);
        gauge(&points, "limit_inferred")
    };
    assert_eq!(interval(100, 0), None, "nothing was rejected");
    assert_eq!(interval(100, 1), Some(10.0));
    assert_eq!(interval(200, 1), Some(15.0), "smoothed by half");
    assert_eq!(interval(400, 0), Some(15.0), "unchanged while nothing is rejected");
}

#[test]
fn limit_reported_is_shown_with_its_shares() {
    let mut limit = ObservedLimit::default();
    (0..50).for_each(|_| limit.attempt_started());
    limit.attempt_rejected();
    limit.load_reported(LoadReport { capacity_left: 0.25, rate_limit: 20.0 });
    let mut points = Vec::new();
    limit.take_points(&SeriesSubject::Courier, 10.0, &mut points);
    let metrics: Vec<&str> = points.iter().map(|point| point.metric).collect();
    let wanted =
        ["state", "attempts_per_s", "limit_told", "limit_own_share", "limit_left_share", "limit_used_share"];
    assert_eq!(metrics, wanted);
    let values: Vec<f64> = points.iter().map(|point| point.value.as_f64()).collect();
    assert_eq!(values, [2.0, 5.0, 20.0, 0.25, 0.25, 0.75]);
}
