//! The endpoint list: maps the names by which discovery identifies endpoints to the numbers by which the
//! decision library does, and holds each endpoint's address, zone and status.

mod address_owners;

use crate::config::{EndpointEntry, ListedStatus, WatchEvent};
use crate::core::clock::MILLISECOND;
use crate::records::UNKNOWN_INDEX;
use address_owners::{AddressClaim, AddressOwners, ClaimResult};
use linnetcart::{Endpoint, EndpointStatus, Event, Time};
use linnetcart_courier_common::memory_budget::MemoryAccount;
use linnetcart_deployment_settings::DeploymentSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How long a removed endpoint keeps its number. If its name is listed again within this time, a Retry-After
/// that was received under the number is still in force.
const REMOVED_RETENTION: Time = 60_000 * MILLISECOND;

/// Memory of an endpoint apart from its name, in the list and in the decision library.
const ENDPOINT_BYTES: usize = 600;
/// Number of destinations without an endpoint that are remembered at least.
const MAX_PAST_DESTINATIONS: usize = 16_384;

/// An endpoint of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Index of the endpoint's zone; [`UNKNOWN_INDEX`] if no index was left for it.
    pub zone: u8,
    /// The endpoint's status.
    pub status: EndpointStatus,
    /// When the list gave the address to the endpoint.
    claim: AddressClaim,
    /// Whether the address was given to another endpoint later. The endpoint is gone then, although the list has not
    /// said so.
    is_superseded: bool,
    name: String,
    destination: u32,
    kind: u8,
    started_at_ms: u64,
    /// When the endpoint's entry was last applied or the endpoint was removed; monotonic time.
    changed_at: Time,
}

impl ListedEndpoint {
    /// Returns this endpoint in the form of the decision library's events. `rate` is the rate limit in the
    /// endpoint's entry, in calls per second.
    fn event_entry(&self, number: u32, rate: f64) -> Endpoint {
        Endpoint {
            id: number,
            destination: self.destination,
            kind: self.kind,
            zone: self.zone,
            rate,
            status: self.status,
        }
    }

    fn remove(&mut self, now: Time) {
        self.status = EndpointStatus::Removed;
        self.is_superseded = false;
        self.changed_at = now;
    }

    /// Records that the endpoint's address was given to another one.
    fn supersede(&mut self, now: Time) {
        self.remove(now);
        self.is_superseded = true;
    }

    /// Whether an entry lists the same process again. One that had left and is listed again was given its address anew.
    fn is_listed_again(&self, entry: &EndpointEntry, address: SocketAddr) -> bool {
        let has_left = self.status == EndpointStatus::Removed && !self.is_superseded;
        !has_left && self.address == address && self.started_at_ms == entry.started_at_ms
    }

    /// Whether connections that were established to the `previous` listing of this endpoint must be closed,
    /// because the endpoint was removed, moved or restarted.
    fn makes_connections_stale(&self, previous: &ListedEndpoint) -> bool {
        let was_moved = previous.address != self.address;
        let was_restarted = previous.started_at_ms != self.started_at_ms;
        self.status == EndpointStatus::Removed || was_moved || was_restarted
    }
}

/// The result of applying an event of the watch.
#[derive(Debug)]
pub struct ListUpdate {
    /// The event for the decision library.
    pub event: Event,
    /// Numbers of the endpoints whose idle connections must be closed: removed, moved or restarted ones.
    pub stale: Vec<u32>,
}

/// The changes collected while an event is applied.
#[derive(Debug, Default)]
struct Changes {
    entries: Vec<Endpoint>,
    stale: Vec<u32>,
}

/// The endpoint list.
#[derive(Debug)]
pub struct EndpointList {
    /// Version of the list after the last event; 0 before any event.
    version: u64,
    /// Numbers of the endpoints, by name.
    numbers: BTreeMap<String, u32>,
    endpoints: BTreeMap<u32, ListedEndpoint>,
    last_number: u32,
    addresses: AddressOwners,
    /// Number of events that were applied.
    event_count: u64,
    /// Destinations for which any endpoint was ever listed.
    destinations: BTreeSet<u32>,
    /// Zones that the settings do not contain. Their indexes follow those of the settings, so that no two
    /// zones share an index below [`UNKNOWN_INDEX`].
    extra_zones: Vec<String>,
    /// Whether the complete list has to be requested: since the last one, an entry could not be read or an
    /// event was outdated.
    needs_complete_list: bool,
    /// Estimate of the memory that the endpoints take: sum of [`held_size`].
    memory: MemoryAccount,
}

impl EndpointList {
    /// Creates an empty list, whose endpoints may take `memory_bytes`.
    pub fn new(memory_bytes: usize) -> EndpointList {
        EndpointList {
            version: 0,
            numbers: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            last_number: 0,
            addresses: AddressOwners::default(),
            event_count: 0,
            destinations: BTreeSet::new(),
            extra_zones: vec![],
            needs_complete_list: false,
            memory: MemoryAccount::new(memory_bytes),
        }
    }

