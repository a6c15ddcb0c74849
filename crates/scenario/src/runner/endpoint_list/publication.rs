//! Publication of the endpoint list: how couriers are notified of changes.

use super::ListScope;
use crate::error::ScenarioError;
use crate::runner::couriers::EndpointUpdate;
use crate::runner::{ScenarioRunner, Timer, Transport};
use linnetcart_conformance::{EndpointNotification, Time};
use serde_json::json;

/// Interval at which a restarted courier tries to catch up while publication is suspended, in nanoseconds.
const CATCH_UP_RETRY: Time = 200_000_000;

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Notifies all couriers of changed endpoints, or collects the changes while publication is suspended.
    pub(in crate::runner) fn publish_changes(&mut self, endpoints: Vec<u32>) {
        if let Some(unpublished) = &mut self.endpoint_list.unpublished {
            unpublished.extend(endpoints);
            return;
        }
        for courier in 0..self.couriers.len() {
            self.couriers[courier].pending_changes.extend(&endpoints);
            self.notify(courier as u32);
        }
    }

    /// Resumes publication, and notifies all couriers of the changes that were collected while it was
    /// suspended.
    pub(in crate::runner) fn resume_publication(&mut self) {
        let unpublished = self.endpoint_list.unpublished.take().unwrap_or_default();
        self.publish_changes(unpublished.into_iter().collect());
    }

    /// Notifies a restarted courier of all endpoints, since any of them may have changed while it was down.
    /// Does nothing if the courier has been killed since then.
    pub(in crate::runner) fn catch_up(&mut self, courier: u32, incarnation: u32) {
        if self.endpoint_list.unpublished.is_some() {
            return self.schedule_after(CATCH_UP_RETRY, Timer::CatchUp { courier, incarnation });
        }
        let process = &mut self.couriers[courier as usize];
        if process.incarnation == incarnation {
            process.pending_changes.extend(self.endpoint_list.entries.keys());
            self.notify(courier);
        }
    }

    /// Sends a courier the complete endpoint list if the courier has not been sent one since its start,
    /// otherwise the pending changes. Does nothing if there is nothing to send, another document is in
    /// flight, or the courier is not running.
    fn notify(&mut self, courier: u32) {
        let process = &mut self.couriers[courier as usize];
        if !process.can_be_notified() {
            return;
        }
        let changes = std::mem::take(&mut process.pending_changes);
        let needs_complete_list = std::mem::take(&mut process.needs_complete_list);
        let scope = if needs_complete_list { ListScope::Complete } else { ListScope::Changes };
        let list = &mut self.endpoint_list;
        let endpoints: Vec<u32> = match scope {
            ListScope::Complete => list.entries.keys().copied().collect(),
            ListScope::Changes => changes.into_iter().collect(),
        };
        list.version += 1;
        let zones = &self.fleet.scenario.zones;
        let entries = list.describe(&endpoints, scope, zones, &self.transport);
        let whole = scope == ListScope::Complete;
        let body = json!({"version": list.version, "whole": whole, "entries": entries}).to_string();
        let update = |&endpoint: &u32| EndpointUpdate { endpoint, ready: list.is_ready(endpoint) };
        let updates = endpoints.iter().map(update).collect();
        self.put_document(courier, "/list", body, updates);
    }

    /// Processes a courier's answer to a settings or list document. Records that the courier has been
    /// notified of the endpoint states in the document, and sends the changes that became pending meanwhile.
    /// After the settings, also connects a client to the courier. Ignores the answer if the courier has been
    /// killed since.
    ///
    /// # Errors
    /// Fails if the courier rejected the document; `outcome` has the reason that the courier gave.
    pub fn put_done(
        &mut self,
        courier: u32,
        incarnation: u32,
        outcome: Result<(), String>,
    ) -> Result<(), ScenarioError> {
        let process = &mut self.couriers[courier as usize];
        if process.incarnation != incarnation || !process.running {
            return Ok(());
        }
        let updates = process.document_in_flight.take().unwrap_or_default();
        if let Err(reason) = outcome {
            return Err(ScenarioError::DocumentRejected { courier, reason });
        }
        for EndpointUpdate { endpoint, ready } in updates {
            let at = self.now;
            self.notifications.push(EndpointNotification { courier, incarnation, at, endpoint, ready });
        }
        if std::mem::take(&mut process.needs_settings) {
            self.connect_client(courier);
        }
        self.notify(courier);
        Ok(())
    }
}
