//! The courier without its sockets, files and clock.
//!
//! Inputs may come in any number before [[`Core::process`]], which is one iteration of the event loop: it hands all of
//! them to the decision library at once and carries out what it decides. The records of an iteration go to the
//! journal before any of its outputs leave.
//!
//! The core is the order of its parts. Each part owns its state and every transition of it:
//!
//! | part | owns |
//! | --- | --- |
//! | `client_connections` | connections of clients and their timeouts |
//! | `admission`, `request` | parse of a request, its validation, what waits for a decision |
//! | `in_flight` | messages accepted and not yet done with, their deadlines, bytes held |
//! | `deduplication` | ids of completed messages until their deadline |
//! | `attempts` | attempts out, cooldowns of ordering keys |
//! | `connection_pool` | connections to endpoints: connecting, in use, idle, abandoned, closed |
//! | `discovery` | watch, versions, backoff, endpoint list |
//! | `status_notifier` | unacknowledged notifications, batches, retries |
//! | `decisions` | the library, the events for it, when it is asked next |
//! | `shutdown` | the phases of the shutdown and what ends each |
//! | `recovery` | records to state and back |
//!
//! What goes from part to part is in `submission` (requests to decisions), `delivery` (decisions to outcomes) and
//! `discovery_traffic` (the watch and notifications).

mod admission;
mod attempts;
mod client_connections;
mod clock;
mod connection_pool;
mod counters;
mod decisions;
mod deduplication;
mod delivery;
mod discovery;
mod discovery_traffic;
mod effects;
mod in_flight;
mod key_cooldowns;
mod reconnect;
mod recovery;
mod request;
mod shutdown;
mod status_notifier;
mod submission;
mod upstream_request;

pub use client_connections::ClientId;
pub use connection_pool::ConnectionId;
pub use counters::{Counters, NotificationCounts, OutcomeCounts, RecoveryCounts, Sizes};
pub use discovery::WatchError;
pub use effects::{CoreEvent, Output};
pub use status_notifier::NotificationError;

use crate::config::{Config, WatchEvent};
use crate::records::{Record, Replay};
use admission::Admission;
use attempts::Attempts;
use client_connections::{ClientConnections, Received};
use clock::Clock;
use connection_pool::ConnectionPool;
use decisions::DecisionCycle;
use deduplication::DeduplicationCache;
use discovery::DiscoveryClient;
use effects::Effects;
use in_flight::InFlightTable;
use linnetcart::{AttemptOutcome, Dispatcher, Time};
use linnetcart_deployment_settings::DeploymentSettings;
use recovery::Recovery;
use shutdown::{OutstandingWork, Phase, Shutdown};
use status_notifier::StatusNotifier;

/// File descriptors that are neither clients' nor endpoints': listener, loop, signals, discovery, journal, logs.
const RESERVED_FILE_DESCRIPTORS: usize = 24;

/// Whether the journal takes records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalState {
    /// It does.
    Writable,
    /// It does not: nothing may begin that depends on a record.
    Unwritable,
}

/// The courier.
pub struct Core {
    settings: DeploymentSettings,
    clock: Clock,
    journal: JournalState,
    clients: ClientConnections,
    admission: Admission,
    in_flight: InFlightTable,
    deduplication: DeduplicationCache,
    decisions: DecisionCycle,
    attempts: Attempts,
    pool: ConnectionPool,
    discovery: DiscoveryClient,
    notifier: StatusNotifier,
    recovery: Recovery,
    shutdown: Shutdown,
    effects: Effects,
    counters: Counters,
}

