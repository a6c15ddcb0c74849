//! The endpoint list: the document, its updates, and the entries for the decision library.

use super::documents::Settings;
use super::error::reject;
use super::validation::{check_count, check_number};
use super::InvalidDocument;
use linnetcart::{Endpoint, EndpointStatus};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An endpoint list after an update.
#[derive(Clone, Debug)]
pub struct UpdatedList {
    /// The list.
    pub list: EndpointList,
    /// The entries of the update as the decision library takes them.
    pub library_entries: Vec<Endpoint>,
}

/// Endpoints that a list may hold.
pub const MAX_ENDPOINTS: usize = 100_000;
/// The highest rate of an endpoint.
const MAX_RATE: f64 = 1e9;

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointListUpdate {
    /// Its version; one that is not above that in force is rejected.
    pub version: u64,
    /// The entries are the complete list; otherwise changes to the one in force.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Entries, or changed ones.
    pub entries: Vec<EndpointEntry>,
}

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Its number, never given to another.
    pub id: u32,
    /// Its destination.
    pub destination: u32,
    /// The destination's kind, by name.
    pub kind: String,
    /// Its zone, by name.
    pub zone: String,
    /// Calls a second, as `rates` says; 0 where it is not known.
    #[serde(default)]
    pub rate: f64,
    /// Its state.
    pub state: EntryState,
    /// Where it listens.
    pub address: SocketAddr,
}

/// State of an endpoint in the list; it says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryState {
    /// In service.
    #[serde(rename = "ready")]
    Ready,
    /// It takes nothing new.
    #[serde(rename = "draining")]
    Draining,
    /// Out of the list.
    #[serde(rename = "gone")]
    Removed,
}

/// The endpoint list in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// Entries by number; none of them is removed.
    pub entries: BTreeMap<u32, EndpointEntry>,
}

impl EndpointList {
    /// The list after this update. Nothing changes if the update is invalid.
    pub fn after(
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
        let mut seen = BTreeSet::new();
        let mut library_entries = Vec::with_capacity(update.entries.len());
        for (index, entry) in update.entries.iter().enumerate() {
            let path = |field: &str| format!("entries[{index}].{field}");
            if !seen.insert(entry.id) {
                return reject(path("id"), format!("endpoint {} is there twice", entry.id));
            }
            let last_destination = u64::from(settings.limits.destinations) - 1;
            check_count(&path("destination"), entry.destination.into(), 0, last_destination)?;
            check_number(&path("rate"), entry.rate, 0.0, MAX_RATE)?;
            library_entries.push(library_endpoint(entry, settings, &path)?);
            self.check_destination_kept(entry, &path)?;
            if entry.state == EntryState::Removed {
                next.entries.remove(&entry.id);
            } else {
                next.entries.insert(entry.id, entry.clone());
            }
        }
        next.check_as_a_whole()?;
        Ok(UpdatedList { list: next, library_entries })
    }

    /// All entries for the decision library.
    pub fn library_entries(&self, settings: &Settings) -> Result<Vec<Endpoint>, InvalidDocument> {
        let mut endpoints = Vec::with_capacity(self.entries.len());
        for (index, entry) in self.entries.values().enumerate() {
            let path = |field: &str| format!("entries[{index}].{field}");
            endpoints.push(library_endpoint(entry, settings, &path)?);
        }
        Ok(endpoints)
    }

    /// An endpoint never moves to another destination.
    fn check_destination_kept(
        &self,
        entry: &EndpointEntry,
        path: &dyn Fn(&str) -> String,
    ) -> Result<(), InvalidDocument> {
        match self.entries.get(&entry.id) {
            Some(before) if before.destination != entry.destination => {
                let reason = format!("endpoint {} belonged to another destination", entry.id);
                reject(path("destination"), reason)
            }
            _ => Ok(()),
        }
    }

    fn check_as_a_whole(&self) -> Result<(), InvalidDocument> {
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

/// An entry for the decision library.
fn library_endpoint(
    entry: &EndpointEntry,
    settings: &Settings,
    path: &dyn Fn(&str) -> String,
) -> Result<Endpoint, InvalidDocument> {
    let Some(kind) = settings.kind_index(&entry.kind) else {
        let known: Vec<&str> = settings.kinds.iter().map(|kind| kind.name.as_str()).collect();
        let reason = format!("`{}` is not a kind; the settings have {}", entry.kind, known.join(", "));
        return reject(path("kind"), reason);
    };
    let Some(zone) = settings.zone_index(&entry.zone) else {
        let reason =
            format!("`{}` is not a zone; the settings have {}", entry.zone, settings.zones.join(", "));
        return reject(path("zone"), reason);
    };
    let status = match entry.state {
        EntryState::Ready => EndpointStatus::Ready,
        EntryState::Draining => EndpointStatus::Draining,
        EntryState::Removed => EndpointStatus::Removed,
    };
    Ok(Endpoint { id: entry.id, destination: entry.destination, kind, zone, rate: entry.rate, status })
}
