//! The order in which requests are parsed: that of their arrival, except that a complete request waits for an incomplete one
//! that has named its id earlier.

use super::{ClientConnections, ClientId};
use crate::core::clock::MILLISECOND;
use crate::core::request::first_named_id;
use linnetcart::Time;

/// Maximum time that a complete request waits for an incomplete one that has named its id earlier. Together with a
/// process that is held up it is less than the 400 ms that a client waits for its answer.
pub const MAX_DEFERRAL: Time = 150 * MILLISECOND;
/// A request waits at most 1 / `DEFERRAL_DIVISOR` of the time that its message has left.
const DEFERRAL_DIVISOR: Time = 4;

impl ClientConnections {
    /// Whether a connection has bytes that no iteration has parsed, or a request that is deferred.
    pub(super) fn is_unread_or_deferred(&self, id: ClientId) -> bool {
        self.deferred.contains(&id) || self.connections.get(&id).is_some_and(|client| client.is_unread)
    }

    /// Reserves the id that a request names, once its line has arrived.
    pub(super) fn reserve_named_id(&mut self, id: ClientId) {
        let Some(client) = self.connections.get_mut(&id) else { return };
        if client.reservation.is_none() {
            let named = first_named_id(client.request.bytes());
            client.reservation = named.map(|named| self.reservations.reserve(&named));
        }
    }

    pub(super) fn release_id(&mut self, id: ClientId) {
        let reservation = self.connections.get_mut(&id).and_then(|client| client.reservation.take());
        if let Some(reservation) = reservation {
            self.reservations.release(reservation);
        }
    }

    /// Whether another connection's request has named the same id earlier and is not answered.
    fn is_preceded(&self, id: ClientId) -> bool {
        let reservation = self.connections.get(&id).and_then(|client| client.reservation);
        reservation.is_some_and(|reservation| self.reservations.is_preceded(reservation))
    }

    /// Defers a connection's complete request while another one that has named its id earlier is incomplete: for
    /// [`MAX_DEFERRAL`] at most, or a part of the time that its message has left, and only while there is memory for it.
    /// Returns whether it is deferred.
    pub fn defer(&mut self, id: ClientId, time_remaining: Time, now: Time) -> bool {
        let is_preceded = self.is_preceded(id) && !self.is_memory_half_used();
        let Some(client) = self.connections.get_mut(&id).filter(|_| is_preceded) else { return false };
        let longest = MAX_DEFERRAL.min(time_remaining / DEFERRAL_DIVISOR);
        if *client.deferred_until.get_or_insert(now + longest) <= now {
            return false;
        }
        self.deferred.push(id);
        true
    }

    /// Returns until when a connection's request is deferred: 0 if it need not wait any longer.
    fn deferred_until(&self, id: ClientId) -> Time {
        if !self.is_preceded(id) || self.is_memory_half_used() {
            return 0;
        }
        self.connections.get(&id).and_then(|client| client.deferred_until).unwrap_or(0)
    }

    /// Returns when the first deferred request is due to be read again; `None` if none is deferred.
    pub fn next_deferred(&self) -> Option<Time> {
        self.deferred.iter().map(|&id| self.deferred_until(id)).min()
    }

    /// Passes the deferred requests that are due at `now` to the next parsing, behind those that have just arrived.
    pub fn resume_deferred(&mut self, now: Time) {
        let deferred = std::mem::take(&mut self.deferred);
        let (due, waiting) = deferred.into_iter().partition(|&id| self.deferred_until(id) <= now);
        self.deferred = waiting;
        let due: Vec<ClientId> = due;
        for id in due {
            self.mark_unread(id);
        }
    }

    pub(super) fn mark_unread(&mut self, id: ClientId) {
        let Some(client) = self.connections.get_mut(&id) else { return };
        if !client.is_unread {
            client.is_unread = true;
            self.unread.push_back(id);
        }
    }

    /// Whether connections have received bytes that no iteration has parsed.
    pub fn has_unread(&self) -> bool {
        !self.unread.is_empty()
    }

    /// Whether connections have received bytes that no iteration has parsed, or requests that are deferred.
    pub fn has_unread_or_deferred(&self) -> bool {
        self.has_unread() || !self.deferred.is_empty()
    }

    /// Takes the next connection with bytes that no iteration has parsed, in the order in which those arrived.
    pub fn take_unread(&mut self) -> Option<ClientId> {
        let id = self.unread.pop_front()?;
        if let Some(client) = self.connections.get_mut(&id) {
            client.is_unread = false;
        }
        Some(id)
    }
}
