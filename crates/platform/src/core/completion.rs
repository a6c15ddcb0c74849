//! Completion: sets the final outcome of a message, notifies its sender and removes it from the in-flight
//! table.

use super::clock::MILLISECOND;
use super::connection_pool::ReportedEnd;
use super::counters::RecoveryCounts;
use super::effects::CoreEvent;
use super::in_flight::InFlightMessage;
use super::Core;
use crate::records::{FinalOutcome, IdEnd, Record};
use linnetcart::Time;

/// Unit in which endpoints count the time remaining. A success response that arrives less than one unit
/// before the message's deadline is no proof of delivery.
const DEADLINE_RESOLUTION: Time = MILLISECOND;

/// Why a message has its final outcome. Written to the log by variant name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionReason {
    /// An endpoint reported that it executed the message.
    ReportedDelivered,
    /// An endpoint reported that the message is over (410).
    ReportedGone,
    /// A 410 arrived that is not certainly the response to an attempt of the message. If the message is over, its
    /// notification is harmless; if not, it is owed.
    ReportedPossiblyGone,
    /// An endpoint reported so less than [`DEADLINE_RESOLUTION`] before the message's deadline, or later.
    ReportedTooLate,
    /// The decision library gave the message up.
    GivenUp,
}

/// The effect of an endpoint's report that a message is executed or over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedDelivery {
    /// The message is completed as delivered.
    Delivered,
    /// The message is completed as failed: the report arrived less than [`DEADLINE_RESOLUTION`] before the
    /// message's deadline, or after it.
    TooLate,
    /// The message is completed as failed: the report is not certainly about it.
    Doubtful,
    /// No effect: the message already had a final outcome, or is no longer in flight.
    AlreadyCompleted,
}

impl Core {
    /// Completes a message whose end an endpoint reports.
    pub(super) fn complete_reported(&mut self, number: u32, end: ReportedEnd) -> ReportedDelivery {
        match end {
            ReportedEnd::Delivered => self.complete_delivered(number, CompletionReason::ReportedDelivered),
            ReportedEnd::Gone => self.complete_delivered(number, CompletionReason::ReportedGone),
            ReportedEnd::PossiblyGone => self.complete_possibly_gone(number),
        }
    }

    fn complete_possibly_gone(&mut self, number: u32) -> ReportedDelivery {
        if self.in_flight.get(number).is_none_or(InFlightMessage::is_completed) {
            return ReportedDelivery::AlreadyCompleted;
        }
        self.complete_undelivered(number, FinalOutcome::Failed, CompletionReason::ReportedPossiblyGone);
        ReportedDelivery::Doubtful
    }

    /// Completes a message that an endpoint reports as executed or over. The outcome is [`FinalOutcome::Failed`] if
    /// `deadline - now < 1 ms`: the endpoint counts whole milliseconds and may already have dropped the
    /// message.
    fn complete_delivered(&mut self, number: u32, reason: CompletionReason) -> ReportedDelivery {
        let Some(message) = self.in_flight.get(number).filter(|message| !message.is_completed()) else {
            return ReportedDelivery::AlreadyCompleted;
        };
        if message.deadline < self.clock.now() + DEADLINE_RESOLUTION {
            self.complete_undelivered(number, FinalOutcome::Failed, CompletionReason::ReportedTooLate);
            return ReportedDelivery::TooLate;
        }
        let outcome = FinalOutcome::Delivered;
        log_completion(message, outcome, reason, self.clock.now());
        self.in_flight.complete(number, outcome);
        self.effects.record(Record::Completed { message: number, outcome });
        ReportedDelivery::Delivered
    }

    /// Completes a message that was not delivered and queues its status notification. Has no effect if the
    /// message already has a final outcome.
    pub(super) fn complete_undelivered(
        &mut self,
        number: u32,
        outcome: FinalOutcome,
        reason: CompletionReason,
    ) {
        if !self.in_flight.complete(number, outcome) {
            return;
        }
        let Some(completed) = self.in_flight.get(number) else { return };
        let message = completed.message();
        log_completion(completed, outcome, reason, self.clock.now());
        self.effects.record(Record::Completed { message: number, outcome });
        self.notifier.push(number, message, outcome, completed.deadline);
        let recovery = self.recovery.given_up(number);
        self.report_recovery(recovery);
    }

    /// Handles the acknowledgement of a message's status notification.
    pub(super) fn acknowledge(&mut self, number: u32) {
        let Some(acknowledged) = self.in_flight.acknowledge(number) else { return };
        tracing::info!(id = %acknowledged.id_text(), number, "notification acknowledged");
        let ordering_key = acknowledged.ordering_key;
        self.effects.record(Record::Notified { message: number });
        self.notifier.release(ordering_key, number);
        self.remove_if_settled(number);
    }

    /// Removes a message that is completed and acknowledged and has no attempt in flight. Its id stays in the
    /// deduplication cache until its deadline.
    pub(super) fn remove_if_settled(&mut self, number: u32) {
        let Some(settled) = self.in_flight.remove_if_settled(number) else { return };
        let end = settled.pending.completion.outcome().map_or(IdEnd::Completed, FinalOutcome::id_end);
        self.ended_ids.insert_accepted(settled.message().completed_id(end), self.clock.wall_now());
    }

    /// Logs the counts of a recovery that has finished; `None` for one that has not, or was reported before.
    pub(super) fn report_recovery(&mut self, finished: Option<RecoveryCounts>) {
        if let Some(counts) = finished {
            self.effects.event(CoreEvent::RecoveryFinished(counts));
        }
    }
}

/// Logs the final outcome of a message.
pub(super) fn log_completion(
    completed: &InFlightMessage,
    outcome: FinalOutcome,
    reason: CompletionReason,
    now: Time,
) {
    let id = completed.message().id_text();
    let attempts = completed.pending.attempts;
    let time_remaining = completed.deadline.saturating_sub(now);
    tracing::info!(%id, ?outcome, ?reason, attempts, time_remaining, "message completed");
}
