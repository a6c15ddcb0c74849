//! Courier processes: starting, killing, stalling and resuming them, and the client connections to them.

use super::{Connection, ScenarioRunner, StoredState, Timer, Token, Transport};
use crate::error::ScenarioError;
use crate::units::millis;
use linnetcart_conformance::{Stall, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The state of an endpoint in an endpoint list document.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointUpdate {
    pub(super) endpoint: u32,
    /// Whether the endpoint is ready for new work.
    pub(super) ready: bool,
}

/// What the runner tracks about one courier: its process, its client connections, and which settings and
/// endpoint changes it still has to receive.
#[derive(Default)]
pub(super) struct CourierProcess {
    pub(super) running: bool,
    /// How many times the courier has been killed.
    pub(super) incarnation: u32,
    /// Whether the process is suspended.
    pub(super) stalled: bool,
    /// Connections of clients that are not bound to an ordering key.
    pub(super) connections: Vec<Token>,
    /// The connection of each ordering key. It carries requests and answers in order, as the messages of a
    /// key are delivered.
    connection_of_key: BTreeMap<u64, Token>,
    /// Changed endpoints that the courier has not been notified of.
    pub(super) pending_changes: BTreeSet<u32>,
    /// Whether this incarnation has not been sent the complete endpoint list yet.
    pub(super) needs_complete_list: bool,
    /// The endpoint states in the document that was sent to the control interface and is not answered yet;
    /// `None` if there is no such document.
    pub(super) document_in_flight: Option<Vec<EndpointUpdate>>,
    /// Whether the courier has no settings yet.
    pub(super) needs_settings: bool,
}

impl CourierProcess {
    /// Returns whether the courier has its settings and the complete endpoint list.
    pub(super) fn is_up_to_date(&self) -> bool {
        self.document_in_flight.is_none() && !self.needs_complete_list
    }

    /// Returns whether a list document is to be sent: the courier is running, no document is in flight, and
    /// the courier needs the complete list or has pending changes.
    pub(super) fn can_be_notified(&self) -> bool {
        let has_changes = self.needs_complete_list || !self.pending_changes.is_empty();
        self.running && self.document_in_flight.is_none() && has_changes
    }

    /// Resets the state for a new incarnation.
    fn on_start(&mut self, stored: StoredState) {
        self.running = true;
        self.stalled = false;
        self.needs_settings = stored == StoredState::Missing;
        self.document_in_flight = None;
        self.needs_complete_list = true;
        self.connections.clear();
        self.connection_of_key.clear();
    }

    /// Resets the state after a kill, and advances to the next incarnation.
    fn on_kill(&mut self) {
        self.running = false;
        self.incarnation += 1;
        self.pending_changes.clear();
        self.document_in_flight = None;
    }
}

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Starts a courier, for the first time or after it was killed.
    pub(super) fn start_courier(&mut self, courier: u32) -> Result<(), ScenarioError> {
        let incarnation = self.couriers[courier as usize].incarnation;
        let stored = self.transport.start(courier, incarnation).map_err(ScenarioError::Transport)?;
        self.couriers[courier as usize].on_start(stored);
        match stored {
            StoredState::Recovered => {
                // The courier has the endpoint list of its last incarnation, and is notified of changes with
                // the delay of the list.
                let delay = self.endpoint_list.delay();
                self.schedule_after(delay, Timer::CatchUp { courier, incarnation });
                self.connect_client(courier);
            }
            StoredState::Missing => {
                // The endpoint list follows when the courier has accepted the settings.
                let settings = self.fleet.settings(courier).to_string();
                self.put_document(courier, "/settings", settings, Vec::new());
            }
        }
        Ok(())
    }

    /// Returns the couriers that clients can connect to, by number.
    pub(super) fn running_couriers(&self) -> Vec<u32> {
        let numbers = 0..self.couriers.len() as u32;
        numbers.filter(|&courier| self.couriers[courier as usize].running).collect()
    }

    /// Returns the connection for a message: the one of its ordering key; without a key an idle one, or a new
    /// one if the limit of client connections allows it, or else the one with the fewest waiting messages.
    /// Returns `None` if the courier is not running.
    pub(super) fn connection_for(&mut self, courier: u32, key: Option<u64>) -> Option<Token> {
        let process = &self.couriers[courier as usize];
        if !process.running {
            return None;
        }
        if let Some(key) = key {
            return Some(self.connection_of_key(courier, key));
        }
        let least_used = process.connections.iter().copied().min_by_key(|&token| self.waiting_on(token));
        let is_idle = least_used.is_some_and(|token| self.waiting_on(token) == 0);
        let may_connect = process.connections.len() < self.fleet.scenario.clients.connections;
        if is_idle || !may_connect {
            return least_used;
        }
        Some(self.connect_client(courier))
    }

    /// Returns the number of messages that wait for an answer on a connection.
    fn waiting_on(&self, token: Token) -> usize {
        match self.connections.get(&token) {
            Some(Connection::Client(connection)) => connection.waiting(),
            _ => usize::MAX,
        }
    }

    /// Returns the connection of an ordering key to a courier, and opens one if the key has none.
    fn connection_of_key(&mut self, courier: u32, key: u64) -> Token {
        let known = self.couriers[courier as usize].connection_of_key.get(&key);
        if let Some(&token) = known.filter(|token| self.connections.contains_key(token)) {
            return token;
        }
        let token = self.connect_client(courier);
        let process = &mut self.couriers[courier as usize];
        process.connections.retain(|&other| other != token);
        process.connection_of_key.insert(key, token);
        token
    }

    /// Sends a document to the control interface of a courier; `updates` are the endpoint states in it.
    pub(super) fn put_document(
        &mut self,
        courier: u32,
        path: &'static str,
        body: String,
        updates: Vec<EndpointUpdate>,
    ) {
        let process = &mut self.couriers[courier as usize];
        if process.running {
            process.document_in_flight = Some(updates);
            self.transport.put(courier, process.incarnation, path, body);
        }
    }

    /// Kills a courier and schedules its restart after `downtime` nanoseconds. Does nothing if it is not
    /// running.
    pub(super) fn kill_courier(&mut self, courier: u32, downtime: Time) {
        let process = &mut self.couriers[courier as usize];
        if !process.running {
            return;
        }
        process.on_kill();
        self.transport.kill(courier);
        self.schedule_after(downtime, Timer::RestartCourier { courier });
    }

    /// Stalls a courier for this many milliseconds, unless it is not running or already stalled.
    pub(super) fn stall_courier(&mut self, courier: u32, duration_ms: f64) {
        let process = &mut self.couriers[courier as usize];
        if !process.running || process.stalled {
            return;
        }
        self.transport.stall(courier);
        process.stalled = true;
        let duration = millis(duration_ms);
        let from = self.now;
        let incarnation = process.incarnation;
        self.stalls.push(Stall { courier, incarnation, from, until: from + duration });
        self.schedule_after(duration, Timer::ResumeCourier { courier });
    }

    /// Resumes a stalled courier and sets the recorded end of its last stall to the present time.
    pub(super) fn resume_courier(&mut self, courier: u32) {
        let process = &mut self.couriers[courier as usize];
        process.stalled = false;
        let incarnation = process.incarnation;
        if process.running {
            self.transport.resume(courier);
        }
        let mut latest_first = self.stalls.iter_mut().rev();
        let stall = latest_first.find(|stall| stall.courier == courier && stall.incarnation == incarnation);
        if let Some(stall) = stall {
            stall.until = self.now;
        }
    }
}
