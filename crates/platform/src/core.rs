//! The courier's protocol and delivery logic as a state machine free of I/O: it opens no socket or file and
//! reads no clock. The shell passes in received bytes, connection events and the time, and executes the
//! outputs.
//!
//! Any number of inputs may be given before [`Core::process`], which is one iteration of the event loop: it
//! passes all queued events to the decision library at once and executes the actions that the library
//! returns. The shell then tries to append the iteration's records to the journal and reports the result
//! ([`Core::records_written`] or [`Core::records_not_written`]) before it takes the outputs (write-ahead
//! logging).
//!
//! Each part of the core owns its state and every transition of that state:
//!
//! | part | owns |
//! | --- | --- |
//! | `client_connections` | connections of clients and their timeouts |
//! | `admission`, `request` | parsing and validation of requests, clients whose message is not decided yet |
//! | `in_flight` | messages in flight, their deadlines and their size in the journal |
//! | `ended_ids`, `deduplication` | ids of ended messages, each for some time after its message's deadline |
//! | `attempts` | attempts in flight, cooldowns of ordering keys |
//! | `connection_pool` | connections to endpoints: connecting, in use, idle or abandoned |
//! | `discovery` | the watch on the endpoint list, its version and reconnect backoff, the list |
//! | `status_notifier` | unacknowledged notifications, batches, retries |
//! | `decisions` | the decision library, the events queued for it, the time of its next wake-up |
//! | `shutdown` | the phases of the graceful shutdown and their time limits |
//! | `recovery` | restoring the state from the journal, and the snapshot for a new journal file |
//!
//! These modules connect the parts: `inputs` (events from the shell), `iteration` (the order of steps in one
//! iteration), `submission` (from a client's request to the response), `known_ids` (submissions whose id is known),
//! `invalid_requests` (requests that submit no message), `client_closing` (the ends of client connections), `delivery`
//! (from a decision to the outcome of an attempt), `send_check` (the last check of an attempt before it is sent),
//! `completion` (final outcomes of messages), `discovery_traffic` (the watch and status notifications) and `unrecorded`
//! (undoing effects whose records could not be written).

mod admission;
mod attempts;
mod client_closing;
mod client_connections;
mod clock;
mod completion;
mod connection_pool;
mod counters;
mod decisions;
mod deduplication;
mod delivery;
mod discovery;
mod discovery_traffic;
mod effects;
mod ended_ids;
mod in_flight;
mod inputs;
mod invalid_requests;
mod iteration;
mod key_cooldowns;
mod known_ids;
mod reconnect;
mod recovery;
mod request;
mod send_check;
mod shutdown;
mod status_notifier;
mod submission;
mod unrecorded;
mod upstream_request;

pub use client_connections::{ClientId, EvictedClient, EvictedState};
pub use clock::MILLISECOND;
pub use connection_pool::ConnectionId;
pub use counters::{Counters, NotificationCounts, OutcomeCounts, RecoveryCounts, Sizes};
pub use discovery::WatchError;
pub use effects::{CoreEvent, Output};
pub use status_notifier::NotificationError;

use crate::config::{Config, WatchEvent};
use crate::records::{Record, Replay};
use admission::Admission;
use attempts::Attempts;
use client_connections::ClientConnections;
use clock::Clock;
use connection_pool::ConnectionPool;
use decisions::DecisionCycle;
use discovery::DiscoveryClient;
use effects::Effects;
use ended_ids::EndedIds;
use in_flight::InFlightTable;
use linnetcart::{Dispatcher, Time};
use linnetcart_deployment_settings::DeploymentSettings;
use recovery::Recovery;
use shutdown::{Phase, Shutdown};
use status_notifier::StatusNotifier;

/// File descriptors reserved for everything but connections of clients and to endpoints: listener, event
/// loop, signals, the watch and up to eight connections for notifications, journal and logs.
const RESERVED_FILE_DESCRIPTORS: usize = 24;

/// Whether records can be written to the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JournalState {
    /// Records can be written.
    Writable,
    /// No record can be written: no message is accepted, and no attempt is sent that needs a record.
    Unwritable,
}

/// Maximum numbers of connections that the process keeps open at a time.
struct ConnectionLimits {
    /// Maximum number of connections of clients.
    clients: usize,
    /// Maximum number of connections to endpoints.
    upstream: usize,
}

impl ConnectionLimits {
    /// Allots half of the unreserved file descriptors to clients and the rest to endpoints.
    fn new(file_descriptors: usize) -> ConnectionLimits {
        let connections = file_descriptors.saturating_sub(RESERVED_FILE_DESCRIPTORS);
        let clients = connections / 2;
        ConnectionLimits { clients, upstream: connections - clients }
    }
}

