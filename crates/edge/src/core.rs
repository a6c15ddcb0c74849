//! The courier without its sockets: bytes, connection events and clock readings go in; bytes, connects, closes and
//! delivery events come out. It holds no socket, file or clock, and the same inputs give the same outputs.
//!
//! [`Core`] holds the parts and the order of one event-loop iteration ([`Core::process`]). Each part owns its state:
//!
//! | part | owns |
//! | --- | --- |
//! | `clock` | the clock readings of the iteration |
//! | `endpoints` | the endpoint list in force |
//! | `clients` | client connections, pending requests, the order of responses |
//! | `admission` | validation of requests, load shedding |
//! | `in_flight` | messages without a final answer, or with attempts out |
//! | `delivery` | attempts, calls and connections to endpoints |
//! | `retry_after` | Retry-After times by limit |
//! | `decisions` | the decision policy and the events for its next cycle |
//! | `drain` | graceful shutdown |
//! | `status` | counters |
//!
//! Inputs may come in any number before [`Core::process`], which hands all of them to the decision library at
//! once and carries out what it decides. So after a stall the library sees everything before it sends.

mod admission;
mod attempts;
mod clients;
mod clock;
mod deadline;
mod decisions;
mod delivery;
mod drain;
mod endpoints;
mod error;
mod in_flight;
mod requests;
mod responses;
mod retry_after;
mod status;
mod time_index;

pub use clients::ClientId;
pub use decisions::{library, DecisionPolicy, PolicyFactory};
pub use delivery::UpstreamId;
pub use status::{ClassCounters, Status};

use crate::delivery_events::DeliveryEvent;
use crate::settings::{EndpointList, EndpointListUpdate, InvalidDocument, Settings};
use admission::Admission;
use bytes::Bytes;
use clients::ClientConnections;
use clock::ClockReadings;
use decisions::DecisionCycle;
use delivery::{Delivery, DeliverySettings};
use drain::Drain;
use endpoints::EndpointDirectory;
use error::ProtocolError;
use in_flight::InFlightTable;
use linnetcart::{Action, Event, Idempotency, Time};
use linnetcart_kafka::server::Broker;
use retry_after::{LimitKey, RetryAfterTable};
use status::Counters;
use std::net::SocketAddr;

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    ToClient(ClientId, Bytes),
    /// Close a client's connection when what was written to it has left.
    CloseClient(ClientId),
    /// Read nothing more from a client until it is resumed.
    PauseClient(ClientId),
    /// Read from a client again.
    ResumeClient(ClientId),
    /// Connect to an endpoint.
    Connect(UpstreamId, SocketAddr),
    /// Write to an endpoint.
    ToUpstream(UpstreamId, Bytes),
    /// Close a connection to an endpoint at once.
    CloseUpstream(UpstreamId),
}

/// How the core starts.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// Randomness of the decisions.
    pub seed: u64,
    /// The clock.
    pub now: Time,
    /// Where clients reach this courier.
    pub broker: Broker,
    /// Distinguishes generated message names of this process from those of others.
    pub run: u64,
    /// The first message's number.
    pub first_number: u32,
    /// Who decides: [`library`].
    pub policy: PolicyFactory,
}

/// The courier.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    /// What a repeated execution of a message does, by class.
    idempotency: Vec<Idempotency>,
    broker: Broker,
    clock: ClockReadings,
    endpoints: EndpointDirectory,
    clients: ClientConnections,
    admission: Admission,
    in_flight: InFlightTable,
    delivery: Delivery,
    retry_after: RetryAfterTable,
    decisions: DecisionCycle,
    drain: Drain,
    counters: Counters,
    outputs: Vec<Output>,
    delivery_events: Vec<DeliveryEvent>,
}

impl Core {
    /// A courier with these settings and an empty endpoint list. The settings have been checked.
    pub fn new(settings: Settings, start: StartOptions) -> Core {
        let library_settings = settings.library_settings();
        let delivery_settings = DeliverySettings {
            max_calls: settings.limits.max_calls as usize,
            calls_per_connection: settings.connections.max_calls as usize,
            idle_timeout: library_settings.idle_timeout,
            connect_timeout: library_settings.connect_timeout,
            max_frame_bytes: settings.limits.max_request_bytes,
            client_name: format!("linnetcart-edge-{}", settings.courier.index),
            topics: settings.classes.iter().map(|class| class.name.clone()).collect(),
        };
        let name_prefix = format!("{}/{:x}/", settings.courier.index, start.run);
        let idempotency = library_settings.classes.iter().map(|class| class.idempotency).collect();
        let tick = library_settings.tick;
        let policy = (start.policy)(library_settings, start.seed);
        Core {
            idempotency,
            broker: Broker { id: settings.courier.index as i32, ..start.broker },
            clock: ClockReadings::new(start.now),
            endpoints: EndpointDirectory::default(),
            clients: ClientConnections::default(),
            admission: Admission::new(name_prefix),
            in_flight: InFlightTable::new(start.first_number),
            delivery: Delivery::new(delivery_settings),
            retry_after: RetryAfterTable::default(),
            decisions: DecisionCycle::new(policy, tick),
            drain: Drain::default(),
            counters: Counters::new(settings.classes.len()),
            outputs: Vec::new(),
            delivery_events: Vec::new(),
            settings,
        }
    }

