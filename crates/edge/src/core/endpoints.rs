//! The endpoint list in force, and lookups by endpoint and by destination.

use crate::settings::{EndpointEntry, EndpointList, EntryState};
use linnetcart_kafka::server::PartitionState;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The endpoint list in force, with an index by destination.
#[derive(Debug, Default)]
pub(crate) struct EndpointDirectory {
    list: EndpointList,
    /// How many endpoints of each destination in the list are ready.
    ready_counts: BTreeMap<u32, u32>,
}

impl EndpointDirectory {
    /// Returns the endpoint list in force; empty before the first one.
    pub(crate) fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Puts a list in force instead of the present one.
    pub(crate) fn replace(&mut self, list: EndpointList) {
        self.ready_counts.clear();
        for entry in list.entries.values() {
            let ready = self.ready_counts.entry(entry.destination).or_default();
            *ready += u32::from(entry.state == EntryState::Ready);
        }
        self.list = list;
    }

    pub(crate) fn get(&self, endpoint: u32) -> Option<&EndpointEntry> {
        self.list.entries.get(&endpoint)
    }

    pub(crate) fn address(&self, endpoint: u32) -> Option<SocketAddr> {
        self.get(endpoint).map(|entry| entry.address)
    }

    /// Returns whether the endpoint is in the list as ready, and not as draining or removed.
    pub(crate) fn is_ready(&self, endpoint: u32) -> bool {
        self.get(endpoint).is_some_and(|entry| entry.state == EntryState::Ready)
    }

    /// Returns the destination whose number is this partition index, or `None` if the list has no endpoint of
    /// it.
    pub(crate) fn destination(&self, partition: i32) -> Option<u32> {
        u32::try_from(partition).ok().filter(|destination| self.ready_counts.contains_key(destination))
    }

    /// Returns, for each partition index up to the highest destination in the list, whether that destination
    /// has a ready endpoint. Metadata responses have the same partitions in every topic.
    pub(crate) fn partition_states(&self) -> Vec<PartitionState> {
        let Some((&last, _)) = self.ready_counts.last_key_value() else { return Vec::new() };
        let state = |destination: u32| match self.ready_counts.get(&destination) {
            Some(&ready) if ready > 0 => PartitionState::Available,
            _ => PartitionState::Unavailable,
        };
        (0..=last).map(state).collect()
    }
}
