//! The transport of the scenario runner: clients, couriers, endpoints, and faults of network and disk.

use super::{endpoint_address, Event, Network, CONTROL_DELAY, PORT};
use crate::connections::{Block, Direction, PerDirection, Segment, SendKind, Side, StreamId};
use crate::disk::Crash;
use crate::host::{ClockDeviation, CourierIncarnation, Host, WALL_CLOCK_START};
use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_edge::core::MemoryBudget;
use linnetcart_edge::core::StartOptions;
use linnetcart_kafka::server::Broker;
use linnetcart_scenario::runner::{InfrastructureFault, StoredState, Token, Transport, TransportError};
use rand::Rng;
use std::net::SocketAddr;

/// The incarnation of connections to a courier that is down. No courier reaches this number, so the
/// connections are refused.
const NO_INCARNATION: u32 = u32::MAX;

impl Network<'_> {
    fn start_options(&self, courier: u32, incarnation: u32) -> StartOptions {
        StartOptions {
            seed: self.fleet.courier_seed(courier, incarnation),
            now: 0,
            broker: Broker { id: 0, host: format!("courier-{courier}"), port: PORT },
            run: (u64::from(courier) << 32) | u64::from(incarnation),
            first_number: 1,
            // The memory of a host is not modelled.
            memory: MemoryBudget::unlimited(),
            policy: self.policy,
        }
    }

    fn draw_clock_deviation(&mut self) -> ClockDeviation {
        let max_drift = self.model.max_clock_drift_ppm;
        let drift_ppm = self.clock_rng.random_range(-max_drift..=max_drift);
        let monotonic_ahead = self.clock_rng.random_range(0..=self.model.max_clock_difference);
        let wall_offset = self.fleet.draw_clock_offset(&mut self.clock_rng);
        ClockDeviation { monotonic_ahead, drift_ppm, wall_offset }
    }

    /// Breaks each connection of these couriers with probability `share`. Part of the data in flight still
    /// arrives, truncated at any byte.
    fn break_connections(&mut self, couriers: &[u32], share: f64) {
        for &courier in couriers {
            for token in self.connections.of_courier(courier) {
                if self.rng.random::<f64>() < share {
                    self.break_connection(token);
                }
            }
        }
    }

    fn break_connection(&mut self, token: Token) {
        let to_courier = self.rng.random();
        let from_courier = self.rng.random();
        self.connections.break_connection(token, PerDirection { to_courier, from_courier });
        self.transmit(token, Direction::ToCourier, Segment::Close);
        self.transmit(token, Direction::FromCourier, Segment::Close);
    }

    /// Sends the segments of a stream that were queued during a partition.
    fn release(&mut self, stream: StreamId) {
        let StreamId { token, direction } = stream;
        for queued in self.connections.release(stream) {
            self.transmit_as(SendKind::Released, queued.sent_at, token, direction, queued.segment);
        }
    }
}

impl Transport for Network<'_> {
    fn connect(&mut self, courier: u32) -> Token {
        let incarnation = self.hosts.get(&courier).map_or(NO_INCARNATION, |host| host.incarnation);
        let now = self.now();
        let program = CourierIncarnation { courier, incarnation };
        let token = self.connections.open_from_client(now, program);
        self.update_peak_connections();
        self.transmit(token, Direction::ToCourier, Segment::Connect);
        token
    }

    fn send(&mut self, token: Token, bytes: &[u8]) {
        let segment = Segment::Data(Bytes::copy_from_slice(bytes));
        self.transmit(token, Direction::ToCourier, segment);
    }

    fn close(&mut self, token: Token) {
        Network::close(self, token, Side::Peer);
    }

    fn reset(&mut self, token: Token) {
        Network::close(self, token, Side::Peer);
    }

    fn start(&mut self, courier: u32, incarnation: u32) -> Result<StoredState, TransportError> {
        let options = self.start_options(courier, incarnation);
        let deviation = self.draw_clock_deviation();
        let now = self.now();
        let disk = self.disks.entry(courier).or_default();
        let host = Host::start(now, incarnation, options, deviation, disk);
        let stored = if host.is_configured() { StoredState::Recovered } else { StoredState::Missing };
        self.hosts.insert(courier, host);
        Ok(stored)
    }

    fn kill(&mut self, courier: u32) {
        if let Some(host) = self.hosts.remove(&courier) {
            let disk = self.disks.entry(courier).or_default();
            if host.is_writing_snapshot(self.events.now()) {
                let renamed_in_time = !self.rng.random::<bool>();
                disk.crash(if renamed_in_time { Crash::AfterRename } else { Crash::BeforeRename });
            }
            disk.sync();
        }
        for token in self.connections.of_courier(courier) {
            Network::close(self, token, Side::Courier);
        }
    }

    fn stall(&mut self, courier: u32) {
        let now = self.now();
        if let Some(host) = self.hosts.get_mut(&courier) {
            host.stall(now);
        }
    }

    fn resume(&mut self, courier: u32) {
        if let Some(host) = self.hosts.get_mut(&courier) {
            host.resume();
            self.schedule_iteration(courier);
        }
    }

    fn put(&mut self, courier: u32, incarnation: u32, path: &'static str, body: String) {
        let due = self.now() + CONTROL_DELAY;
        let program = CourierIncarnation { courier, incarnation };
        self.events.schedule(due, Event::ControlPut { program, path, body });
    }

    fn open(&mut self, endpoint: u32) -> Result<(), TransportError> {
        self.listening_endpoints.insert(endpoint);
        Ok(())
    }

    fn shut(&mut self, endpoint: u32) {
        self.listening_endpoints.remove(&endpoint);
    }

    fn address(&self, endpoint: u32) -> SocketAddr {
        endpoint_address(endpoint)
    }

    fn wall(&self) -> Time {
        WALL_CLOCK_START + self.now()
    }

    fn travelled(&self, token: Token) -> Time {
        self.connections.last_transit_from_courier(token)
    }

    fn fault(&mut self, number: usize, fault: InfrastructureFault) {
        match fault {
            InfrastructureFault::Partition { couriers, clients, endpoints, one_way } => {
                let from_courier = !one_way;
                let block_courier =
                    |courier| Block { courier, clients, endpoints, to_courier: true, from_courier };
                let blocks = couriers.into_iter().map(block_courier).collect();
                self.connections.begin_partition(number, blocks);
            }
            InfrastructureFault::Slow { couriers, by } => {
                self.connections.begin_slowdown(number, couriers, by);
            }
            InfrastructureFault::Cut { couriers, share } => self.break_connections(&couriers, share),
            InfrastructureFault::Damage { courier, left } => {
                if let Some(disk) = self.disks.get_mut(&courier) {
                    disk.damage(left);
                }
            }
        }
    }

    fn heal(&mut self, number: usize) {
        self.connections.end_slowdown(number);
        for stream in self.connections.end_partition(number) {
            self.release(stream);
        }
    }
}
