//! Connections to endpoints: which ones are accepted, and how many are open at each endpoint.

use super::EndpointSimulator;
use crate::calls::ConnectOutcome;

impl EndpointSimulator {
    /// Returns whether the endpoint exists and is neither down nor removed.
    pub fn listens(&self, endpoint: u32) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|state| state.is_listening())
    }

    /// Decides about a connection attempt, and counts the connection if it is accepted.
    pub fn connect(&mut self, endpoint: u32) -> ConnectOutcome {
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return ConnectOutcome::Refused };
        let Some(destination) = self.destinations.get(&state.destination) else {
            return ConnectOutcome::Refused;
        };
        if !state.is_listening() {
            return ConnectOutcome::Refused;
        }
        if state.fault.vanished {
            return ConnectOutcome::Unanswered;
        }
        let max_connections = self.kinds[destination.kind].max_connections;
        if max_connections > 0 && state.connections >= max_connections {
            return ConnectOutcome::Refused;
        }
        state.connections += 1;
        ConnectOutcome::Accepted { after: state.fault.accept_delay }
    }

    /// Stops counting an accepted connection that has ended.
    pub fn disconnect(&mut self, endpoint: u32) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.connections = state.connections.saturating_sub(1);
        }
    }
}
