//! Checks of the dispatcher's actions against the state of the model.

use super::{AttemptId, PossibleExecution, World};
use crate::support::*;
use linnetcart::*;

impl World {
    /// Checks the actions of a cycle and returns the events that follow from them.
    pub fn check(&mut self, actions: &[Action]) -> Vec<Event> {
        let mut events = Vec::new();
        for action in actions {
            match *action {
                Action::Send { message, endpoint, .. } => self.check_send(message, endpoint),
                Action::Cancel { message, attempt } => {
                    let id = AttemptId { message, attempt };
                    if let Some(&endpoint) = self.in_flight.get(&id) {
                        events.push(self.end_attempt(id, endpoint, AttemptOutcome::Cancelled));
                    }
                }
                Action::Reject { message, .. } | Action::Fail { message }
                    if self.just_cancelled.contains(&message) => {}
                Action::Reject { message, .. } => self.check_rejection(message),
                Action::Fail { message } => {
                    assert!(self.open.contains_key(&message), "rule 1: one answer");
                    self.complete(message);
                }
                _ => {}
            }
        }
        for (id, message) in &self.open {
            let answer_by = message.deadline + self.settings.answer_grace;
            assert!(answer_by > self.now, "rule 1: {id} unanswered");
        }
        events
    }

    fn check_rejection(&mut self, id: u32) {
        let class = self.open.get(&id).expect("rule 1: one answer").accepted.class;
        let executions = self.possibly_executed.get(&id);
        let not_executed = executions.is_none_or(|executions| executions.is_empty());
        let harmless = matches!(class, IDEMPOTENT | KEYED | ORDERED);
        assert!(not_executed || harmless, "rule 2: rejected {id} though it may have been executed");
        self.complete(id);
    }

    fn check_send(&mut self, id: u32, endpoint: u32) {
        self.sends += 1;
        let open = self.open.get(&id).expect("rule 1: sends only what is open");
        let message = open.accepted.clone();
        assert_eq!(endpoint / 10, message.destination);
        self.check_idempotency(&message, endpoint);
        assert!(!self.draining.contains(&endpoint), "rule 3");
        let limit = Self::limit_of(endpoint);
        let retry_after_until = self.retry_after_until.get(&limit).copied().unwrap_or(0);
        assert!(retry_after_until <= self.now, "rule 6: sent during a Retry-After");
        if message.class == ORDERED && message.ordering_key != 0 {
            self.check_order(&message);
        }
        let next_attempt = self.attempts.entry(id).or_default();
        let attempt = *next_attempt;
        assert!(u32::from(attempt) < self.settings.max_attempts);
        *next_attempt += 1;
        let execution = PossibleExecution { sent_at: self.now, attempt, endpoint };
        self.possibly_executed.entry(id).or_default().push(execution);
        self.in_flight.insert(AttemptId { message: id, attempt }, endpoint);
    }

    fn check_idempotency(&self, message: &AcceptedMessage, endpoint: u32) {
        let executions = self.possibly_executed.get(&message.id).into_iter().flatten();
        let Some(first) = executions.min() else { return };
        match self.settings.classes[usize::from(message.class)].idempotency {
            Idempotency::Idempotent => {}
            Idempotency::Keyed { dedup_window, per_zone } => {
                assert!(self.now < first.sent_at + dedup_window, "rule 2: window");
                assert!(!per_zone || first.endpoint % 2 == endpoint % 2, "rule 2: zone");
            }
            Idempotency::NotIdempotent => panic!("rule 2: {} sent twice", message.id),
        }
    }

    fn check_order(&self, message: &AcceptedMessage) {
        let queue = &self.key_queues[&message.ordering_key];
        assert_eq!(queue.front(), Some(&message.id), "rule 5: out of turn");
        let is_first_attempt = !self.attempts.contains_key(&message.id);
        let cooldown_until = self.key_cooldowns.get(&message.ordering_key).copied().unwrap_or(0);
        assert!(!is_first_attempt || cooldown_until <= self.now, "rule 5: key not cooled down");
    }
}
