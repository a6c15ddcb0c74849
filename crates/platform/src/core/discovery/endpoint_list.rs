//! Endpoints as discovery names them and as the decision library numbers them.

use crate::config::{EndpointEntry, ListedStatus, WatchEvent};
use crate::records::UNKNOWN_INDEX;
use linnetcart::{Endpoint, EndpointStatus, Event, Time};
use linnetcart_deployment_settings::DeploymentSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How long a removed endpoint keeps its number: a Retry-After under it binds when the name is back.
const REMOVED_RETENTION: Time = 60_000_000_000;

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Index of its zone.
    pub zone: u8,
    /// Its state.
    pub status: EndpointStatus,
    name: String,
    destination: u32,
    kind: u8,
    started_at_ms: u64,
    /// When it was removed, or last seen.
    changed_at: Time,
}

impl ListedEndpoint {
    /// Returns the entry of this endpoint in an event for the decision library.
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
        self.changed_at = now;
    }

    /// Whether connections that were made to the endpoint as it was listed previously are of no further use.
    fn makes_connections_stale(&self, previous: &ListedEndpoint) -> bool {
        let was_moved = previous.address != self.address;
        let was_restarted = previous.started_at_ms != self.started_at_ms;
        self.status == EndpointStatus::Removed || was_moved || was_restarted
    }
}

/// What an event of the watch changed.
#[derive(Debug)]
pub struct ListUpdate {
    /// The event for the decision library.
    pub event: Event,
    /// Endpoints whose idle connections are of no use any more: removed, moved or restarted.
    pub stale: Vec<u32>,
}

/// What an event has changed so far.
#[derive(Debug, Default)]
struct Changes {
    entries: Vec<Endpoint>,
    stale: Vec<u32>,
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct EndpointList {
    version: u64,
    numbers: BTreeMap<String, u32>,
    endpoints: BTreeMap<u32, ListedEndpoint>,
    last_number: u32,
    destinations: BTreeSet<u32>,
    /// Zones that the settings do not name: their indexes follow on those of the settings, so that none is taken
    /// for another.
    extra_zones: Vec<String>,
    /// An entry could not be read: the complete list is to be asked for.
    has_unread_entry: bool,
}

impl EndpointList {
    /// From which version on to ask for the list: all of it where an entry could not be read.
    pub fn version_to_ask(&self) -> u64 {
        if self.has_unread_entry {
            0
        } else {
            self.version
        }
    }

    /// The endpoint of this number.
    pub fn get(&self, number: u32) -> Option<&ListedEndpoint> {
        self.endpoints.get(&number)
    }

    /// The endpoint of this number, if it takes new messages.
    pub fn ready(&self, number: u32) -> Option<&ListedEndpoint> {
        self.get(number).filter(|endpoint| endpoint.status == EndpointStatus::Ready)
    }

    /// Endpoints, removed ones included whose numbers are still kept.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether any endpoint ever had this destination.
    pub fn has_destination(&self, destination: u32) -> bool {
        self.destinations.contains(&destination)
    }

    /// Brings the list up to date.
    pub fn apply(&mut self, event: &WatchEvent, settings: &DeploymentSettings, now: Time) -> ListUpdate {
        self.version = event.version;
        let mut changes = Changes::default();
        if event.complete {
            self.has_unread_entry = false;
            self.remove_unlisted(event, now, &mut changes);
        }
        for entry in &event.entries {
            self.apply_entry(entry, settings, now, &mut changes);
        }
        self.forget_removed(now);
        let event = Event::EndpointList { complete: event.complete, entries: changes.entries };
        ListUpdate { event, stale: changes.stale }
    }

    /// Removes the endpoints that a complete list does not have.
    fn remove_unlisted(&mut self, event: &WatchEvent, now: Time, changes: &mut Changes) {
        let names: BTreeSet<&str> = event.entries.iter().map(|entry| &entry.name[..]).collect();
        for (&number, endpoint) in &mut self.endpoints {
            if endpoint.status != EndpointStatus::Removed && !names.contains(&endpoint.name[..]) {
                endpoint.remove(now);
                changes.stale.push(number);
            }
        }
    }

    /// Forgets endpoints that were removed long ago.
    fn forget_removed(&mut self, now: Time) {
        let is_old = |endpoint: &ListedEndpoint| {
            endpoint.status == EndpointStatus::Removed && endpoint.changed_at + REMOVED_RETENTION <= now
        };
        let old: Vec<u32> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_old(endpoint))
            .map(|(&number, _)| number)
            .collect();
        for number in old {
            let Some(endpoint) = self.endpoints.remove(&number) else { continue };
            if self.numbers.get(&endpoint.name) == Some(&number) {
                self.numbers.remove(&endpoint.name);
            }
        }
    }

    fn apply_entry(
        &mut self,
        entry: &EndpointEntry,
        settings: &DeploymentSettings,
        now: Time,
        changes: &mut Changes,
    ) {
        let Ok(address) = entry.address.parse::<SocketAddr>() else {
            tracing::warn!(name = entry.name, address = entry.address, "unreadable endpoint address");
            self.has_unread_entry = true;
            return;
        };
        let listed = self.listed_endpoint(entry, address, settings, now);
        if let Some(removed) = self.remove_from_other_destination(entry, now) {
            changes.stale.push(removed.id);
            changes.entries.push(removed);
        }
        let Some(number) = self.number_of(entry) else { return };
        self.destinations.insert(entry.destination);
        changes.entries.push(listed.event_entry(number, entry.rate));
        let previous = self.endpoints.get(&number);
        if previous.is_some_and(|previous| listed.makes_connections_stale(previous)) {
            changes.stale.push(number);
        }
        self.endpoints.insert(number, listed);
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
            name: entry.name.clone(),
            destination: entry.destination,
            kind: kind_index(&entry.kind, settings),
            started_at_ms: entry.started_at_ms,
            changed_at: now,
        }
    }

    /// What was learnt of a name under another destination is of no use under this one: the name gets a new
    /// number, and the endpoint of the old one is removed.
    fn remove_from_other_destination(&mut self, entry: &EndpointEntry, now: Time) -> Option<Endpoint> {
        let number = *self.numbers.get(&entry.name)?;
        let previous = self.endpoints.get_mut(&number)?;
        if previous.destination == entry.destination {
            return None;
        }
        previous.remove(now);
        self.numbers.remove(&entry.name);
        Some(previous.event_entry(number, 0.0))
    }

    /// The number of an entry's name; none for an unknown one that is removed.
    fn number_of(&mut self, entry: &EndpointEntry) -> Option<u32> {
        if let Some(&number) = self.numbers.get(&entry.name) {
            return Some(number);
        }
        if entry.status == ListedStatus::Left {
            return None;
        }
        self.last_number += 1;
        self.numbers.insert(entry.name.clone(), self.last_number);
        Some(self.last_number)
    }

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

/// The index of a kind; one that the settings do not name has the index after theirs.
fn kind_index(name: &str, settings: &DeploymentSettings) -> u8 {
    let index = settings.kind_names.iter().position(|kind| kind == name);
    index.unwrap_or(settings.kind_names.len()) as u8
}

#[cfg(test)]
mod tests;
