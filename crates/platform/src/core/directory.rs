//! Endpoints as discovery names them and as the decision library numbers them.

use crate::config::{Entry, News, Status};
use crate::records::ELSEWHERE;
use linnetcart::{Endpoint, EndpointStatus, Event, Time};
use linnetcart_deployment_settings::DeploymentSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How long the number of a name that left is kept: a wait told under it binds when the name is back.
const KEPT: Time = 60_000_000_000;

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Number of its zone.
    pub zone: u8,
    /// Its state.
    pub listing: EndpointStatus,
    name: String,
    destination: u32,
    kind: u8,
    since_ms: u64,
    left: Time,
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    /// Version of the list.
    index: u64,
    numbers: BTreeMap<String, u32>,
    known: BTreeMap<u32, Known>,
    next: u32,
    destinations: BTreeSet<u32>,
    /// Zones that the settings do not name: numbers after theirs, so that none is taken for another.
    zones: Vec<String>,
    /// An entry could not be read: the list is to be asked for as a whole.
    unread: bool,
}

impl Directory {
    /// From which version on the list is to be asked for; from the first where an entry could not be read.
    pub fn since(&self) -> u64 {
        if self.unread {
            0
        } else {
            self.index
        }
    }

    /// The endpoint of this number.
    pub fn get(&self, number: u32) -> Option<&Known> {
        self.known.get(&number)
    }

    /// Endpoints held, those included whose numbers are only kept.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether any endpoint ever had this destination.
    pub fn has_destination(&self, destination: u32) -> bool {
        self.destinations.contains(&destination)
    }

    /// Takes news in. Returns what the library is told, and the endpoints whose connections are of no use any
    /// more: gone, moved or started anew.
    pub fn take(&mut self, news: &News, site: &DeploymentSettings, now: Time) -> (Event, Vec<u32>) {
        if news.snapshot {
            self.unread = false;
        }
        self.index = news.index;
        let mut stale = Vec::new();
        if news.snapshot {
            let names: BTreeSet<&str> = news.endpoints.iter().map(|e| &e.name[..]).collect();
            for (&number, known) in &mut self.known {
                if known.listing != EndpointStatus::Removed && !names.contains(&known.name[..]) {
                    (known.listing, known.left) = (EndpointStatus::Removed, now);
                    stale.push(number);
                }
            }
        }
        let mut entries = Vec::new();
        for e in &news.endpoints {
            self.entry(e, site, now, &mut stale, &mut entries);
        }
        let over: Vec<u32> = self
            .known
            .iter()
            .filter(|(_, k)| k.listing == EndpointStatus::Removed && k.left + KEPT <= now)
            .map(|(&number, _)| number)
            .collect();
        for number in over {
            if let Some(known) = self.known.remove(&number) {
                if self.numbers.get(&known.name) == Some(&number) {
                    self.numbers.remove(&known.name);
                }
            }
        }
        (Event::EndpointList { complete: news.snapshot, entries }, stale)
    }

    fn entry(
        &mut self,
        e: &Entry,
        site: &DeploymentSettings,
        now: Time,
        stale: &mut Vec<u32>,
        out: &mut Vec<Endpoint>,
    ) {
        let Ok(address) = e.address.parse::<SocketAddr>() else {
            tracing::warn!(name = e.name, address = e.address, "an endpoint's address cannot be read");
            self.unread = true;
            return;
        };
        let kind = site.kind_names.iter().position(|k| *k == e.kind).unwrap_or(site.kind_names.len()) as u8;
        let (zone, listing) = (self.zone(&e.zone, site), EndpointStatus::from(e.status));
        // What was learnt of a name that is another destination's now is not of use there.
        let moved = self.numbers.get(&e.name).and_then(|n| Some((*n, self.known.get_mut(n)?)));
        if let Some((number, before)) = moved.filter(|(_, k)| k.destination != e.group) {
            (before.listing, before.left) = (EndpointStatus::Removed, now);
            let Known { destination, kind, zone, .. } = *before;
            out.push(Endpoint {
                id: number,
                destination,
                kind,
                zone,
                rate: 0.0,
                status: EndpointStatus::Removed,
            });
            stale.push(number);
            self.numbers.remove(&e.name);
        }
        let number = match self.numbers.get(&e.name) {
            Some(&number) => number,
            None if e.status == Status::Left => return,
            None => {
                self.next += 1;
                self.numbers.insert(e.name.clone(), self.next);
                self.next
            }
        };
        self.destinations.insert(e.group);
        let (name, destination) = (e.name.clone(), e.group);
        let since_ms = e.since_ms;
        let known = Known { address, zone, listing, name, destination, kind, since_ms, left: now };
        if let Some(before) = self.known.insert(number, known) {
            if listing == EndpointStatus::Removed
                || before.address != address
                || before.since_ms != e.since_ms
            {
                stale.push(number);
            }
        }
        out.push(Endpoint { id: number, destination: e.group, kind, zone, rate: e.weight, status: listing });
    }

    fn zone(&mut self, name: &str, site: &DeploymentSettings) -> u8 {
        let all = site.zone_names.iter().chain(&self.zones);
        if let Some(place) = all.enumerate().find_map(|(n, z)| (z == name).then_some(n)) {
            return place as u8;
        }
        let place = site.zone_names.len() + self.zones.len();
        if place >= usize::from(ELSEWHERE) {
            return ELSEWHERE;
        }
        self.zones.push(name.to_owned());
        place as u8
    }
}
