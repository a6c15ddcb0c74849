//! Unreadable entries, removed endpoints, and zones that the settings do not name.

use super::*;
use crate::core::discovery::EventLimits;
use linnetcart_courier_common::memory_budget::MemoryBudget;

const NOW: Time = 100_000_000_000;

fn entry(name: &str, address: &str, status: ListedStatus) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        address: address.into(),
        zone: String::new(),
        kind: String::new(),
        destination: 3,
        status,
        rate: 0.0,
        started_at_ms: 0,
    }
}

fn event(version: u64, complete: bool, entries: Vec<EndpointEntry>) -> WatchEvent {
    WatchEvent { version, complete, entries }
}

fn list_with(name: &str) -> EndpointList {
    let mut endpoints = EndpointList::new(usize::MAX);
    let first = event(7, true, vec![entry(name, "127.0.0.1:1", ListedStatus::Active)]);
    endpoints.apply(&first, &DeploymentSettings::default(), NOW);
    endpoints
}

#[test]
fn endpoint_entry_unreadable_requests_complete_list_until_received() {
    let settings = DeploymentSettings::default();
    let mut endpoints = list_with("a");
    assert_eq!(endpoints.resume_version(), 7);
    endpoints.apply(&event(8, false, vec![entry("b", "nowhere", ListedStatus::Active)]), &settings, NOW);
    endpoints.apply(&event(9, false, vec![]), &settings, NOW);
    assert_eq!(endpoints.resume_version(), 0);
    endpoints.apply(&event(10, true, vec![]), &settings, NOW);
    assert_eq!(endpoints.resume_version(), 10);
}

#[test]
fn endpoint_missing_from_complete_list_removed_and_number_retained() {
    let settings = DeploymentSettings::default();
    let mut endpoints = list_with("a");
    let update = endpoints.apply(&event(8, true, vec![]), &settings, NOW);
    assert_eq!(update.stale, [1]);
    assert!(endpoints.get(1).is_some() && endpoints.ready(1).is_none());
    endpoints.apply(&event(9, false, vec![]), &settings, NOW + REMOVED_RETENTION - 1);
    assert_eq!(endpoints.len(), 1);
    endpoints.apply(&event(10, false, vec![]), &settings, NOW + REMOVED_RETENTION);
    assert_eq!(endpoints.len(), 0);
    assert!(endpoints.has_destination(3), "it once had an endpoint");
}

#[test]
fn endpoint_moved_or_restarted_makes_its_connections_stale() {
    let settings = DeploymentSettings::default();
    let mut endpoints = list_with("a");
    let same = entry("a", "127.0.0.1:1", ListedStatus::Active);
    let moved = entry("a", "127.0.0.1:2", ListedStatus::Active);
    let restarted = EndpointEntry { started_at_ms: 5, ..moved.clone() };
    for (entry, stale) in [(same, vec![]), (moved, vec![1]), (restarted, vec![1])] {
        assert_eq!(endpoints.apply(&event(8, false, vec![entry]), &settings, NOW).stale, stale);
    }
}

#[test]
fn endpoint_unknown_and_removed_ignored() {
    let mut endpoints = list_with("a");
    let removed = entry("b", "127.0.0.1:2", ListedStatus::Left);
    endpoints.apply(&event(8, false, vec![removed]), &DeploymentSettings::default(), NOW);
    assert_eq!(endpoints.len(), 1);
}

#[test]
fn zone_unknown_to_settings_gets_index_after_theirs() {
    let settings = DeploymentSettings { zone_names: vec!["z".into()], ..DeploymentSettings::default() };
    let mut endpoints = EndpointList::new(usize::MAX);
    for (name, index) in [("z", 0), ("x", 1), ("y", 2), ("x", 1)] {
        assert_eq!(endpoints.zone_index(name, &settings), index);
    }
    for n in 3..300 {
        endpoints.zone_index(&format!("n{n}"), &settings);
    }
    assert_eq!(endpoints.zone_index("one too many", &settings), UNKNOWN_INDEX);
}

fn at_shared_address(name: &str) -> EndpointEntry {
    entry(name, "127.0.0.1:1", ListedStatus::Active)
}

/// Whether the endpoints 1 and 2 are ready.
fn ready_ones(endpoints: &EndpointList) -> (bool, bool) {
    (endpoints.ready(1).is_some(), endpoints.ready(2).is_some())
}

#[test]
fn address_belongs_to_name_that_was_listed_with_it_last() {
    let settings = DeploymentSettings::default();
    let mut endpoints = list_with("old");
    let update = endpoints.apply(&event(8, false, vec![at_shared_address("new")]), &settings, NOW);
    assert_eq!(update.stale, [1]);
    assert_eq!(ready_ones(&endpoints), (false, true));
    // Unchanged entries give the address to nobody else, however often and however late they come.
    for later in [NOW, NOW + 2 * REMOVED_RETENTION, NOW + 4 * REMOVED_RETENTION] {
        let both = vec![at_shared_address("new"), at_shared_address("old")];
        endpoints.apply(&event(9, false, vec![]), &settings, later);
        endpoints.apply(&event(9, true, both), &settings, later);
        assert_eq!(ready_ones(&endpoints), (false, true));
    }
    let left = entry("old", "127.0.0.1:1", ListedStatus::Left);
    endpoints.apply(&event(10, false, vec![left]), &settings, NOW);
    assert_eq!(ready_ones(&endpoints), (false, true));
}