    /// Returns the version after which the next watch requests changes; 0 requests the complete list.
    pub fn resume_version(&self) -> u64 {
        if self.needs_complete_list {
            0
        } else {
            self.version
        }
    }

    /// Returns the version after the last event; 0 before any event.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Requests the complete list with the next watch.
    pub fn require_complete_list(&mut self) {
        self.needs_complete_list = true;
    }

    /// Returns the endpoint with this number, or `None` if no endpoint has it.
    pub fn get(&self, number: u32) -> Option<&ListedEndpoint> {
        self.endpoints.get(&number)
    }

    /// Returns the endpoint with a number if its status is [`EndpointStatus::Ready`].
    pub fn ready(&self, number: u32) -> Option<&ListedEndpoint> {
        self.get(number).filter(|endpoint| endpoint.status == EndpointStatus::Ready)
    }

    /// Returns the number of endpoints, including removed ones whose numbers are retained.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether any endpoint was ever listed for a destination.
    pub fn has_destination(&self, destination: u32) -> bool {
        self.destinations.contains(&destination)
    }

    /// Applies an event of the watch.
    pub fn apply(&mut self, event: &WatchEvent, settings: &DeploymentSettings, now: Time) -> ListUpdate {
        self.version = event.version;
        self.event_count += 1;
        let mut changes = Changes::default();
        if event.complete {
            self.needs_complete_list = false;
            self.remove_unlisted(event, now, &mut changes);
        }
        for (position, entry) in event.entries.iter().enumerate() {
            self.apply_entry(entry, position, settings, now, &mut changes);
        }
        self.forget_expired(now);
        let event = Event::EndpointList { complete: event.complete, entries: changes.entries };
        ListUpdate { event, stale: changes.stale }
    }

    /// Marks the endpoints that are missing from a complete list as removed.
    fn remove_unlisted(&mut self, event: &WatchEvent, now: Time, changes: &mut Changes) {
        let names: BTreeSet<&str> = event.entries.iter().map(|entry| &entry.name[..]).collect();
        for (&number, endpoint) in &mut self.endpoints {
            let is_listed = endpoint.status != EndpointStatus::Removed || endpoint.is_superseded;
            if is_listed && !names.contains(&endpoint.name[..]) {
                endpoint.remove(now);
                self.addresses.release(endpoint.address, number);
                changes.stale.push(number);
            }
        }
    }

    /// Deletes endpoints that were removed at least [`REMOVED_RETENTION`] ago.
    fn forget_expired(&mut self, now: Time) {
        self.forget_where(|endpoint| {
            !endpoint.is_superseded && endpoint.changed_at + REMOVED_RETENTION <= now
        });
        // Names and destinations of the past must not make the list grow.
        if self.destinations.len() > MAX_PAST_DESTINATIONS + self.endpoints.len() {
            self.destinations = self.endpoints.values().map(|endpoint| endpoint.destination).collect();
        }
    }

