//! Endpoints as discovery names them and as the decision library numbers them.

use crate::config::{Entry, News, Status};
use linnetcart::{Endpoint, Event, Listing, Time};
use linnetcart_site::Site;
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
    pub listing: Listing,
    name: String,
    since_ms: u64,
    left: Time,
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Directory {
    /// Version of the list.
    pub index: u64,
    numbers: BTreeMap<String, u32>,
    known: BTreeMap<u32, Known>,
    next: u32,
    destinations: BTreeSet<u32>,
}

impl Directory {
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
    pub fn take(&mut self, news: &News, site: &Site, now: Time) -> (Event, Vec<u32>) {
        self.index = news.index;
        let mut stale = Vec::new();
        if news.snapshot {
            let names: BTreeSet<&str> = news.endpoints.iter().map(|e| &e.name[..]).collect();
            for (&number, known) in &mut self.known {
                if known.listing != Listing::Gone && !names.contains(&known.name[..]) {
                    (known.listing, known.left) = (Listing::Gone, now);
                    stale.push(number);
                }
            }
        }
        let entries = news.endpoints.iter().filter_map(|e| self.entry(e, site, now, &mut stale)).collect();
        let over: Vec<u32> = self
            .known
            .iter()
            .filter(|(_, k)| k.listing == Listing::Gone && k.left + KEPT <= now)
            .map(|(&number, _)| number)
            .collect();
        for number in over {
            if let Some(known) = self.known.remove(&number) {
                self.numbers.remove(&known.name);
            }
        }
        (Event::List { whole: news.snapshot, entries }, stale)
    }

    fn entry(&mut self, e: &Entry, site: &Site, now: Time, stale: &mut Vec<u32>) -> Option<Endpoint> {
        let Ok(address) = e.address.parse::<SocketAddr>() else {
            tracing::warn!(name = e.name, address = e.address, "an endpoint's address cannot be read");
            return None;
        };
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0) as u8;
        let (zone, kind) = (place(&site.zones, &e.zone), place(&site.kinds, &e.kind));
        let listing = Listing::from(e.status);
        let number = match self.numbers.get(&e.name) {
            Some(&number) => number,
            None if e.status == Status::Left => return None,
            None => {
                self.next += 1;
                self.numbers.insert(e.name.clone(), self.next);
                self.next
            }
        };
        self.destinations.insert(e.group);
        let known = Known { address, zone, listing, name: e.name.clone(), since_ms: e.since_ms, left: now };
        if let Some(before) = self.known.insert(number, known) {
            if listing == Listing::Gone || before.address != address || before.since_ms != e.since_ms {
                stale.push(number);
            }
        }
        Some(Endpoint { id: number, destination: e.group, kind, zone, rate: e.weight, listing })
    }
}
