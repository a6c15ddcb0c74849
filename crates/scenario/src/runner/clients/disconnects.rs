//! Broken connections of clients, and the messages that were waiting on them for an answer.

use super::ClientConnection;
use crate::runner::{ScenarioRunner, Transport};
use crate::scenario::{Class, IdempotencyKind};
use std::collections::BTreeSet;

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Closes the connection of a submission that has no answer when the client's answer timeout fires.
    pub(in crate::runner) fn time_out_answer(&mut self, submission: usize) {
        let submission = &self.clients.submissions[submission];
        let token = submission.position.connection;
        let is_completed = !submission.answers.is_empty() || submission.orphaned.is_some();
        if is_completed || !self.connections.contains_key(&token) {
            return;
        }
        self.transport.close(token);
        self.disconnected(token);
    }

    /// Handles the messages that were waiting on a broken client connection. If the connection was never
    /// established, all these messages are submitted again. Otherwise they may have been executed: an
    /// idempotent message is submitted to another courier, a message with an idempotency key only if all
    /// endpoints of a destination share their keys, and one that is not idempotent is not submitted again.
    pub(in crate::runner) fn orphan_submissions(&mut self, connection: ClientConnection) {
        self.migrate_keys(&connection);
        for &position in connection.waiting.values() {
            let submission = &mut self.clients.submissions[position];
            if !submission.answers.is_empty() {
                continue;
            }
            submission.orphaned = Some(self.now);
            let message = submission.message as usize;
            let class = &self.fleet.scenario.class[usize::from(submission.class)];
            self.clients.awaiting_answer -= 1;
            if !connection.connected || is_safe_at_another_courier(class) {
                let delay = self.clients.draw_retry_delay(self.fleet.scenario.clients.retry_delay_ms);
                let attempt = self.clients.last_attempt(message);
                self.clients.avoided_couriers.insert(message, connection.courier);
                self.submit_at(self.now + delay, message, attempt);
            }
        }
    }

    /// Moves the ordering keys of a broken connection to another courier, so that all further messages of a
    /// key go to the same courier.
    fn migrate_keys(&mut self, connection: &ClientConnection) {
        let positions = connection.waiting.values();
        let keys: BTreeSet<u64> =
            positions.filter_map(|&position| self.clients.submissions[position].key).collect();
        for key in keys {
            *self.clients.key_migrations.entry(key).or_default() += 1;
        }
    }
}

/// Returns whether another courier may send a message of this class that may already have been executed.
fn is_safe_at_another_courier(class: &Class) -> bool {
    match class.idempotency {
        IdempotencyKind::Idempotent => true,
        IdempotencyKind::Keyed => !class.per_zone,
        IdempotencyKind::NotIdempotent => false,
    }
}
