//! The check of an attempt right before its bytes leave: every condition on which its decision rested is judged again.
//!
//! An attempt may wait between its decision and its send for its ordering key, a connection or the journal. Every path
//! that sends asks [`Core::check_send`], and once more after the journal is written ([`Core::recheck_attempts`]).

use super::attempts::AttemptId;
use super::in_flight::MessageEnd;
use super::{Core, JournalState};
use linnetcart::{AttemptOutcome, SendRefusal, Time};

/// The outcome of an attempt that was certainly not executed, because nothing was sent.
pub const NOT_SENT: AttemptOutcome = AttemptOutcome::NotSent { no_capacity: false };

/// Maximum time between reading the input of a decision and sending the attempts decided on it. A call sent
/// within 100 ms of the arrival of a Retry-After does not count as a violation of the Retry-After, so
/// attempts that were decided before the arrival have to be sent well within that time.
const MAX_INPUT_AGE: Time = 30 * super::MILLISECOND;

/// Why an attempt is not sent. Written to the log by variant name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentReason {
    /// The endpoint is draining or was removed from the list.
    EndpointNotReady,
    /// The endpoint's address has changed since the connect.
    AddressChanged,
    /// A Retry-After of the endpoint's destination has not expired.
    RetryAfterPending,
    /// The endpoint or its destination has failed since the decision.
    OutageBegan,
    /// An earlier attempt may have been executed, and no endpoint suppresses a second execution any more.
    PossibleRepetition,
    /// An earlier message of the ordering key is not over, or the key is cooling down.
    KeyBlocked,
    /// The attempt needs a record in the journal, which is unwritable.
    JournalUnwritable,
    /// The pool is full, and every connection is in use or being established.
    NoFreeConnection,
    /// The message has its final outcome.
    MessageEnded,
    /// The deadline of the message or of the attempt has passed.
    DeadlinePassed,
    /// The attempt was cancelled.
    Cancelled,
}

impl From<MessageEnd> for UnsentReason {
    fn from(end: MessageEnd) -> UnsentReason {
        match end {
            MessageEnd::Completed => UnsentReason::MessageEnded,
            MessageEnd::DeadlinePassed => UnsentReason::DeadlinePassed,
        }
    }
}

impl From<SendRefusal> for UnsentReason {
    fn from(refusal: SendRefusal) -> UnsentReason {
        match refusal {
            SendRefusal::Cancelled => UnsentReason::Cancelled,
            SendRefusal::MessageEnded => UnsentReason::MessageEnded,
            SendRefusal::DeadlinePassed => UnsentReason::DeadlinePassed,
            SendRefusal::EndpointNotReady => UnsentReason::EndpointNotReady,
            SendRefusal::PossibleRepetition => UnsentReason::PossibleRepetition,
            SendRefusal::RetryAfterPending => UnsentReason::RetryAfterPending,
            SendRefusal::OutageBegan => UnsentReason::OutageBegan,
        }
    }
}

impl UnsentReason {
    /// Returns the outcome of the attempt. It was certainly not executed, because nothing was sent.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            UnsentReason::EndpointNotReady | UnsentReason::AddressChanged => AttemptOutcome::NoConnection,
            UnsentReason::JournalUnwritable | UnsentReason::NoFreeConnection => AttemptOutcome::LocalFault,
            UnsentReason::RetryAfterPending
            | UnsentReason::OutageBegan
            | UnsentReason::PossibleRepetition
            | UnsentReason::KeyBlocked
            | UnsentReason::MessageEnded
            | UnsentReason::DeadlinePassed
            | UnsentReason::Cancelled => NOT_SENT,
        }
    }

    /// Whether another attempt may use the connection that was assigned to this one.
    pub fn leaves_connection_usable(self) -> bool {
        match self {
            UnsentReason::RetryAfterPending
            | UnsentReason::OutageBegan
            | UnsentReason::PossibleRepetition
            | UnsentReason::KeyBlocked
            | UnsentReason::JournalUnwritable
            | UnsentReason::MessageEnded
            | UnsentReason::DeadlinePassed
            | UnsentReason::Cancelled => true,
            UnsentReason::EndpointNotReady
            | UnsentReason::AddressChanged
            | UnsentReason::NoFreeConnection => false,
        }
    }
}

impl Core {
    /// Judges an attempt again right before it is sent at `now`, by every condition on which its decision rested.
    /// What depends on its connection is checked by the caller.
    ///
    /// # Errors
    ///
    /// If the attempt must not be sent now. [`UnsentReason::KeyBlocked`] may pass.
    pub(super) fn check_send(&self, id: AttemptId, now: Time) -> Result<(), UnsentReason> {
        let attempt = self.attempts.get(id).ok_or(UnsentReason::Cancelled)?;
        if attempt.deadline <= now {
            return Err(UnsentReason::DeadlinePassed);
        }
        let message = self.in_flight.get_open(id.message, now)?;
        self.decisions.check_unsent(now, id)?;
        if self.discovery.endpoints().ready(attempt.endpoint).is_none() {
            return Err(UnsentReason::EndpointNotReady);
        }
        if self.is_blocked(id, message.message().ordering_key, now) {
            return Err(UnsentReason::KeyBlocked);
        }
        if self.journal == JournalState::Unwritable && self.attempt_needs_record(id.message) {
            return Err(UnsentReason::JournalUnwritable);
        }
        Ok(())
    }

    /// Whether the ordering key blocks an attempt: the status notification of an earlier message of the key is
    /// unacknowledged, or the key is cooling down and this is the message's first attempt.
    fn is_blocked(&self, id: AttemptId, ordering_key: u64, now: Time) -> bool {
        let cooldowns = &self.attempts.key_cooldowns;
        let is_cooling_down = id.number == 0 && cooldowns.is_cooling_down(ordering_key, now);
        is_cooling_down || self.notifier.blocks(ordering_key, id.message)
    }

    /// Checks the attempts of this iteration again right before they are sent, and undoes those that must not be
    /// sent at `now`; all of them if `now` is more than 30 ms after `input_read_at`, the time at which the input
    /// of their decision was read. If the process was stalled for so long, unread input may contain an answer, a
    /// Retry-After or an endpoint's drain, and the next decision takes it into account.
    pub fn recheck_attempts(&mut self, input_read_at: Time, now: Time) {
        let is_outdated = now > input_read_at + MAX_INPUT_AGE;
        for id in self.effects.attempts() {
            if is_outdated || self.check_send(id, now).is_err() {
                self.undo_attempt(id);
            }
        }
    }
}
