//! What is known of the id of a submission, and the answer that follows from it.
//!
//! An id names a message; it does not prove whose request it is. An answer is true of the request that it answers, of its
//! id and of its content: only a request with the content of the accepted message is told that it is accepted.

use super::admission::{Answer, Requester};
use super::in_flight::InFlightMessage;
use super::request::RequestError;
use super::Core;
use crate::records::{IdEnd, Message};

/// What is known of the id of a submission. Written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KnownId {
    /// The message was accepted, and is open or has calls or a notification outstanding.
    Accepted,
    /// The message is part of the next decision, which answers all requests that submit it.
    AwaitingDecision {
        /// The message's number.
        number: u32,
    },
    /// The message has ended so, or was refused so.
    Ended(IdEnd),
    /// The id is that of a message with different content, which may have been executed.
    OtherMessage,
}

impl Core {
    /// Looks up a submitted message among open and ended ones. Returns `None` if its id is new.
    pub(super) fn find_id(&self, message: &Message) -> Option<KnownId> {
        if let Some(number) = self.in_flight.find(&message.id) {
            return Some(self.known_in_flight(number, message));
        }
        let ended = self.ended_ids.find(&message.id)?;
        let has_other_content = match ended.end {
            IdEnd::Completed | IdEnd::Returned => {
                message.completed_id(ended.end).content_digest != ended.content_digest
            }
            // Nothing was sent under the id, and nothing will be, whatever the content.
            IdEnd::Rejected | IdEnd::Failed | IdEnd::Invalid => false,
        };
        Some(if has_other_content { KnownId::OtherMessage } else { KnownId::Ended(ended.end) })
    }

    fn known_in_flight(&self, number: u32, message: &Message) -> KnownId {
        let in_flight = self.in_flight.get(number);
        if in_flight.is_some_and(|in_flight| !in_flight.message().has_content_of(message)) {
            KnownId::OtherMessage
        } else if self.admission.awaits_decision(number) {
            KnownId::AwaitingDecision { number }
        } else if in_flight.is_some_and(InFlightMessage::is_returned_whole) {
            KnownId::Ended(IdEnd::Returned)
        } else {
            KnownId::Accepted
        }
    }

    /// Whether a message with this id may have been executed, or may be.
    pub(super) fn may_be_executed(&self, id: &[u8]) -> bool {
        match self.in_flight.find(id).and_then(|number| self.in_flight.get(number)) {
            Some(in_flight) => !in_flight.is_returned_whole(),
            None => self.ended_ids.find(id).is_some_and(|ended| ended.end == IdEnd::Completed),
        }
    }

    /// Answers a submission whose id is known.
    pub(super) fn answer_known(&mut self, requester: Requester, message: &Message, known: KnownId) {
        tracing::info!(id = %message.id_text(), client = requester.client, ?known, "repeated submission");
        match known {
            KnownId::AwaitingDecision { number } => self.await_decision(number, requester),
            KnownId::Accepted | KnownId::Ended(IdEnd::Completed) => self.answer(requester, Answer::Accepted),
            KnownId::Ended(IdEnd::Returned | IdEnd::Rejected) => {
                self.counters.rejected += 1;
                self.answer(requester, Answer::Rejected { retry_after: 0 });
            }
            KnownId::Ended(IdEnd::Failed) => self.answer(requester, Answer::Failed),
            KnownId::Ended(IdEnd::Invalid) => {
                self.answer_invalid(requester.client, RequestError::IdOfInvalidRequest);
            }
            KnownId::OtherMessage => {
                self.counters.conflicting_submissions += 1;
                self.answer(requester, Answer::Invalid(RequestError::IdOfOtherMessage));
            }
        }
    }
}
