//! Recording of delivery events in counts, latency histograms and the observed state of limits.

use crate::classes::ClassTable;
use crate::counters::{Counters, RestoredCounts};
use crate::counts::{CounterKey, Field, Saved};
use crate::destination_names::DestinationNames;
use crate::limits::LimitTable;
use crate::notifications::{NotificationQueue, StateNotification};
use crate::{CourierInfo, Output};
use linnetcart::{AttemptOutcome, LimitChange, LimitState, Time};
use linnetcart_delivery_events::{DeliveryEvent, FinalAnswer, LoadReport};

#[cfg(test)]
mod tests;

/// All state that delivery events change. Counts and series names survive a restart; the rest does not.
#[derive(Debug)]
pub(crate) struct Recording {
    pub(crate) counters: Counters,
    pub(crate) classes: ClassTable,
    pub(crate) limits: LimitTable,
    pub(crate) notifications: NotificationQueue,
    pub(crate) names: DestinationNames,
}

/// Identifies the cells and limits for which an attempt counts.
#[derive(Clone, Copy, Debug)]
struct AttemptKey {
    class: u8,
    destination: u32,
    endpoint: u32,
}

impl Recording {
    pub(crate) fn new(courier: &CourierInfo, restored: RestoredCounts, now: Time) -> Recording {
        let classes = ClassTable::new(courier);
        Recording {
            counters: Counters::new(restored.store, classes.len(), now),
            classes,
            limits: LimitTable::default(),
            notifications: NotificationQueue::default(),
            names: DestinationNames::new(restored.names),
        }
    }

    /// Returns a snapshot of all counts and series names, with the last timestamp of a report.
    pub(crate) fn saved(&self, last_timestamp_s: u64) -> Saved {
        self.counters.store().saved(self.names.owners(), last_timestamp_s)
    }

    /// Records a delivery event.
    pub(crate) fn record(&mut self, event: &DeliveryEvent, outputs: &mut Vec<Output>) {
        match *event {
            DeliveryEvent::Accepted { class, destination, .. } => self.accepted(class, destination),
            DeliveryEvent::Rejected { class, destination, .. } => self.rejected(class, destination),
            DeliveryEvent::AttemptStarted { class, destination, endpoint, hedge, .. } => {
                self.attempt_started(AttemptKey { class, destination, endpoint }, u64::from(hedge));
            }
            DeliveryEvent::AttemptFinished {
                class, destination, endpoint, outcome, elapsed, load, ..
            } => {
                let key = AttemptKey { class, destination, endpoint };
                self.attempt_finished(key, outcome, elapsed);
                if let Some(load) = load {
                    self.load_reported(key, load);
                }
            }
            DeliveryEvent::Completed { class, destination, answer, elapsed, .. } => {
                self.completed(class, destination, answer, elapsed);
            }
            DeliveryEvent::ClientCancelled { class, destination, .. } => {
                self.client_cancelled(class, destination);
            }
            DeliveryEvent::LimitChanged(LimitChange { destination, endpoint, state, .. }) => {
                self.limit_changed(destination, endpoint, state, outputs);
            }
            DeliveryEvent::UnsupportedAction(_) | DeliveryEvent::ProtocolViolation { .. } => {}
        }
    }

    fn accepted(&mut self, class: u8, destination: u32) {
        let key = CounterKey::Cell { destination, class };
        self.counters.add(key, Field::Accepted, 1);
        self.counters.add(key, Field::WeightOffered, self.classes.weight_milli(class));
    }

    fn rejected(&mut self, class: u8, destination: u32) {
        self.counters.require_log();
        let key = CounterKey::Cell { destination, class };
        let weight = self.classes.weight_milli(class);
        self.counters.add(key, Field::RejectedBeforeAccept, 1);
        self.counters.add(key, Field::WeightOffered, weight);
        self.counters.add(key, Field::WeightLost, weight);
    }

    fn client_cancelled(&mut self, class: u8, destination: u32) {
        let key = CounterKey::Cell { destination, class };
        self.counters.add(key, Field::ClientCancelled, 1);
        self.counters.add(key, Field::WeightLost, self.classes.weight_milli(class));
    }

