//! Inputs of the core: the clock, events of connections, signals and the state of the journal.
//!
//! An input changes only the state of the part that handles it. Requests are answered and attempts are sent
//! by the next [`Core::process`].

use super::client_connections::{Arrival, ClientId, Received};
use super::connection_pool::ConnectionId;
use super::effects::{CoreEvent, Output};
use super::request::RequestError;
use super::{Core, JournalState};
use linnetcart::{Event, Time};
use linnetcart_net::ConnectFailure;

impl Core {
    /// Advances the clock. Must be called before the inputs that arrived by `now`.
    pub fn advance_clock(&mut self, now: Time) {
        self.clock.advance(now);
        self.shutdown.advance(self.clock.now());
    }

    /// Sets the earliest monotonic time at which the following inputs can have arrived: the time at which the
    /// previous poll, which did not find them, began to read. The process may have been held up since then, so the
    /// time remaining of messages counts from it. Must be called after [`Core::advance_clock`].
    pub fn inputs_arrived_since(&mut self, since: Time) {
        self.clock.set_input_since(since);
    }

    /// A client connected. If that exceeds the maximum number of client connections, the next iteration closes
    /// (evicts) one after it has read all requests.
    pub fn client_opened(&mut self, id: ClientId) {
        self.clients.opened(id, self.clock.now());
    }

    /// A client sent bytes.
    pub fn client_received(&mut self, id: ClientId, bytes: &[u8]) {
        let arrival = Arrival { earliest: self.clock.input_since(), read_at: self.clock.now() };
        if self.clients.receive(id, bytes, arrival) == Received::Malformed {
            self.read_request(id);
        }
        while let Some(largest) = self.clients.over_memory() {
            self.refuse_invalid(largest, RequestError::TooManyBytes);
        }
    }

    /// A client shut down its sending side. A complete request that the client sent before is still
    /// answered in the next iteration.
    pub fn client_half_closed(&mut self, id: ClientId) {
        self.clients.half_closed(id);
    }

    /// A client's connection was closed by the client or by the kernel.
    pub fn client_closed(&mut self, id: ClientId) {
        self.clients.closed(id);
    }

    /// A connection to an endpoint or to discovery was established.
    pub fn upstream_connected(&mut self, id: ConnectionId) {
        if self.discovery.owns(id) {
            let request = self.discovery.connected(self.clock.now());
            self.effects.output(Output::SendUpstream(id, request.into()));
        } else if self.notifier.owns(id) {
            self.notifier.connected(id);
        } else {
            self.pool.connected(id);
        }
    }

    /// A connection to an endpoint or to discovery could not be established.
    pub fn upstream_connect_failed(&mut self, id: ConnectionId, failure: ConnectFailure) {
        if self.discovery_connect_failed(id, failure) {
            return;
        }
        if let Some(finished) = self.pool.connect_failed(id, failure) {
            self.finish_attempt(finished);
        }
    }

    /// A connection to an endpoint or to discovery ended. `written` is the number of bytes that the kernel
    /// had accepted on it since the connect.
    pub fn upstream_disconnected(&mut self, id: ConnectionId, written: u64) {
        if self.discovery_disconnected(id) {
            return;
        }
        if let Some(finished) = self.pool.disconnected(id, written, self.clock.now()) {
            self.finish_attempt(finished);
        }
    }

    /// Bytes arrived on a connection to an endpoint or to discovery. `written` is the number of bytes that the
    /// kernel had accepted on it since the connect when they were read.
    pub fn upstream_received(&mut self, id: ConnectionId, bytes: &[u8], written: u64) {
        if self.discovery.owns(id) {
            self.watch_received(id, bytes, written);
        } else if self.notifier.owns(id) {
            self.notifier_received(id, bytes, written);
        } else {
            let finished = self.pool.receive(id, bytes, written, self.clock.now(), &self.settings);
            let freed = self.pool.free_memory();
            self.report_unattributed();
            for finished in finished.into_iter().chain(freed) {
                self.finish_attempt(finished);
            }
        }
    }

    /// Counts and logs the responses of endpoints that were not certainly those of an attempt.
    fn report_unattributed(&mut self) {
        for response in self.pool.take_unattributed() {
            self.counters.unattributed += 1;
            let attempt = response.attempt;
            let message = attempt.and_then(|attempt| self.in_flight.get(attempt.message));
            self.effects.event(CoreEvent::ResponseUnattributed {
                message: message.map(|message| message.message().id_text().into_owned()),
                attempt: attempt.map(|attempt| attempt.number),
                connection: response.connection,
                endpoint: response.endpoint,
                attribution: response.attribution,
            });
        }
    }

    /// A termination signal arrived: begins the graceful shutdown.
    pub fn begin_shutdown(&mut self) {
        self.shutdown.signal(self.clock.now());
    }

    /// Sets whether records can be written to the journal, and informs the decision library of a change.
    pub(super) fn set_journal_state(&mut self, state: JournalState) {
        if self.journal == state {
            return;
        }
        self.journal = state;
        let available = state == JournalState::Writable;
        self.decisions.push(Event::RecordingChanged { available });
    }
}
