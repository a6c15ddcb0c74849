//! The environment of the simulated reporting: settings, a receiver and a disk.

use crate::fixture::{CLASS_NAMES, DEADLINE, LATENCY_OBJECTIVE};
use linnetcart::{Class, Idempotency};
use linnetcart_telemetry::settings::{Collectd, Form, Graphite, Security, Telemetry as Settings};
use linnetcart_telemetry::stream::Stream;
use linnetcart_telemetry::{CourierInfo, NamedClass};

pub fn courier(number: u32) -> CourierInfo {
    let class = |name: &str| {
        let class = Class {
            latency_objective: LATENCY_OBJECTIVE,
            deadline: DEADLINE,
            priority_weight: 2.0,
            late_weight: 0.5,
            idempotency: Idempotency::Idempotent,
            ordered: false,
        };
        NamedClass { name: name.to_owned(), class }
    };
    CourierInfo {
        deployment: "test".into(),
        courier_index: number,
        classes: CLASS_NAMES.map(class).to_vec(),
        weight_halves: false,
        seed: 5,
    }
}

pub fn settings(form: Form) -> Settings {
    let address = "127.0.0.1:2003".parse().expect("an address");
    Settings {
        graphite: Some(Graphite { address, form, tags: false, queue_bytes: 1 << 18, stuck_s: 5 }),
        collectd: Some(Collectd { address, host: None, security: Security::None, packet_bytes: 1452 }),
        ..Settings::default()
    }
}

/// A Graphite receiver with one connection.
#[derive(Default)]
pub struct Receiver {
    pub stream: Stream,
    /// Received bytes of an item (line or frame) that is not complete yet.
    unread: Vec<u8>,
}

impl Receiver {
    pub fn receive(&mut self, bytes: &[u8]) {
        self.unread.extend(bytes);
        assert!(self.stream.consume(&mut self.unread, |_| ()));
        assert_eq!(self.stream.invalid_items, 0, "{:?}", self.stream.last_error);
    }

    pub fn connection_closed(&mut self) {
        self.unread.clear();
    }
}

/// The files of a courier's counts: a snapshot, and a counter log whose end may not be synced.
#[derive(Default)]
pub struct Disk {
    pub saved: Option<Vec<u8>>,
    pub log: Vec<u8>,
    /// Number of bytes at the beginning of the log that survive a power loss.
    pub synced_bytes: usize,
}

/// What ends a process abruptly.
#[derive(Clone, Copy)]
pub enum Crash {
    /// The process is killed: the log is complete.
    Process,
    /// The power fails: the part of the log that was not synced is lost.
    PowerLoss,
}