    /// Deletes the removed endpoints for which `predicate` holds.
    fn forget_where(&mut self, predicate: impl Fn(&ListedEndpoint) -> bool) {
        let is_forgotten =
            |endpoint: &ListedEndpoint| endpoint.status == EndpointStatus::Removed && predicate(endpoint);
        let forgotten: Vec<u32> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_forgotten(endpoint))
            .map(|(&number, _)| number)
            .collect();
        for number in forgotten {
            let Some(endpoint) = self.endpoints.remove(&number) else { continue };
            self.memory.resize(held_size(&endpoint.name), 0);
            if self.numbers.get(&endpoint.name) == Some(&number) {
                self.numbers.remove(&endpoint.name);
            }
        }
    }

    fn apply_entry(
        &mut self,
        entry: &EndpointEntry,
        position: usize,
        settings: &DeploymentSettings,
        now: Time,
        changes: &mut Changes,
    ) {
        let Ok(address) = entry.address.parse::<SocketAddr>() else {
            tracing::warn!(name = entry.name, address = entry.address, "unreadable endpoint address");
            self.needs_complete_list = true;
            return;
        };
        let mut listed = self.listed_endpoint(entry, address, settings, now);
        listed.claim.position = position;
        if let Some(removed) = self.remove_from_other_destination(entry, now) {
            changes.stale.push(removed.id);
            changes.entries.push(removed);
        }
        let Some(number) = self.number_of(entry) else { return };
        self.destinations.insert(entry.destination);
        let previous = self.endpoints.get(&number);
        if let Some(previous) = previous.filter(|previous| previous.is_listed_again(entry, address)) {
            listed.claim = previous.claim;
        }
        let is_stale = previous.is_some_and(|previous| listed.makes_connections_stale(previous));
        if let Some(previous_address) = previous.map(|previous| previous.address) {
            if previous_address != address || listed.status == EndpointStatus::Removed {
                self.addresses.release(previous_address, number);
            }
        }
        if listed.status != EndpointStatus::Removed {
            self.claim_address(number, &mut listed, now, changes);
        }
        changes.entries.push(listed.event_entry(number, entry.rate));
        if is_stale || listed.is_superseded {
            changes.stale.push(number);
        }
        self.endpoints.insert(number, listed);
    }

    /// Decides whether a listed endpoint has its address. If so, the endpoint that had it before is removed; if
    /// not, this one is.
    fn claim_address(&mut self, number: u32, listed: &mut ListedEndpoint, now: Time, changes: &mut Changes) {
        match self.addresses.claim(listed.address, number, listed.claim) {
            ClaimResult::Owned => {}
            ClaimResult::Superseded => listed.supersede(now),
            ClaimResult::Supersedes(old) => {
                let Some(endpoint) = self.endpoints.get_mut(&old) else { return };
                endpoint.supersede(now);
                tracing::info!(
                    address = %listed.address,
                    name = listed.name,
                    gone = endpoint.name,
                    "another endpoint is listed at the address"
                );
                changes.stale.push(old);
                changes.entries.push(endpoint.event_entry(old, 0.0));
            }
        }
    }

    fn listed_endpoint(
        &mut self,
        entry: &EndpointEntry,
        address: SocketAddr,
        settings: &DeploymentSettings,
        now: Time,
    ) -> ListedEndpoint {
        ListedEndpoint {
            address,
            zone: self.zone_index(&entry.zone, settings),
            status: EndpointStatus::from(entry.status),
            claim: AddressClaim { event: self.event_count, started_at_ms: entry.started_at_ms, position: 0 },
            is_superseded: false,
            name: entry.name.clone(),
            destination: entry.destination,
            kind: kind_index(&entry.kind, settings),
            started_at_ms: entry.started_at_ms,
            changed_at: now,
        }
    }

    /// Marks the endpoint that has the entry's name under another destination as removed, so that the name
    /// gets a new number: limits and failures observed under the old number do not apply to the new
    /// destination. Returns the removed endpoint for the decision library, or `None` if no endpoint was
    /// removed.
    fn remove_from_other_destination(&mut self, entry: &EndpointEntry, now: Time) -> Option<Endpoint> {
        let number = *self.numbers.get(&entry.name)?;
        let previous = self.endpoints.get_mut(&number)?;
        if previous.destination == entry.destination {
            return None;
        }
        previous.remove(now);
        self.addresses.release(previous.address, number);
        self.numbers.remove(&entry.name);
        Some(previous.event_entry(number, 0.0))
    }

    /// Returns the number of an entry's name, and allocates one for a new name. Returns `None` for a new name
    /// whose entry has the status [`ListedStatus::Left`].
    fn number_of(&mut self, entry: &EndpointEntry) -> Option<u32> {
        if let Some(&number) = self.numbers.get(&entry.name) {
            return Some(number);
        }
        if entry.status == ListedStatus::Left || !self.make_room_for(&entry.name) {
            return None;
        }
        self.memory.resize(0, held_size(&entry.name));
        self.last_number += 1;
        self.numbers.insert(entry.name.clone(), self.last_number);
        Some(self.last_number)
    }

    /// Returns whether another endpoint fits into the memory. Endpoints that were removed make room for it; those whose
    /// address was given to another one only if need be, because a list that still names them would give it back.
    fn make_room_for(&mut self, name: &str) -> bool {
        let size = held_size(name);
        if !self.memory.has_room_for(size) {
            self.forget_where(|endpoint| !endpoint.is_superseded);
        }
        if !self.memory.has_room_for(size) {
            self.forget_where(|_| true);
        }
        let has_room = self.memory.has_room_for(size);
        if !has_room {
            let endpoints = self.endpoints.len();
            tracing::warn!(endpoints, "endpoint not listed, the list takes all the memory that it may");
        }
        has_room
    }

    /// Returns the index of a zone, and assigns the next one to a new name; [`UNKNOWN_INDEX`] if all are
    /// assigned.
    fn zone_index(&mut self, name: &str, settings: &DeploymentSettings) -> u8 {
        let mut zones = settings.zone_names.iter().chain(&self.extra_zones);
        if let Some(index) = zones.position(|zone| zone == name) {
            return index as u8;
        }
        let index = settings.zone_names.len() + self.extra_zones.len();
        if index >= usize::from(UNKNOWN_INDEX) {
            return UNKNOWN_INDEX;
        }
        self.extra_zones.push(name.to_owned());
        index as u8
    }
}

/// Returns an estimate of the memory that an endpoint takes, in bytes: its name is held twice.
fn held_size(name: &str) -> usize {
    ENDPOINT_BYTES + 2 * name.len()
}

/// Returns the index of a kind in the settings. All kinds that the settings do not contain share the index
/// after the last one.
fn kind_index(name: &str, settings: &DeploymentSettings) -> u8 {
    let index = settings.kind_names.iter().position(|kind| kind == name);
    index.unwrap_or(settings.kind_names.len()) as u8
}

#[cfg(test)]
mod tests;
