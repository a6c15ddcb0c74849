//! The endpoint list: its update document (`PUT /list`), its validation, and its conversion for the decision
//! library.

use super::documents::Settings;
use super::error::reject;
use super::validation::{check_count, check_number};
use super::InvalidDocument;
use linnetcart::{Endpoint, EndpointStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The result of applying an update to an endpoint list.
#[derive(Clone, Debug)]
pub struct UpdatedList {
    /// The new list.
    pub list: EndpointList,
    /// The entries of the update, converted for the decision library.
    pub library_entries: Vec<Endpoint>,
}

/// Maximum number of endpoints in a list.
pub const MAX_ENDPOINTS: usize = 100_000;
/// Maximum rate of an endpoint, in calls per second.
const MAX_RATE: f64 = 1e9;

/// An update of the endpoint list (the body of `PUT /list`): either a complete new list or changes to the
/// list in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListUpdate {
    /// Version of the list after the update. It must be greater than the version of the list in force.
    pub version: u64,
    /// Whether the entries replace the list in force. Otherwise they are changes to it.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// All entries of the new list, or only the changed ones.
    pub entries: Vec<EndpointEntry>,
}

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Number of the endpoint, which is never reused for another endpoint.
    pub id: u32,
    /// Number of the endpoint's destination.
    pub destination: u32,
    /// Name of the kind of the endpoint's destination, as in the settings.
    pub kind: String,
    /// Name of the endpoint's zone, as in the settings.
    pub zone: String,
    /// Rate limit of the endpoint, in calls per second; 0 if it is not known. The setting `rates` states how
    /// accurate the value is.
    #[serde(default)]
    pub rate: f64,
    /// Whether the endpoint is in service.
    pub state: EntryState,
    /// Address at which the endpoint accepts calls.
    pub address: SocketAddr,
}

/// The state of an endpoint in the list. It is set by the list's publisher and independent of the health that
/// the decision library observes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// The endpoint is in service.
    #[serde(rename = "ready")]
    Ready,
    /// The endpoint is in graceful shutdown: it finishes the calls in flight and accepts no new ones.
    #[serde(rename = "draining")]
    Draining,
    /// The endpoint has left the list.
    #[serde(rename = "gone")]
    Removed,
}

/// An endpoint list, which is also part of the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointList {
    /// Version of the last update that was applied; 0 before the first.
    pub version: u64,
    /// The entries by endpoint number. None has the state [`EntryState::Removed`].
    pub entries: BTreeMap<u32, EndpointEntry>,
}

impl EndpointList {
    /// Validates an update against the settings and this list, and returns the updated list. This list does
    /// not change.
    ///
    /// # Errors
    /// Fails if the version is not greater than that of this list, an entry is invalid or moves an endpoint
    /// to another destination, or the updated list is too long or has endpoints of different kinds in one
    /// destination.
    pub fn with_update(
        &self,
        update: &EndpointListUpdate,
        settings: &Settings,
    ) -> Result<UpdatedList, InvalidDocument> {
        if update.version <= self.version {
            let reason = format!("{} is not above {}, which is in force", update.version, self.version);
            return reject("version", reason);
        }
        let mut next = EndpointList { version: update.version, entries: BTreeMap::new() };
        if !update.complete {
            next.entries.clone_from(&self.entries);
        }
        let mut addresses: BTreeMap<SocketAddr, u32> =
            next.entries.iter().map(|(&id, entry)| (entry.address, id)).collect();
        let mut seen = BTreeSet::new();
        let mut library_entries = Vec::with_capacity(update.entries.len());
        for (index, entry) in update.entries.iter().enumerate() {
            let path = EntryPath { index };
            if !seen.insert(entry.id) {
                return reject(path.field("id"), format!("endpoint {} is there twice", entry.id));
            }
            let last_destination = u64::from(settings.limits.destinations) - 1;
            check_count(&path.field("destination"), entry.destination.into(), 0, last_destination)?;
            check_number(&path.field("rate"), entry.rate, 0.0, MAX_RATE)?;
            library_entries.push(library_endpoint(entry, settings, path)?);
            self.check_destination_unchanged(entry, path)?;
            next.apply(entry);
            if entry.state != EntryState::Removed {
                let previous = addresses.insert(entry.address, entry.id).filter(|&id| id != entry.id);
                library_entries.extend(previous.and_then(|id| next.remove_at(id, entry.address, settings)));
            }
        }
        next.check_consistency()?;
        Ok(UpdatedList { list: next, library_entries })
    }