impl Core {
    /// A courier that goes on from what the journal holds. `wall` is the wall clock at `now`.
    pub fn new(config: Config, replay: Replay, now: Time, wall: Time) -> Core {
        let journal_capacity = config.limits.disk_bytes();
        let sockets = config.limits.file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS);
        let max_clients = sockets / 2;
        let max_upstream = sockets - max_clients;
        // The library is not given slots that there are no descriptors for.
        let mut settings = config.settings.settings.clone();
        settings.max_in_flight_calls = settings.max_in_flight_calls.min(max_upstream as u32);
        let mut core = Core {
            clock: Clock::new(now, wall),
            journal: JournalState::Writable,
            clients: ClientConnections::new(max_clients, now),
            admission: Admission::default(),
            in_flight: InFlightTable::new(journal_capacity, replay.next_message),
            deduplication: DeduplicationCache::new(journal_capacity),
            attempts: Attempts::new(settings.key_cooldown),
            decisions: DecisionCycle::new(Dispatcher::new(settings, config.seed), now),
            pool: ConnectionPool::new(max_upstream, &config.settings),
            discovery: DiscoveryClient::new(config.discovery),
            notifier: StatusNotifier::new(),
            recovery: Recovery::default(),
            shutdown: Shutdown::new(),
            effects: Effects::default(),
            counters: Counters::default(),
            settings: config.settings,
        };
        core.apply_watch_event(&WatchEvent { complete: true, ..config.cached_list });
        core.restore(replay);
        core
    }

    /// Takes the records since the last time; to be written before the outputs are carried out.
    pub fn take_records(&mut self) -> Vec<Record> {
        self.effects.take_records()
    }

    /// Takes what is to be done.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.effects.take_outputs()
    }

    /// Takes what operators should know of.
    pub fn take_events(&mut self) -> Vec<CoreEvent> {
        self.effects.take_events()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        Counters { notifications: self.notifier.counts(), recovery: self.recovery.counts(), ..self.counters }
    }

    /// How much there is of everything.
    pub fn sizes(&self) -> Sizes {
        let pool = self.pool.size();
        Sizes {
            in_flight: self.in_flight.len(),
            unacknowledged: self.notifier.len(),
            endpoints: self.discovery.endpoints().len(),
            clients: self.clients.len(),
            upstream_connections: pool.connections,
            attempts: pool.attempts,
        }
    }

    /// Nothing more is awaited: the program may end.
    pub fn is_ended(&self) -> bool {
        self.shutdown.phase() == Phase::Ended
    }

    /// When the next iteration is due at the latest.
    pub fn next_wake(&self) -> Time {
        let in_initial_sync = self.in_initial_sync();
        if self.decisions.has_events() && !in_initial_sync {
            return self.clock.now();
        }
        let next_decision = if in_initial_sync {
            self.decisions.initial_sync_until()
        } else {
            self.decisions.next_decision()
        };
        next_decision
            .min(self.clients.next_sweep())
            .min(self.pool.next_deadline())
            .min(self.discovery.next_wake())
            .min(self.notifier.next_wake())
            .min(self.attempts.next_wake(self.clock.now()))
    }

    /// The list that it has is of the process before, and discovery may know better: nothing is decided by it yet.
    fn in_initial_sync(&self) -> bool {
        self.decisions.in_initial_sync(self.clock.now()) && !self.discovery.has_synced()
    }

    // ---- Inputs

    /// The time; to be advanced before the inputs that came by then.
    pub fn advance_clock(&mut self, now: Time) {
        self.clock.advance(now);
        self.shutdown.advance(self.clock.now());
    }

    /// A client connected.
    pub fn client_opened(&mut self, id: ClientId) {
        if let Some(evicted) = self.clients.opened(id, self.clock.now()) {
            self.effects.output(Output::CloseClient(evicted));
        }
    }

    /// A client sent bytes.
    pub fn client_received(&mut self, id: ClientId, bytes: &[u8]) {
        if self.clients.receive(id, bytes, self.clock.now()) == Received::Malformed {
            self.read_request(id);
        }
    }

    /// A client sends no more; what it asked before is answered in this iteration.
    pub fn client_half_closed(&mut self, id: ClientId) {
        self.clients.half_closed(id);
    }

    /// A client's connection is closed.
    pub fn client_closed(&mut self, id: ClientId) {
        self.clients.closed(id);
    }

    /// A connection to an endpoint or to discovery was made.
    pub fn upstream_connected(&mut self, id: ConnectionId) {
        if self.discovery.owns(id) {
            let request = self.discovery.connected(self.clock.now());
            self.effects.output(Output::SendUpstream(id, request.into()));
        } else if self.notifier.owns(id) {
            self.notifier.connected();
        } else {
            self.pool.connected(id);
        }
    }

    /// A connection to an endpoint or to discovery could not be made.
    pub fn upstream_connect_failed(&mut self, id: ConnectionId) {
        if self.discovery_disconnected(id) {
            return;
        }
        if let Some(finished) = self.pool.connect_failed(id) {
            self.finish_attempt(finished);
        }
    }

    /// A connection to an endpoint or to discovery ended; the system took `written` bytes of ours on it.
    pub fn upstream_disconnected(&mut self, id: ConnectionId, written: u64) {
        if self.discovery_disconnected(id) {
            return;
        }
        if let Some(finished) = self.pool.disconnected(id, written, self.clock.now()) {
            self.finish_attempt(finished);
        }
    }

    /// Bytes came on a connection to an endpoint or to discovery.
    pub fn upstream_received(&mut self, id: ConnectionId, bytes: &[u8]) {
        if self.discovery.owns(id) {
            self.watch_received(id, bytes);
        } else if self.notifier.owns(id) {
            self.notifier_received(id, bytes);
        } else if let Some(finished) = self.pool.receive(id, bytes, self.clock.now(), &self.settings) {
            self.finish_attempt(finished);
        }
    }

    /// The signal to end came.
    pub fn begin_shutdown(&mut self) {
        self.shutdown.signal(self.clock.now());
    }

    /// The journal takes no more records, or takes them again.
    pub fn set_journal_state(&mut self, state: JournalState) {
        self.journal = state;
    }

    // ---- An iteration

    /// One iteration of the event loop: one decision on all that came, and what follows from it.
    pub fn process(&mut self, now: Time) {
        self.advance_clock(now);
        self.expire();
        // What clients ask waits for a decision that can say what becomes of it.
        let in_initial_sync = self.in_initial_sync();
        if !in_initial_sync {
            self.read_requests();
        }
        if !self.shutdown.allows_decisions() {
            self.stop_decisions();
        } else if !in_initial_sync && self.decisions.is_due(self.clock.now()) {
            self.decide();
        }
        self.start_ready_attempts();
        if !in_initial_sync {
            self.close_half_closed();
        }
        self.poll_discovery();
        self.poll_notifier();
        self.sweep_clients();
        self.put_closes_first();
        self.finish_shutdown();
    }

    /// Ends attempts whose connection or own deadline has run out of time.
    fn expire(&mut self) {
        let now = self.clock.now();
        for finished in self.pool.close_overdue(now) {
            self.finish_attempt(finished);
        }
        for id in self.attempts.expired(now) {
            self.cancel_attempt(id, AttemptOutcome::TimedOut);
        }
    }

    fn read_requests(&mut self) {
        for id in self.clients.take_unread() {
            self.read_request(id);
        }
    }

    fn decide(&mut self) {
        let mut recovered = Vec::new();
        for number in self.recovery.take_undecided() {
            if let Some(message) = self.in_flight.get(number) {
                recovered.push(recovery::recovered_event(number, message, self.clock));
            }
        }
        let actions = self.decisions.decide(self.clock.now(), recovered);
        self.answer_decided(&actions);
        for action in actions {
            self.execute(action);
        }
    }

    /// What still comes is accepted for the next process. What has no connection yet is for it, too: nothing begins
    /// that cannot end.
    fn stop_decisions(&mut self) {
        self.decisions.stop();
        self.answer_decided(&[]);
        for id in self.attempts.ids() {
            if !self.pool.is_sent(id) {
                self.cancel_attempt(id, AttemptOutcome::Cancelled);
            }
        }
    }

    fn close_half_closed(&mut self) {
        for id in self.clients.take_half_closed() {
            self.close_client(id);
        }
    }

    fn put_closes_first(&mut self) {
        let closed = self.pool.take_closed();
        let abandoned = self.pool.take_abandoned();
        self.effects.put_closes_first(&closed, &abandoned);
    }

    fn finish_shutdown(&mut self) {
        let idle = self.attempts.is_empty() && self.notifier.len() == 0;
        let work = if idle { OutstandingWork::None } else { OutstandingWork::Some };
        self.shutdown.finish(self.clock.now(), work);
    }
}

#[cfg(test)]
mod tests;
