//! The courier's core, a deterministic state machine without I/O ("sans I/O"): it takes bytes, connection
//! events and clock readings, and returns bytes to write, connections to open or close, and delivery events.
//! It has no sockets, files or clocks of its own. The same settings, start options and inputs always give the
//! same outputs.
//!
//! [`Core`] consists of its parts and defines the order of one event-loop iteration ([`Core::process`]). Each
//! part owns its state:
//!
//! | part | owns |
//! | --- | --- |
//! | `clock` | the clock readings of the iteration |
//! | `endpoints` | the endpoint list in force |
//! | `clients` | client connections, requests without a response, the order of responses |
//! | `admission` | validation of records, load shedding, generated message ids |
//! | `in_flight` | messages without a final answer, or with attempts in flight |
//! | `delivery` | attempts, calls and connections to endpoints |
//! | `retry_after` | for each limit, until when a Retry-After forbids sending |
//! | `decisions` | the decision policy and the events for its next cycle |
//! | `drain` | the state and deadline of graceful shutdown |
//! | `status` | counters of messages, by class, and of attempts |
//!
//! Any number of inputs may precede [`Core::process`], which passes all of them to the decision library in
//! one decision cycle and carries out the actions that it returns. After a stall of the process, the library
//! therefore sees every input before it sends anything.

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
mod interface;
mod requests;
mod responses;
mod retry_after;
mod status;
mod time_index;

pub use clients::ClientId;
pub use decisions::{library, DecisionPolicy, PolicyFactory};
pub use delivery::UpstreamId;
pub use interface::{Output, StartOptions};
pub use linnetcart_courier_common::memory_budget::MemoryBudget;
pub use linnetcart_net::ConnectFailure;
pub use status::{ClassCounters, HeldMemory, Status};

use crate::delivery_events::DeliveryEvent;
use crate::settings::{EndpointList, EndpointListUpdate, InvalidDocument, Settings};
use admission::Admission;
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
use retry_after::{EndpointLimit, LimitKey, RetryAfterTable};
use status::Counters;

/// Maximum number of bytes of the answers of one iteration, beyond which large requests wait for the next one.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// One courier: the parts of the module's table, and the outputs and delivery events that the shell has not
/// taken yet.
#[derive(Debug)]
pub struct Core {
    settings: Settings,
    /// Whether a message of each class may be executed more than once; the index is the class number.
    idempotency: Vec<Idempotency>,
    /// This courier as the only broker that Metadata responses list.
    broker: Broker,
    clock: ClockReadings,
    endpoints: EndpointDirectory,
    clients: ClientConnections,
    admission: Admission,
    in_flight: InFlightTable,
    /// The memory that messages in flight may take, in bytes.
    message_memory: usize,
    /// Number of bytes of answers after which large requests wait for the next iteration.
    max_answer_bytes: usize,
    /// Bytes of answers among the outputs.
    answer_bytes: usize,
    delivery: Delivery,
    retry_after: RetryAfterTable,
    decisions: DecisionCycle,
    drain: Drain,
    counters: Counters,
    outputs: Vec<Output>,
    delivery_events: Vec<DeliveryEvent>,
}