    /// Inserts, replaces or removes one entry.
    fn apply(&mut self, entry: &EndpointEntry) {
        if entry.state == EntryState::Removed {
            self.entries.remove(&entry.id);
        } else {
            self.entries.insert(entry.id, entry.clone());
        }
    }

    /// Removes an endpoint whose address was given to another one, whether or not the list says that it is gone: an
    /// address belongs to the endpoint that was listed with it last. Returns the removed endpoint for the decision
    /// library, or `None` if it has another address.
    fn remove_at(&mut self, id: u32, address: SocketAddr, settings: &Settings) -> Option<Endpoint> {
        if self.entries.get(&id)?.address != address {
            return None;
        }
        let gone = EndpointEntry { state: EntryState::Removed, ..self.entries.remove(&id)? };
        tracing::info!(%address, gone = id, "another endpoint is listed at the address");
        library_endpoint(&gone, settings, EntryPath { index: 0 }).ok()
    }

    /// Returns all entries, converted for the decision library.
    ///
    /// # Errors
    /// Fails if the kind or the zone of an entry is not in the settings.
    pub fn library_entries(&self, settings: &Settings) -> Result<Vec<Endpoint>, InvalidDocument> {
        let mut endpoints = Vec::with_capacity(self.entries.len());
        for (index, entry) in self.entries.values().enumerate() {
            endpoints.push(library_endpoint(entry, settings, EntryPath { index })?);
        }
        Ok(endpoints)
    }

    /// Checks that an endpoint in the list keeps its destination.
    fn check_destination_unchanged(
        &self,
        entry: &EndpointEntry,
        path: EntryPath,
    ) -> Result<(), InvalidDocument> {
        match self.entries.get(&entry.id) {
            Some(before) if before.destination != entry.destination => {
                let reason = format!("endpoint {} belonged to another destination", entry.id);
                reject(path.field("destination"), reason)
            }
            _ => Ok(()),
        }
    }

    /// Checks the number of entries, and that all endpoints of a destination are of the same kind.
    fn check_consistency(&self) -> Result<(), InvalidDocument> {
        if self.entries.len() > MAX_ENDPOINTS {
            let reason = format!("{}; at most {MAX_ENDPOINTS} are held", self.entries.len());
            return reject("entries", reason);
        }
        let mut kinds: BTreeMap<u32, &str> = BTreeMap::new();
        for entry in self.entries.values() {
            let kind = kinds.entry(entry.destination).or_insert(&entry.kind);
            if *kind != entry.kind {
                let reason = format!(
                    "destination {} would be of two kinds, `{kind}` and `{}`",
                    entry.destination, entry.kind
                );
                return reject("entries", reason);
            }
        }
        Ok(())
    }
}

/// The path of an entry in its document, for errors.
#[derive(Clone, Copy, Debug)]
struct EntryPath {
    index: usize,
}

impl EntryPath {
    /// Returns the path of a field of the entry.
    fn field(self, name: &str) -> String {
        format!("entries[{}].{name}", self.index)
    }
}

/// Converts an entry for the decision library: names of kinds and zones become their numbers.
fn library_endpoint(
    entry: &EndpointEntry,
    settings: &Settings,
    path: EntryPath,
) -> Result<Endpoint, InvalidDocument> {
    let Some(kind) = settings.kind_index(&entry.kind) else {
        let known: Vec<&str> = settings.kinds.iter().map(|kind| kind.name.as_str()).collect();
        let reason = format!("`{}` is not a kind; the settings have {}", entry.kind, known.join(", "));
        return reject(path.field("kind"), reason);
    };
    let Some(zone) = settings.zone_index(&entry.zone) else {
        let reason =
            format!("`{}` is not a zone; the settings have {}", entry.zone, settings.zones.join(", "));
        return reject(path.field("zone"), reason);
    };
    let status = match entry.state {
        EntryState::Ready => EndpointStatus::Ready,
        EntryState::Draining => EndpointStatus::Draining,
        EntryState::Removed => EndpointStatus::Removed,
    };
    Ok(Endpoint { id: entry.id, destination: entry.destination, kind, zone, rate: entry.rate, status })
}
