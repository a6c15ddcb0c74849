//! The ends of client connections: after an answer, at their time limits, at the maximum number of connections and in
//! the shutdown. One from which a part of a request was read is answered, unless its client sends no more.

use super::client_connections::{ClientId, Eviction, ExpiredClient, IdlePolicy};
use super::effects::{CoreEvent, Output};
use super::request::RequestError;
use super::Core;

/// Why a client's connection is closed. Written to the log by variant name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientCloseReason {
    /// The answer to the last request on the connection is queued.
    Answered,
    /// The client shut down its sending side, and its last complete request is answered.
    HalfClosed,
    /// No request is in progress, and the idle timeout or the shutdown requires the close.
    Idle,
}

impl Core {
    /// Closes connections on which the client has shut down its sending side. Complete requests on them were
    /// answered earlier in this iteration.
    pub(super) fn close_half_closed(&mut self) {
        for id in self.clients.take_half_closed() {
            self.close_client(id, ClientCloseReason::HalfClosed);
        }
    }

    /// Closes idle connections and answers incomplete requests with 408, once they have timed out. From
    /// [`Phase::Draining`](super::shutdown::Phase::Draining) on, closes every idle connection and the
    /// listener.
    pub(super) fn sweep_clients(&mut self) {
        if !self.clients.begin_sweep(self.clock.now()) {
            return;
        }
        let idle = if self.shutdown.closes_after_answer() { IdlePolicy::Close } else { IdlePolicy::Keep };
        for client in self.clients.expired(self.clock.now(), idle) {
            match client {
                ExpiredClient::Idle(id) => self.close_client(id, ClientCloseReason::Idle),
                ExpiredClient::InRequest(id) => self.refuse_invalid(id, RequestError::TimedOut),
            }
        }
        if self.shutdown.close_listener() {
            self.effects.output(Output::StopListening);
        }
    }

    /// Ends connections beyond the maximum number, now that the requests on them are read.
    pub(super) fn evict_clients(&mut self) {
        while let Some(eviction) = self.clients.evict(self.clock.now()) {
            match eviction {
                Eviction::Close(evicted) => {
                    self.counters.evicted_clients += 1;
                    self.effects.event(CoreEvent::ClientEvicted(evicted));
                    self.effects.output(Output::CloseClient(evicted.client));
                }
                Eviction::Refuse(client) => self.refuse_invalid(client, RequestError::TooManyConnections),
            }
        }
    }

    pub(super) fn close_client(&mut self, id: ClientId, reason: ClientCloseReason) {
        tracing::debug!(client = id, ?reason, "client connection closed");
        let is_cut_off = self.clients.is_cut_off(id);
        self.clients.closed(id);
        let close = if is_cut_off { Output::CloseRefusedClient(id) } else { Output::CloseClient(id) };
        self.effects.output(close);
    }
}
