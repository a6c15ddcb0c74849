//! Delivery: calls to endpoints and the connections that carry them.
//!
//! A call is one Produce request with one or more messages. It occupies a slot until each of its messages has
//! an outcome. A written call becomes abandoned when its last message is cancelled or times out. From then on
//! it occupies its connection only: nothing else is sent there until the response has arrived, and the
//! connection is closed if none arrives within the idle timeout.
//!
//! The first request on a new connection asks which API versions the endpoint offers. An endpoint at its
//! connection limit may accept a connection and close it at once, so only the response to that request shows
//! that the connection works. A message that waited for it is known not to have been executed.
//!
//! Delivery owns calls, attempts and upstream connections. Which message is sent when and to which endpoint
//! is the decision library's choice.

mod calls;
mod connections;
mod dispatch;
mod outcomes;
mod produce;
mod responses;
mod upstream;

pub(crate) use calls::AttemptId;
pub(crate) use connections::ConnectionCounts;

use super::error::ProtocolError;
use super::Output;
use calls::CallTable;
use connections::ConnectionPool;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::idle_reuse::MaxIdlePolicy;
use linnetcart_courier_common::memory_budget::MemoryAccount;
use linnetcart_kafka::{LoadReport, Record};

/// The id of a connection to an endpoint. The core assigns it.
pub type UpstreamId = u64;

type CallId = u64;

/// The correlation id of the version request (ApiVersions), the first on a connection. The correlation ids of
/// calls begin at 1.
const VERSION_REQUEST: i32 = 0;
/// The version of ApiVersions that the version request uses, the oldest, so that any endpoint can parse it.
const VERSION_REQUEST_VERSION: i16 = 0;
/// The outcome of an attempt that was not sent, for a reason other than a lack of slots.
const NOT_SENT: AttemptOutcome = AttemptOutcome::NotSent { no_capacity: false };

/// An attempt's message as delivery needs it: the record, its class and destination, and the times by which
/// it must be written and answered.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingMessage {
    pub(crate) attempt: AttemptId,
    pub(crate) class: u8,
    pub(crate) destination: u32,
    pub(crate) record: Record,
    /// When the attempt times out, by the monotonic clock.
    pub(crate) deadline: Time,
    /// When the attempt is given up if it has not been written, early enough for its message to be rejected
    /// before the message's deadline.
    pub(crate) write_by: Time,
}

impl OutgoingMessage {
    /// Returns when the attempt is given up if it has not been written: `min(write_by, deadline)`, by the
    /// monotonic clock.
    fn write_deadline(&self) -> Time {
        self.write_by.min(self.deadline)
    }
}

/// An attempt that has its outcome.
#[derive(Clone, Debug)]
pub(crate) struct FinishedAttempt {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: u32,
    pub(crate) outcome: AttemptOutcome,
    /// When the attempt's call was opened, by the monotonic clock.
    pub(crate) started_at: Time,
    /// The load report of the response; `None` if the response has none or there was no response.
    pub(crate) load: Option<LoadReport>,
}

/// An attempt that is about to be written to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) attempt: AttemptId,
    pub(crate) endpoint: u32,
}

/// A protocol violation by an endpoint. The connection was closed because of it.
#[derive(Debug)]
pub(crate) struct EndpointViolation {
    pub(crate) endpoint: u32,
    pub(crate) error: ProtocolError,
}

/// The settings of delivery: limits, timeouts, and the names in requests.
#[derive(Clone, Debug)]
pub(crate) struct DeliverySettings {
    /// The number of slots: how many calls that are not abandoned may be in flight at once.
    pub(crate) max_calls: usize,
    /// How many calls without a response a connection may carry.
    pub(crate) calls_per_connection: usize,
    /// How long a connection stays open while it carries no call or only abandoned ones, in nanoseconds.
    pub(crate) idle_timeout: Time,
    /// How long it may take to establish a connection and to get the version request answered, in
    /// nanoseconds.
    pub(crate) connect_timeout: Time,
    pub(crate) max_frame_bytes: usize,
    /// The memory that responses of endpoints may take, in bytes.
    pub(crate) response_memory: usize,
    /// The client id in requests of this courier.
    pub(crate) client_name: String,
    /// The topic of each class, by class number.
    pub(crate) topics: Vec<String>,
}

