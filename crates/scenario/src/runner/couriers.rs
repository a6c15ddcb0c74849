//! Courier processes: started, connected to, killed, stalled.

use super::{Connection, ScenarioRunner, Timer, Token, Transport};
use crate::error::ScenarioError;
use crate::units::{millis, seconds};
use linnetcart_conformance::{Stall, Time};
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint, and whether it is in service, as a courier is notified of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointUpdate {
    pub(super) endpoint: u32,
    pub(super) ready: bool,
}

/// A courier as seen from outside.
#[derive(Default)]
pub(super) struct CourierProcess {
    pub(super) running: bool,
    pub(super) incarnation: u32,
    /// It does not run though it was not killed.
    pub(super) stalled: bool,
    /// Connections of clients that are not bound to an ordering key.
    pub(super) connections: Vec<Token>,
    /// The connection of each ordering key: answers go in order on a connection, and so do messages of a key.
    connection_of_key: BTreeMap<u64, Token>,
    /// Endpoints of which it is still to be notified.
    pub(super) pending_changes: BTreeSet<u32>,
    /// It is still to be sent the complete endpoint list.
    pub(super) needs_complete_list: bool,
    /// What the document says of endpoints that is on its way to the control interface, if there is one.
    pub(super) document_under_way: Option<Vec<EndpointUpdate>>,
    /// It has no settings yet.
    pub(super) needs_settings: bool,
}

impl CourierProcess {
    /// It has its settings and the complete endpoint list.
    pub(super) fn is_up_to_date(&self) -> bool {
        self.document_under_way.is_none() && !self.needs_complete_list
    }

    /// There is something to be sent to its control interface, and nothing under way.
    pub(super) fn can_be_notified(&self) -> bool {
        let has_changes = self.needs_complete_list || !self.pending_changes.is_empty();
        self.running && self.document_under_way.is_none() && has_changes
    }

    /// A new incarnation runs.
    fn started(&mut self, has_settings: bool) {
        self.running = true;
        self.stalled = false;
        self.needs_settings = !has_settings;
        self.document_under_way = None;
        self.needs_complete_list = true;
        self.connections.clear();
        self.connection_of_key.clear();
    }

    /// The incarnation ends.
    fn killed(&mut self) {
        self.running = false;
        self.incarnation += 1;
        self.pending_changes.clear();
        self.document_under_way = None;
    }
}

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Starts a courier, for the first time or after it was killed.
    pub(super) fn start_courier(&mut self, courier: u32) -> Result<(), ScenarioError> {
        let incarnation = self.couriers[courier as usize].incarnation;
        let first = incarnation == 0;
        let has_settings =
            self.transport.start(courier, incarnation, first).map_err(ScenarioError::Transport)?;
        self.couriers[courier as usize].started(has_settings);
        if has_settings {
            // It has the endpoint list of its last incarnation; changes come as to the others.
            let delay = seconds(self.endpoint_list.delay_s);
            self.schedule_after(delay, Timer::CatchUp { courier, incarnation });
            self.connect_client(courier);
        } else {
            // The endpoint list follows when these are in force.
            let settings = self.fleet.settings(courier).to_string();
            self.put_document(courier, "/settings", settings, Vec::new());
        }
        Ok(())
    }

    /// Couriers that clients can connect to, by number.
    pub(super) fn running_couriers(&self) -> Vec<u32> {
        let numbers = 0..self.couriers.len() as u32;
        numbers.filter(|&courier| self.couriers[courier as usize].running).collect()
    }

    /// The connection for a message: that of its ordering key, or one on which nothing waits, or a new one, as far as
    /// the clients have so many.
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

    /// Messages that wait for an answer on a connection.
    fn waiting_on(&self, token: Token) -> usize {
        match self.connections.get(&token) {
            Some(Connection::Client(connection)) => connection.waiting(),
            _ => usize::MAX,
        }
    }

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

    /// Puts a document to the control interface of a courier; `updates` is what it says of endpoints.
    pub(super) fn put_document(
        &mut self,
        courier: u32,
        path: &'static str,
        body: String,
        updates: Vec<EndpointUpdate>,
    ) {
        let process = &mut self.couriers[courier as usize];
        if process.running {
            process.document_under_way = Some(updates);
            self.transport.put(courier, process.incarnation, path, body);
        }
    }

    /// Kills a courier; it starts again after this time.
    pub(super) fn kill_courier(&mut self, courier: u32, downtime: Time) {
        let process = &mut self.couriers[courier as usize];
        if !process.running {
            return;
        }
        process.killed();
        self.transport.kill(courier);
        self.schedule_after(downtime, Timer::RestartCourier { courier });
    }

    /// Stalls a courier for so many milliseconds, unless it is down or stalled already.
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

    /// A courier that was stalled runs again.
    pub(super) fn resume_courier(&mut self, courier: u32) {
        let process = &mut self.couriers[courier as usize];
        process.stalled = false;
        let incarnation = process.incarnation;
        if process.running {
            self.transport.go_on(courier);
        }
        let mut latest_first = self.stalls.iter_mut().rev();
        let stall = latest_first.find(|stall| stall.courier == courier && stall.incarnation == incarnation);
        if let Some(stall) = stall {
            stall.until = self.now;
        }
    }
}