    /// What the shell is to do since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.outputs);
        outputs.extend(self.delivery.take_outputs());
        outputs
    }

    /// What happened since the last call.
    pub fn delivery_events(&mut self) -> Vec<DeliveryEvent> {
        std::mem::take(&mut self.delivery_events)
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The endpoint list in force.
    pub fn list(&self) -> &EndpointList {
        self.endpoints.list()
    }

    /// Figures for the status page.
    pub fn status(&self) -> Status {
        let usage = self.in_flight.usage();
        let connections = self.delivery.connection_counts();
        let names = self.settings.classes.iter().map(|class| class.name.clone());
        Status {
            in_flight: usage.messages,
            in_flight_bytes: usage.bytes,
            calls: self.delivery.calls_out(),
            upstream_connections: connections.open,
            abandoned_connections: connections.abandoned,
            clients: self.clients.len(),
            paused_clients: self.clients.paused_count(),
            list_version: self.list().version,
            endpoints: self.list().entries.len(),
            draining: self.drain.is_draining(),
            classes: names.zip(self.counters.classes().iter().cloned()).collect(),
            attempts: self.counters.attempts(),
            decision_cycles: self.decisions.cycles(),
            expired_on_arrival: self.admission.expired_on_arrival(),
            clocks_ahead: self.admission.clocks_ahead(),
        }
    }

    // ---- Clocks

    /// The monotonic clock. It never goes back.
    pub fn clock(&mut self, now: Time) {
        self.clock.advance(now);
        self.delivery.set_clock(self.clock.now());
    }

    /// What the wall clock shows, in nanoseconds since 1970, at the last reading of [`Core::clock`]. It may be
    /// set; only what is read until the next reading is aged by it.
    pub fn wall_clock(&mut self, wall: Time) {
        self.clock.set_wall(wall);
    }

    /// What is read at this clock reading may have arrived at any time since then: the program may have stood
    /// still meanwhile. The time that messages have left is counted from the earliest.
    pub fn arrived_since(&mut self, since: Time) {
        self.clock.set_earliest_arrival(since);
    }

    // ---- The endpoint list

    /// An update of the endpoint list; nothing changes if it is invalid.
    pub fn update_endpoints(&mut self, update: &EndpointListUpdate) -> Result<(), InvalidDocument> {
        let updated = self.list().after(update, &self.settings)?;
        let entries = updated.library_entries;
        self.decisions.push(Event::EndpointList { complete: update.complete, entries });
        self.replace_list(updated.list);
        Ok(())
    }

    /// The endpoint list of a snapshot.
    pub fn restore(&mut self, list: EndpointList) -> Result<(), InvalidDocument> {
        let entries = list.library_entries(&self.settings)?;
        self.decisions.push(Event::EndpointList { complete: true, entries });
        self.replace_list(list);
        Ok(())
    }

    fn replace_list(&mut self, list: EndpointList) {
        self.endpoints.replace(list);
        let entries = self.endpoints.list().entries.values();
        let limits = entries.map(|entry| (entry.id, LimitKey::of(entry, &self.settings)));
        self.retry_after.set_limits(limits, |endpoint| self.delivery.is_connected(endpoint));
        for endpoint in self.delivery.connected_endpoints() {
            if !self.endpoints.is_ready(endpoint) {
                self.delivery.close_idle(endpoint);
            }
        }
    }

    // ---- One event-loop iteration

    /// When the next iteration is wanted at the latest.
    pub fn next_wakeup(&self) -> Time {
        // Overdue messages are completed a tick ahead, see `process`.
        let request_deadline =
            self.clients.next_deadline().map(|at| at.saturating_sub(self.decisions.tick()));
        let drain_deadline = self.drain.deadline().filter(|_| !self.in_flight.is_empty());
        self.decisions
            .next_cycle()
            .min(request_deadline.unwrap_or(Time::MAX))
            .min(self.delivery.next_deadline().unwrap_or(Time::MAX))
            .min(drain_deadline.unwrap_or(Time::MAX))
    }

    /// One iteration: expires attempts and connections, lets the library decide on all that came, carries out what
    /// it decided, and completes what is overdue.
    pub fn process(&mut self, now: Time) {
        self.clock(now);
        self.delivery.expire();
        self.collect_attempt_outcomes();
        if self.decisions.is_due(self.clock.now()) {
            self.decide();
        }
        for message in self.clients.overdue_messages(self.clock.now() + self.decisions.tick()) {
            self.complete_undecided(message);
        }
        if self.drain.is_over(self.clock.now()) {
            for message in self.in_flight.open_messages() {
                self.complete_undecided(message);
            }
        }
    }

    /// One decision cycle and what follows from it.
    fn decide(&mut self) {
        let now = self.clock.now();
        self.retry_after.expire(now);
        for action in self.decisions.decide(now) {
            self.carry_out(action);
        }
        let endpoints = &self.endpoints;
        self.delivery.dispatch(|endpoint| endpoints.address(endpoint));
        self.collect_attempt_outcomes();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { message, endpoint, until } => self.start_attempt(message, endpoint, until),
            Action::Cancel { message, attempt } => self.cancel_attempt(message, attempt),
            Action::Reject { message, retry_after } => self.reject(message, retry_after),
            Action::Fail { message } => self.fail(message),
            Action::CloseIdle { endpoint } => self.delivery.close_idle(endpoint),
            Action::WakeUp { at } => self.decisions.set_wake_up(at),
            Action::LimitChanged(change) => {
                self.delivery_events.push(DeliveryEvent::LimitChanged(change));
            }
            // The settings reject what would make these come; should one come all the same, it is reported.
            other @ (Action::HealthCheck { .. } | Action::Gossip { .. } | Action::WatchEndpoints) => {
                self.delivery_events.push(DeliveryEvent::UnsupportedAction(other));
            }
        }
    }

    // ---- Graceful shutdown

    /// Accepts nothing new from now on. What is still in flight at `deadline` ends then, by its class's rules.
    pub fn begin_drain(&mut self, deadline: Time) {
        self.drain.begin(deadline);
    }

    /// Every message has its final answer and every request its response.
    pub fn is_done(&self) -> bool {
        self.in_flight.is_empty() && self.clients.all_answered()
    }
}