#[test]
fn restarted_endpoint_takes_its_address_back() {
    let settings = DeploymentSettings::default();
    let mut endpoints = list_with("old");
    endpoints.apply(&event(8, false, vec![at_shared_address("new")]), &settings, NOW);
    let restarted = EndpointEntry { started_at_ms: 5, ..at_shared_address("old") };
    endpoints.apply(&event(9, false, vec![restarted]), &settings, NOW);
    assert_eq!(ready_ones(&endpoints), (true, false));
}

#[test]
fn endpoint_is_back_once_complete_list_names_it_alone() {
    let settings = DeploymentSettings::default();
    let mut endpoints = list_with("old");
    endpoints.apply(&event(8, false, vec![at_shared_address("new")]), &settings, NOW);
    endpoints.apply(&event(9, true, vec![at_shared_address("old")]), &settings, NOW);
    assert_eq!(ready_ones(&endpoints), (true, false));
}

#[test]
fn of_two_names_in_one_event_the_one_that_started_later_has_the_address() {
    let settings = DeploymentSettings::default();
    let started = EndpointEntry { started_at_ms: 5, ..at_shared_address("started") };
    for entries in [vec![started.clone(), at_shared_address("b")], vec![at_shared_address("b"), started]] {
        let mut endpoints = EndpointList::new(usize::MAX);
        endpoints.apply(&event(1, true, entries), &settings, NOW);
        let ready = (1..=2).filter_map(|number| endpoints.ready(number));
        assert_eq!(ready.map(|endpoint| &endpoint.name[..]).collect::<Vec<_>>(), ["started"]);
    }
}

#[test]
fn list_is_bounded_by_memory_and_removed_endpoints_make_room() {
    let settings = DeploymentSettings::default();
    let mut endpoints = EndpointList::new(2 * held_size("a"));
    let at = |name: &str, port: u16, status| entry(name, &format!("127.0.0.1:{port}"), status);
    let active = ListedStatus::Active;
    let three = vec![at("a", 1, active), at("b", 2, active), at("c", 3, active)];
    endpoints.apply(&event(1, true, three), &settings, NOW);
    assert_eq!(endpoints.len(), 2);
    endpoints.apply(&event(2, false, vec![at("a", 1, ListedStatus::Left)]), &settings, NOW);
    endpoints.apply(&event(3, false, vec![at("c", 3, active)]), &settings, NOW);
    assert_eq!(ready_ones(&endpoints), (false, true));
    assert!(endpoints.ready(3).is_some());
}

/// Guards against a list that is full of endpoints which successors replaced and events never listed as left.
#[test]
fn succeeded_endpoints_that_are_never_listed_as_left_make_room() {
    let settings = DeploymentSettings::default();
    let mut endpoints = EndpointList::new(3 * held_size("0"));
    for number in 0..9u64 {
        let successor = at_shared_address(&number.to_string());
        endpoints.apply(&event(number + 1, false, vec![successor]), &settings, NOW);
        assert!(endpoints.ready(number as u32 + 1).is_some(), "{number}");
        assert!(endpoints.len() <= 3);
    }
}

/// Guards against an endpoint that left and comes back losing its address to one that had it in between.
#[test]
fn endpoint_listed_again_after_it_left_takes_its_address_back() {
    let settings = DeploymentSettings::default();
    let mut endpoints = list_with("old");
    let left = entry("old", "127.0.0.1:1", ListedStatus::Left);
    endpoints.apply(&event(8, false, vec![left]), &settings, NOW);
    endpoints.apply(&event(9, false, vec![at_shared_address("new")]), &settings, NOW);
    assert_eq!(ready_ones(&endpoints), (false, true));
    let update = endpoints.apply(&event(10, false, vec![at_shared_address("old")]), &settings, NOW);
    assert_eq!(update.stale, [2]);
    assert_eq!(ready_ones(&endpoints), (true, false));
}

/// The largest list and the least memory that the platform's pages name.
#[test]
fn list_of_3200_endpoints_fits_into_the_least_memory() {
    let memory = MemoryBudget::new(32_000_000, 1024);
    let active = ListedStatus::Active;
    let entries: Vec<EndpointEntry> = (0..3200u32)
        .map(|n| entry(&format!("s-{n:08x}"), &format!("127.0.{}.{}:8443", n / 256, n % 256), active))
        .collect();
    let mut endpoints = EndpointList::new(memory.endpoints);
    endpoints.apply(&event(1, true, entries), &DeploymentSettings::default(), NOW);
    assert_eq!(endpoints.len(), 3200);
    let limits = EventLimits::within(memory.endpoint_update);
    assert!(limits.entries > 3200 && limits.bytes > 3200 * 250, "{limits:?}");
}