    fn completed(&mut self, class: u8, destination: u32, answer: FinalAnswer, elapsed: Time) {
        self.counters.require_log();
        let key = CounterKey::Cell { destination, class };
        match answer {
            FinalAnswer::Served => self.served(class, key, elapsed),
            FinalAnswer::Rejected { .. } => self.not_served(class, key, Field::RejectedAfterAccept),
            FinalAnswer::Failed => self.not_served(class, key, Field::Failed),
        }
    }

    /// Records that a message was served. Of its full weight, the part that remains at this latency counts as
    /// within the objective or late, and the difference as lost.
    fn served(&mut self, class: u8, key: CounterKey, elapsed: Time) {
        let full_weight = self.classes.weight_milli(class);
        let weight = self.classes.weight_milli_after(class, elapsed);
        if self.classes.is_within_objective(class, elapsed) {
            self.counters.add(key, Field::WithinObjective, 1);
            self.counters.add(key, Field::WeightWithinObjective, weight);
        } else {
            self.counters.add(key, Field::Late, 1);
            self.counters.add(key, Field::WeightLate, weight);
        }
        self.counters.add(key, Field::WeightLost, full_weight - weight);
        self.classes.record_latency(class, elapsed);
    }

    fn not_served(&mut self, class: u8, key: CounterKey, field: Field) {
        self.counters.add(key, field, 1);
        self.counters.add(key, Field::WeightLost, self.classes.weight_milli(class));
    }

    fn attempt_started(&mut self, key: AttemptKey, hedges: u64) {
        self.add_for_attempt(key, Field::Attempts, 1);
        self.add_for_attempt(key, Field::Hedges, hedges);
        for limit in self.limits.of_attempt(key.destination, key.endpoint) {
            limit.attempt_started();
        }
    }

    fn attempt_finished(&mut self, key: AttemptKey, outcome: AttemptOutcome, elapsed: Time) {
        self.add_for_attempt(key, outcome_field(outcome), 1);
        if matches!(outcome, AttemptOutcome::Rejected { retry_after } if retry_after > 0) {
            self.add_for_attempt(key, Field::RetryAfterReceived, 1);
        }
        for limit in self.limits.of_attempt(key.destination, key.endpoint) {
            match outcome {
                AttemptOutcome::Served => limit.attempt_served(key.endpoint, elapsed),
                AttemptOutcome::Rejected { .. } => limit.attempt_rejected(),
                _ => {}
            }
        }
    }

    fn load_reported(&mut self, key: AttemptKey, load: LoadReport) {
        for limit in self.limits.of_attempt(key.destination, key.endpoint) {
            limit.load_reported(load);
        }
    }

    /// Adds to the counts of the destination and class and, if the endpoint is an independent route, to those
    /// of the route.
    fn add_for_attempt(&mut self, key: AttemptKey, field: Field, increase: u64) {
        self.counters.add(
            CounterKey::Cell { destination: key.destination, class: key.class },
            field,
            increase,
        );
        if self.limits.is_route(key.endpoint) {
            self.counters.add(CounterKey::Route { endpoint: key.endpoint }, field, increase);
        }
    }

    /// Queues a notification if the state of the destination or route changes.
    fn limit_changed(
        &mut self,
        destination: u32,
        endpoint: u32,
        state: LimitState,
        outputs: &mut Vec<Output>,
    ) {
        let name = self.names.name(destination, outputs);
        if let Some(change) = self.limits.change_state(destination, endpoint, state) {
            self.notifications.push(StateNotification::new(destination, &name, change));
        }
    }
}

/// Returns the field that counts attempts with this outcome.
fn outcome_field(outcome: AttemptOutcome) -> Field {
    match outcome {
        AttemptOutcome::Served => Field::AttemptsServed,
        AttemptOutcome::Error => Field::AttemptErrors,
        AttemptOutcome::Rejected { .. } => Field::AttemptsRejected,
        AttemptOutcome::TimedOut => Field::AttemptTimeouts,
        AttemptOutcome::NoConnection | AttemptOutcome::NotSent { .. } | AttemptOutcome::LocalFault => {
            Field::AttemptsNotSent
        }
        AttemptOutcome::Reset => Field::ConnectionResets,
        AttemptOutcome::Cancelled => Field::AttemptsCancelled,
    }
}
