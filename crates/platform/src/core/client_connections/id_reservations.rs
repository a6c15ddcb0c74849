//! The order in which requests have named their ids: an id is reserved for the request that named it first, until that
//! request is answered, passed to a decision, or its connection ends.
//!
//! Ids are compared by digest. A collision only makes a request wait that need not.

use crate::records::digest;
use std::collections::BTreeSet;

/// The place of a request among those that name the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdReservation {
    id_digest: u64,
    /// Increases with each reservation of any id.
    order: u64,
}

/// The reservations of all requests that have named their id and are not answered, at most one for each connection.
#[derive(Debug, Default)]
pub struct IdReservations {
    next_order: u64,
    reservations: BTreeSet<IdReservation>,
}

impl IdReservations {
    /// Adds a request behind all others that name this id.
    pub fn reserve(&mut self, id: &[u8]) -> IdReservation {
        let reservation = IdReservation { id_digest: digest(&[id]), order: self.next_order };
        self.next_order += 1;
        self.reservations.insert(reservation);
        reservation
    }

    /// Removes a reservation.
    pub fn release(&mut self, reservation: IdReservation) {
        self.reservations.remove(&reservation);
    }

    /// Whether another request has named the id earlier and is not answered.
    pub fn is_preceded(&self, reservation: IdReservation) -> bool {
        let first = IdReservation { order: 0, ..reservation };
        self.reservations.range(first..reservation).next().is_some()
    }
}
