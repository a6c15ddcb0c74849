//! A simulation of a courier's reporting in virtual time, with fault injection for its disk, its clock, its
//! process and its receivers.

use crate::messages::{accepted_message, MessageOutcome};
use crate::parts::{courier, settings, Crash, Disk, Receiver};
use linnetcart_delivery_events::{DeliveryEvent, RejectionReason};
use linnetcart_telemetry::collectd::{self, PacketItem};
use linnetcart_telemetry::connection::ConnectionAction;
use linnetcart_telemetry::counts::Saved;
use linnetcart_telemetry::settings::{Form, Telemetry as Settings};
use linnetcart_telemetry::stream::Stream;
use linnetcart_telemetry::{
    CurrentState, ListedEndpoint, LogEvent, Output, RestoredState, SyncError, Telemetry,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

pub const SECOND: u64 = 1_000_000_000;
/// The wall clock at the start of a simulation, in nanoseconds since 1970.
pub const WALL_START: u64 = 1_700_000_000 * SECOND;
/// Maximum number of rounds in which the outputs of an iteration are performed; each may cause further
/// outputs.
const MAX_OUTPUT_ROUNDS: usize = 10;
/// Seconds within which every unchanged cell is reported again: more than 30 reports at 10 s.
const SETTLE_SECONDS: u64 = 400;
pub const CLASS_NAMES: [&str; 2] = ["order", "query"];
pub const LATENCY_OBJECTIVE: u64 = SECOND;
pub const DEADLINE: u64 = 8 * SECOND;

pub struct Simulation {
    pub telemetry: Telemetry,
    disk: Disk,
    /// Whether syncs succeed.
    pub disk_works: bool,
    pub receiver: Receiver,
    /// Everything that collectd received.
    pub collectd: Stream,
    /// Whether connections to Graphite can be established.
    pub receiver_reachable: bool,
    /// Whether Graphite reads from its connection.
    pub receiver_reads: bool,
    connected: bool,
    /// Number of bytes that the receiver has read from the current connection.
    handed_over: u64,
    /// The monotonic clock, in nanoseconds.
    pub now: u64,
    /// The wall clock, in nanoseconds since 1970.
    pub wall: u64,
    pub logged: Vec<LogEvent>,
    random: ChaCha8Rng,
    /// The expected counts, by the part of the series name after the courier's number.
    pub counted: BTreeMap<String, u64>,
    /// Maximum size that the send buffer for Graphite reached, in bytes.
    pub max_waiting_bytes: usize,
}

impl Simulation {
    pub fn new(form: Form) -> Simulation {
        Simulation::with_settings(settings(form))
    }

    pub fn with_settings(settings: Settings) -> Simulation {
        let mut simulation = Simulation {
            telemetry: Telemetry::new(courier(3), RestoredState::default(), settings, SECOND),
            disk: Disk::default(),
            disk_works: true,
            receiver: Receiver::default(),
            collectd: Stream::default(),
            receiver_reachable: true,
            receiver_reads: true,
            connected: false,
            handed_over: 0,
            now: SECOND,
            wall: WALL_START,
            logged: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(1),
            counted: BTreeMap::new(),
            max_waiting_bytes: 0,
        };
        simulation.list_endpoints();
        simulation.begin_log();
        simulation
    }

    /// Lists three destinations, the second with independent routes.
    pub fn list_endpoints(&mut self) {
        let entry = |endpoint| ListedEndpoint {
            endpoint,
            destination: endpoint / 10,
            independent_route: endpoint / 10 == 2,
        };
        self.telemetry.set_endpoints([10, 11, 20, 21, 30].into_iter().map(entry));
    }

    /// Saves a snapshot and begins a new counter log.
    fn begin_log(&mut self) {
        self.disk.saved = Some(serde_json::to_vec(&self.telemetry.saved()).expect("serializable"));
        self.disk.log = self.telemetry.log_header();
        self.disk.synced_bytes = self.disk.log.len();
    }

    /// Replaces the process by a new one that restores its state from what the crash left on the disk.
    pub fn crash(&mut self, crash: Crash) {
        let length = match crash {
            Crash::Process => self.disk.log.len(),
            Crash::PowerLoss => self.disk.synced_bytes,
        };
        let saved: Option<Saved> = self
            .disk
            .saved
            .as_deref()
            .map(|saved| serde_json::from_slice(saved).expect("a complete snapshot"));
        let stored = RestoredState { saved, logs: vec![self.disk.log[..length].to_vec()] };
        let settings = self.telemetry.settings().clone();
        self.telemetry = Telemetry::new(courier(3), stored, settings, self.now);
        self.connected = false;
        self.handed_over = 0;
        self.receiver.connection_closed();
        self.list_endpoints();
        self.begin_log();
    }

    /// Breaks the connection; both ends notice.
    pub fn break_connection(&mut self) {
        self.connected = false;
        self.receiver.connection_closed();
        self.telemetry.disconnected(self.now);
    }

    /// Makes the receiver unreachable: the connection breaks and no new one can be established.
    pub fn lose_receiver(&mut self) {
        self.receiver_reachable = false;
        self.receiver_reads = false;
        self.connected = false;
        self.telemetry.disconnected(self.now);
    }

    /// Counts an event for the courier, the class, the destination and the cell.
    fn count(&mut self, destination: u32, class: u8, metric: &str) {
        let class = CLASS_NAMES[usize::from(class)];
        for suffix in [
            format!("courier.{metric}"),
            format!("class.{class}.{metric}"),
            format!("dest.d{destination}.{metric}"),
            format!("dest.d{destination}.class.{class}.{metric}"),
        ] {
            *self.counted.entry(suffix).or_default() += 1;
        }
    }

    /// Simulates a message that is accepted and answered, or rejected at once.
    fn deliver_message(&mut self) {
        let destination = self.random.random_range(1..4u32);
        let class = self.random.random_range(0..2u8);
        let message = self.random.random();
        if self.random.random_bool(0.05) {
            self.telemetry.record(&DeliveryEvent::Rejected {
                class,
                destination,
                reason: RejectionReason::Overloaded,
            });
            self.count(destination, class, "turned_away");
            return;
        }
        let message_outcome = MessageOutcome::draw(&mut self.random);
        for event in accepted_message(message, class, destination, self.now + DEADLINE, &message_outcome) {
            self.telemetry.record(&event);
        }
        for metric in ["taken", "attempts", message_outcome.attempt_metric, message_outcome.answer_metric] {
            self.count(destination, class, metric);
        }
    }

    /// Simulates one iteration of the event loop.
    fn process(&mut self) {
        self.telemetry.process(self.now, self.wall, || CurrentState {
            max_calls_in_flight: 8,
            calls_in_flight: 2,
            ..CurrentState::default()
        });
        for _ in 0..MAX_OUTPUT_ROUNDS {
            let outputs = self.telemetry.outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.perform(output);
            }
        }
        let waiting = self.telemetry.status(self.now).graphite_waiting;
        self.max_waiting_bytes = self.max_waiting_bytes.max(waiting);
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Append(bytes) => self.disk.log.extend(bytes),
            Output::Sync(number) => self.sync(number),
            Output::Graphite(ConnectionAction::Connect(_)) => self.connect(),
            Output::Graphite(ConnectionAction::Write(bytes)) => self.write(&bytes),
            Output::Graphite(ConnectionAction::Close) => {
                self.connected = false;
                self.receiver.connection_closed();
            }
            Output::Datagram(_, packet) => self.receive_datagram(&packet),
            Output::LogWarning(event) | Output::LogInfo(event) => self.logged.push(event),
        }
    }

    fn sync(&mut self, number: u64) {
        if self.disk_works {
            self.disk.synced_bytes = self.disk.log.len();
            self.telemetry.synced(number, Ok(()));
        } else {
            self.telemetry.synced(number, Err(SyncError::Storage("no space".to_owned())));
        }
    }

    fn connect(&mut self) {
        if !self.receiver_reachable {
            self.telemetry.disconnected(self.now);
            return;
        }
        self.connected = true;
        self.handed_over = 0;
        self.telemetry.connected(self.now);
        self.telemetry.process(self.now, self.wall, CurrentState::default);
    }

    fn write(&mut self, bytes: &[u8]) {
        if self.connected && self.receiver_reads {
            self.handed_over += bytes.len() as u64;
            self.receiver.receive(bytes);
            self.telemetry.acknowledged(self.now, self.handed_over);
        }
    }

    fn receive_datagram(&mut self, packet: &[u8]) {
        let items = collectd::read(packet, &BTreeMap::new(), Default::default()).expect("a packet");
        for item in items {
            if let PacketItem::Values { header, values } = item {
                let name = format!("{}.{}", header.plugin_instance, header.type_instance);
                let second = collectd::nanos(header.time) / SECOND;
                self.collectd.record_point(&name, values[0].as_f64(), second);
            }
        }
    }

    fn advance_clocks(&mut self, nanos: u64) {
        self.now += nanos;
        self.wall += nanos;
    }

    /// Simulates `tenths` iterations, a tenth of a second apart, with a message in each.
    pub fn run(&mut self, tenths: u64) {
        for _ in 0..tenths {
            self.advance_clocks(SECOND / 10);
            self.deliver_message();
            self.process();
        }
    }

    /// Simulates `messages` iterations, a millisecond apart, with a message in each.
    pub fn run_fast(&mut self, messages: u64) {
        for _ in 0..messages {
            self.advance_clocks(SECOND / 1000);
            self.deliver_message();
            self.process();
        }
    }

    /// Simulates [`SETTLE_SECONDS`] without messages, so that every counter is reported with its final value.
    pub fn settle(&mut self) {
        for _ in 0..SETTLE_SECONDS {
            self.advance_clocks(SECOND);
            self.process();
        }
    }
}
