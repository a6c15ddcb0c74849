//! Network faults that last for a time: partitions and slowdowns, each identified by the position of the
//! fault in the scenario.

use super::connection::{Connection, Direction, Peer};
use linnetcart_conformance::Time;
use std::collections::BTreeMap;

/// The part of a partition that concerns one courier. It holds back a segment if it blocks both the kind of
/// the connection (`clients` or `endpoints`) and the direction of the segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Block {
    /// The courier that is cut off.
    pub courier: u32,
    /// Whether the courier's connections with clients are blocked.
    pub clients: bool,
    /// Whether the courier's connections with endpoints are blocked.
    pub endpoints: bool,
    /// Whether segments to the courier are blocked.
    pub to_courier: bool,
    /// Whether segments from the courier are blocked.
    pub from_courier: bool,
}

impl Block {
    fn applies_to(&self, connection: &Connection, direction: Direction) -> bool {
        let peer_blocked = match connection.peer {
            Peer::Client(_) => self.clients,
            Peer::Endpoint { .. } => self.endpoints,
        };
        let direction_blocked = match direction {
            Direction::ToCourier => self.to_courier,
            Direction::FromCourier => self.from_courier,
        };
        self.courier == connection.courier && peer_blocked && direction_blocked
    }
}

/// Couriers whose connections are slow, with the additional one-way delay in nanoseconds.
#[derive(Debug)]
struct Slowdown {
    couriers: Vec<u32>,
    extra_delay: Time,
}

/// The faults that are in force at present.
#[derive(Debug, Default)]
pub(super) struct ActiveFaults {
    partitions: BTreeMap<usize, Vec<Block>>,
    slowdowns: BTreeMap<usize, Slowdown>,
}

impl ActiveFaults {
    pub(super) fn begin_partition(&mut self, fault: usize, blocks: Vec<Block>) {
        self.partitions.insert(fault, blocks);
    }

    pub(super) fn end_partition(&mut self, fault: usize) {
        self.partitions.remove(&fault);
    }

    pub(super) fn begin_slowdown(&mut self, fault: usize, couriers: Vec<u32>, extra_delay: Time) {
        self.slowdowns.insert(fault, Slowdown { couriers, extra_delay });
    }

    pub(super) fn end_slowdown(&mut self, fault: usize) {
        self.slowdowns.remove(&fault);
    }

    /// Returns whether a partition blocks this direction of a connection.
    pub(super) fn blocks(&self, connection: &Connection, direction: Direction) -> bool {
        let mut blocks = self.partitions.values().flatten();
        blocks.any(|block| block.applies_to(connection, direction))
    }

    /// Returns the additional one-way delay of a courier's connections, in nanoseconds: the sum over all
    /// slowdowns in force.
    pub(super) fn extra_delay(&self, courier: u32) -> Time {
        let slowdowns = self.slowdowns.values();
        let applying = slowdowns.filter(|slowdown| slowdown.couriers.contains(&courier));
        applying.map(|slowdown| slowdown.extra_delay).sum()
    }
}
