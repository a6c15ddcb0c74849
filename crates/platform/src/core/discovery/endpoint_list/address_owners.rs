//! Which endpoint each address belongs to: the one to which the endpoint list gave it last. A process whose address
//! has been given to another endpoint is gone, whether or not the list says so.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// When the list gave an address to an endpoint; the greatest claim to an address is the valid one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AddressClaim {
    /// Number of the event that first listed the endpoint with this address and start.
    pub event: u64,
    /// When the endpoint last started, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Position of the entry in the event.
    pub position: usize,
}

/// The result of a claim to an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The address belongs to the endpoint, and belonged to no other.
    Owned,
    /// The address belongs to the endpoint now, and no longer to this one.
    Supersedes(u32),
    /// The address was given to another endpoint later.
    Superseded,
}

#[derive(Clone, Copy, Debug)]
struct Owner {
    number: u32,
    claim: AddressClaim,
}

/// The endpoint that each address belongs to.
#[derive(Debug, Default)]
pub struct AddressOwners {
    owners: BTreeMap<SocketAddr, Owner>,
}

impl AddressOwners {
    /// Claims an address for an endpoint.
    pub fn claim(&mut self, address: SocketAddr, number: u32, claim: AddressClaim) -> ClaimResult {
        let previous = self.owners.get(&address).copied().filter(|owner| owner.number != number);
        if previous.is_some_and(|owner| owner.claim > claim) {
            return ClaimResult::Superseded;
        }
        self.owners.insert(address, Owner { number, claim });
        previous.map_or(ClaimResult::Owned, |owner| ClaimResult::Supersedes(owner.number))
    }

    /// Releases the address of an endpoint that has left or moved, if it belongs to that endpoint.
    pub fn release(&mut self, address: SocketAddr, number: u32) {
        if self.owners.get(&address).is_some_and(|owner| owner.number == number) {
            self.owners.remove(&address);
        }
    }
}