impl DeliverySettings {
    fn topic(&self, class: u8) -> &str {
        self.topics.get(usize::from(class)).map_or("", String::as_str)
    }
}

/// Allocates the ids of calls and connections, from one sequence.
#[derive(Debug)]
struct IdSequence {
    last: u64,
}

impl IdSequence {
    fn next_id(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// All calls and connections to endpoints, and the results that the core has not taken yet.
#[derive(Debug)]
pub(crate) struct Delivery {
    settings: DeliverySettings,
    now: Time,
    ids: IdSequence,
    /// How long a connection may have been idle and still be reused. Each connection lost after an idle
    /// period shortens that time.
    connection_reuse: MaxIdlePolicy,
    calls: CallTable,
    connections: ConnectionPool,
    /// The bytes of responses of endpoints that are not complete.
    response_memory: MemoryAccount,
    finished: Vec<FinishedAttempt>,
    /// Rejections of abandoned calls whose response has a Retry-After.
    late_rejections: Vec<FinishedAttempt>,
    /// Attempts that were given up and whose response reports that their message was served.
    late_successes: Vec<AttemptId>,
    violations: Vec<EndpointViolation>,
    outputs: Vec<Output>,
}

impl Delivery {
    pub(crate) fn new(settings: DeliverySettings) -> Self {
        Delivery {
            connection_reuse: MaxIdlePolicy::new(settings.idle_timeout),
            response_memory: MemoryAccount::new(settings.response_memory),
            settings,
            now: 0,
            ids: IdSequence { last: 1 },
            calls: CallTable::default(),
            connections: ConnectionPool::default(),
            finished: Vec::new(),
            late_rejections: Vec::new(),
            late_successes: Vec::new(),
            violations: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// Sets the monotonic clock, in nanoseconds.
    pub(crate) fn set_clock(&mut self, now: Time) {
        self.now = now;
    }

    /// Returns how many slots are occupied: the calls in flight that are not abandoned.
    pub(crate) fn occupied_slots(&self) -> usize {
        self.calls.occupied_slots()
    }

    pub(crate) fn connection_counts(&self) -> ConnectionCounts {
        self.connections.counts()
    }

    /// Returns the endpoints with a connection that is open or being established.
    pub(crate) fn connected_endpoints(&self) -> Vec<u32> {
        self.connections.endpoints()
    }

    /// Returns whether a connection to the endpoint is open or being established.
    pub(crate) fn is_connected(&self, endpoint: u32) -> bool {
        self.connections.has_endpoint(endpoint)
    }

    /// Returns whether an attempt of the message is in flight that has been written to its connection.
    pub(crate) fn has_written_attempt(&self, message: u32) -> bool {
        self.calls.has_written_attempt(message)
    }

    /// Returns when [`Delivery::expire`] must run next, by the monotonic clock: the earliest time at which an
    /// attempt or a connection must be checked for a timeout. `None` if there are neither attempts nor
    /// connections.
    pub(crate) fn next_deadline(&self) -> Option<Time> {
        let attempt = self.calls.next_deadline();
        let connection = self.connections.next_timeout();
        attempt.into_iter().chain(connection).min()
    }

    /// Removes and returns the attempts that have finished.
    pub(crate) fn take_finished(&mut self) -> Vec<FinishedAttempt> {
        std::mem::take(&mut self.finished)
    }

    /// Removes and returns the rejections with a Retry-After that arrived for abandoned calls.
    pub(crate) fn take_late_rejections(&mut self) -> Vec<FinishedAttempt> {
        std::mem::take(&mut self.late_rejections)
    }

    /// Removes and returns the attempts that were given up and whose response reports a success.
    pub(crate) fn take_late_successes(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.late_successes)
    }

    /// Removes and returns the protocol violations of endpoints.
    pub(crate) fn take_violations(&mut self) -> Vec<EndpointViolation> {
        std::mem::take(&mut self.violations)
    }

    /// Removes and returns the instructions for the shell.
    pub(crate) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}