impl Core {
    /// Creates a courier with these settings, which must be valid, and an empty endpoint list.
    pub fn new(settings: Settings, start: StartOptions) -> Core {
        let library_settings = settings.library_settings();
        let delivery_settings = delivery_settings(&settings, &library_settings, start.memory);
        let name_prefix = format!("{}/{:x}/", settings.courier.index, start.run);
        let idempotency = library_settings.classes.iter().map(|class| class.idempotency).collect();
        let tick = library_settings.tick;
        let policy = (start.policy)(library_settings, start.seed);
        Core {
            idempotency,
            broker: Broker { id: settings.courier.index as i32, ..start.broker },
            clock: ClockReadings::new(start.now),
            endpoints: EndpointDirectory::default(),
            clients: ClientConnections::new(start.memory),
            admission: Admission::new(name_prefix),
            in_flight: InFlightTable::new(start.first_number),
            message_memory: start.memory.messages,
            max_answer_bytes: start.memory.iteration.min(MAX_ANSWER_BYTES),
            answer_bytes: 0,
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

    /// Removes and returns the instructions that the shell has not taken yet, in the order in which it must
    /// carry them out.
    pub fn outputs(&mut self) -> Vec<Output> {
        self.answer_bytes = 0;
        let mut outputs = std::mem::take(&mut self.outputs);
        outputs.extend(self.delivery.take_outputs());
        outputs
    }

    /// Removes and returns the delivery events since the last call. The shell counts and logs them.
    pub fn delivery_events(&mut self) -> Vec<DeliveryEvent> {
        std::mem::take(&mut self.delivery_events)
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the endpoint list in force.
    pub fn list(&self) -> &EndpointList {
        self.endpoints.list()
    }

    /// Returns the values that the status page shows.
    pub fn status(&self) -> Status {
        let usage = self.in_flight.usage();
        let connections = self.delivery.connection_counts();
        let names = self.settings.classes.iter().map(|class| class.name.clone());
        Status {
            in_flight: usage.messages,
            in_flight_bytes: usage.bytes,
            calls: self.delivery.occupied_slots(),
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

    /// Returns the memory that the parts hold whose growth is in the hands of clients and endpoints.
    pub fn held_memory(&self) -> HeldMemory {
        HeldMemory {
            request_bytes: self.clients.request_bytes(),
            message_bytes: self.in_flight.usage().held_bytes(),
            answer_bytes: self.clients.answer_bytes(),
            response_bytes: self.delivery.response_bytes(),
        }
    }

    // ---- Clocks

    /// Sets the monotonic clock, in nanoseconds. A reading before the last one is ignored. The earliest
    /// arrival ([`Core::arrived_since`]) becomes the same time.
    pub fn clock(&mut self, now: Time) {
        self.clock.advance(now);
        self.delivery.set_clock(self.clock.now());
    }

    /// Sets the wall clock, in nanoseconds since 1970, as of the last reading of [`Core::clock`]. The wall
    /// clock may go back: a reading is only compared with the timestamps of records that are read before the
    /// next reading.
    pub fn wall_clock(&mut self, wall: Time) {
        self.clock.set_wall(wall);
    }

    /// Sets the earliest time, by the monotonic clock, at which inputs that are read now can have arrived:
    /// the start of the last poll that did not return them. The process may have been stalled since then, so
    /// the time remaining of messages is counted from it.
    pub fn arrived_since(&mut self, since: Time) {
        self.clock.set_earliest_arrival(since);
    }

    // ---- The endpoint list

    /// Applies an update of the endpoint list.
    ///
    /// # Errors
    /// Fails if the update is not valid for the settings and the list in force. Nothing changes then.
    pub fn update_endpoints(&mut self, update: &EndpointListUpdate) -> Result<(), InvalidDocument> {
        let updated = self.list().with_update(update, &self.settings)?;
        let entries = updated.library_entries;
        self.decisions.push(Event::EndpointList { complete: update.complete, entries });
        self.replace_list(updated.list);
        Ok(())
    }

    /// Puts the endpoint list of a snapshot in force.
    ///
    /// # Errors
    /// Fails if the list does not fit the settings. Nothing changes then.
    pub fn restore(&mut self, list: EndpointList) -> Result<(), InvalidDocument> {
        let entries = list.library_entries(&self.settings)?;
        self.decisions.push(Event::EndpointList { complete: true, entries });
        self.replace_list(list);
        Ok(())
    }

    /// Puts a list in force, takes over its mapping of endpoints to limits, and closes idle connections to
    /// endpoints that are not ready.
    fn replace_list(&mut self, list: EndpointList) {
        self.endpoints.replace(list);
        let entries = self.endpoints.list().entries.values();
        let limits = entries
            .map(|entry| EndpointLimit { endpoint: entry.id, limit: LimitKey::of(entry, &self.settings) });
        self.retry_after.set_limits(limits, |endpoint| self.delivery.is_connected(endpoint));
        for endpoint in self.delivery.connected_endpoints() {
            if !self.endpoints.is_ready(endpoint) {
                self.delivery.close_idle(endpoint);
            }
        }
    }

    // ---- One event-loop iteration

    /// Returns when the next iteration must run at the latest, by the monotonic clock, or `Time::MAX` if no
    /// decision cycle, timeout or deadline is pending.
    pub fn next_wakeup(&self) -> Time {
        if self.clients.has_postponed() {
            return self.clock.now();
        }
        // Requests are completed a tick before their deadline, see `process`.
        let request_deadline =
            self.clients.next_deadline().map(|at| at.saturating_sub(self.decisions.tick()));
        let drain_deadline = self.drain.deadline().filter(|_| !self.in_flight.all_completed());
        self.decisions
            .next_cycle()
            .min(request_deadline.unwrap_or(Time::MAX))
            .min(self.delivery.next_deadline().unwrap_or(Time::MAX))
            .min(drain_deadline.unwrap_or(Time::MAX))
    }

    /// Runs one iteration: ends attempts and connections that have timed out, and runs a decision cycle if
    /// one is due. Then it completes messages without a decision of the library: those of requests with
    /// `deadline <= now + tick` and of the requests before them on the same connection, and all messages once
    /// the drain deadline has passed.
    pub fn process(&mut self, now: Time) {
        self.clock(now);
        self.process_postponed();
        self.delivery.expire();
        self.collect_attempt_outcomes();
        if self.decisions.is_due(self.clock.now()) {
            self.decide();
        }
        for message in self.clients.overdue_messages(self.clock.now() + self.decisions.tick()) {
            self.force_complete(message);
        }
        if self.drain.is_over(self.clock.now()) {
            for message in self.in_flight.open_messages() {
                self.force_complete(message);
            }
        }
    }

    /// Runs one decision cycle and carries out the actions that it returns. The calls that the actions open
    /// are written after the last action, so that messages to one endpoint share calls.
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
            // Valid settings never lead to these actions. If one occurs nevertheless, it is reported.
            other @ (Action::HealthCheck { .. } | Action::Gossip { .. } | Action::WatchEndpoints) => {
                self.delivery_events.push(DeliveryEvent::UnsupportedAction(other));
            }
        }
    }

    // ---- Graceful shutdown

    /// Begins to drain: new messages are rejected from now on. Messages that are still in flight at
    /// `deadline`, by the monotonic clock, are rejected if it is harmless to submit them again, and failed
    /// otherwise.
    pub fn begin_drain(&mut self, deadline: Time) {
        self.drain.begin(deadline);
    }

    /// Returns whether every message has its final answer and every request its response.
    pub fn is_done(&self) -> bool {
        self.in_flight.all_completed() && self.clients.all_answered()
    }
}

fn delivery_settings(
    settings: &Settings,
    library_settings: &linnetcart::Settings,
    memory: MemoryBudget,
) -> DeliverySettings {
    DeliverySettings {
        response_memory: memory.responses,
        max_calls: settings.limits.max_calls as usize,
        calls_per_connection: settings.connections.max_calls as usize,
        idle_timeout: library_settings.idle_timeout,
        connect_timeout: library_settings.connect_timeout,
        max_frame_bytes: settings.limits.max_request_bytes,
        client_name: format!("linnetcart-edge-{}", settings.courier.index),
        topics: settings.classes.iter().map(|class| class.name.clone()).collect(),
    }
}