/// The state of a courier process: its settings and the parts of the core.
pub struct Core {
    settings: DeploymentSettings,
    clock: Clock,
    journal: JournalState,
    clients: ClientConnections,
    admission: Admission,
    /// Maximum number of bytes of the requests that one iteration passes to the decision. The last one may exceed it.
    max_submitted_bytes: usize,
    in_flight: InFlightTable,
    ended_ids: EndedIds,
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
    /// Creates a courier with the state recovered from the journal. `now` is the monotonic time and `wall`
    /// the wall-clock time of the same moment, both in nanoseconds.
    pub fn new(config: Config, replay: Replay, now: Time, wall: Time) -> Core {
        let journal_capacity = config.limits.disk_bytes();
        let memory = config.limits.memory_budget();
        let max_connections = ConnectionLimits::new(config.limits.file_descriptors);
        // The library must not plan more concurrent calls than there are file descriptors for.
        let mut settings = config.settings.settings.clone();
        settings.max_in_flight_calls = settings.max_in_flight_calls.min(max_connections.upstream as u32);
        let longest_deadline = settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let mut core = Core {
            clock: Clock::new(now, wall),
            journal: JournalState::Writable,
            clients: ClientConnections::new(max_connections.clients, memory.requests, now),
            admission: Admission::default(),
            max_submitted_bytes: memory.iteration / 2,
            in_flight: InFlightTable::new(journal_capacity, memory.messages, replay.next_message),
            ended_ids: EndedIds::new(journal_capacity, memory.ended_ids, longest_deadline),
            attempts: Attempts::new(settings.key_cooldown),
            decisions: DecisionCycle::new(Dispatcher::new(settings, config.seed), now),
            pool: ConnectionPool::new(max_connections.upstream, memory.responses, &config.settings),
            discovery: DiscoveryClient::new(config.discovery, memory),
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

    /// Takes the records that were produced since the last call. [`Core::records_written`] or
    /// [`Core::records_not_written`] must be called before the outputs are taken.
    pub fn take_records(&mut self) -> Vec<Record> {
        self.effects.take_records()
    }

    /// Takes the outputs that the shell must execute, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        self.effects.take_outputs()
    }

    /// Takes the events for the operators' log that were produced since the last call.
    pub fn take_events(&mut self) -> Vec<CoreEvent> {
        self.effects.take_events()
    }

    /// Returns the counters since the start of this process.
    pub fn counters(&self) -> Counters {
        Counters { notifications: self.notifier.counts(), recovery: self.recovery.counts(), ..self.counters }
    }

    /// Returns the present numbers of entries in the core's tables.
    pub fn sizes(&self) -> Sizes {
        let pool = self.pool.size();
        Sizes {
            in_flight: self.in_flight.len(),
            unacknowledged: self.notifier.len(),
            endpoints: self.discovery.endpoints().len(),
            clients: self.clients.len(),
            upstream_connections: pool.connections,
            attempts: pool.attempts,
            request_bytes: self.clients.request_bytes(),
            in_flight_bytes: self.in_flight.held_bytes(),
            response_bytes: self.pool.response_bytes(),
            ended_ids: self.ended_ids.len(),
        }
    }

    /// Whether received requests take so much memory that they have to be processed before more input is read.
    pub fn must_process(&self) -> bool {
        self.clients.is_memory_half_used()
    }

    /// Whether the shutdown is complete and the program may exit.
    pub fn is_ended(&self) -> bool {
        self.shutdown.phase() == Phase::Ended
    }

    /// Returns when the next iteration is due if no input arrives earlier, in nanoseconds of monotonic time.
    pub fn next_wake(&self) -> Time {
        let in_initial_sync = self.in_initial_sync();
        if (self.decisions.has_events() || self.clients.has_unread()) && !in_initial_sync {
            return self.clock.now();
        }
        let next_decision = if in_initial_sync {
            self.decisions.initial_sync_until()
        } else {
            self.decisions.next_decision()
        };
        let next_deferred = self.clients.next_deferred().filter(|_| !in_initial_sync).unwrap_or(Time::MAX);
        next_decision
            .min(next_deferred.max(self.clock.now()))
            .min(self.clients.next_sweep())
            .min(self.pool.next_deadline())
            .min(self.discovery.next_wake())
            .min(self.notifier.next_wake())
            .min(self.attempts.next_wake(self.clock.now()))
    }

    /// Whether requests and decisions still wait for the first event of discovery: the cached endpoint list
    /// was stored by the previous process and may be outdated. The wait ends when discovery has synced, or
    /// after [`decisions::INITIAL_SYNC_TIMEOUT`].
    fn in_initial_sync(&self) -> bool {
        !self.discovery.has_synced() && !self.decisions.initial_sync_timed_out(self.clock.now())
    }
}

#[cfg(test)]
mod tests;
