//! Submissions: handles the requests of clients, passes valid messages to the next decision and answers each
//! request with its result.

use super::admission::{AdmissionDecision, Answer, Requester};
use super::client_closing::ClientCloseReason;
use super::client_connections::{BufferedRequest, ClientId};
use super::decisions::accepted_message;
use super::effects::Output;
use super::request::{parse_submission, RequestError, SubmittedMessage};
use super::{Core, JournalState};
use crate::records::{IdEnd, Message, PendingMessage, Record};
use linnetcart::{Event, Time};
use linnetcart_http::Persistence;

/// Why a valid message is rejected. Written to the log by variant name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RejectReason {
    /// The message's deadline has passed.
    Expired,
    /// `max_in_flight_messages` messages without a final outcome are in flight.
    TooManyInFlight,
    /// The message does not fit into the part of the journal that messages in flight may take.
    JournalFull,
    /// The message does not fit into the memory that messages in flight may take.
    MemoryFull,
    /// No record can be written to the journal.
    JournalUnwritable,
    /// The decision library rejected the message.
    Decided,
}

impl Core {
    /// Handles the buffered request of a client, if it is complete. A valid submission is answered after the
    /// decision on its message, any other request at once.
    pub(super) fn read_request(&mut self, client: ClientId) {
        let request = match self.clients.request(client) {
            BufferedRequest::Incomplete => return,
            BufferedRequest::Malformed(error) => {
                return self.refuse_invalid(client, RequestError::Malformed(error));
            }
            BufferedRequest::Pipelined => return self.refuse_pipelined(client),
            BufferedRequest::Complete(request) => request,
        };
        let requester = Requester { client, persistence: request.persistence };
        if request.path() == b"/ready" && request.method() == b"GET" {
            let is_ready = self.journal == JournalState::Writable;
            return self.answer(requester, if is_ready { Answer::Ready } else { Answer::NotReady });
        }
        let body = request.body().to_vec();
        match parse_submission(&request, &self.settings) {
            Ok(submitted) => self.submit(requester, submitted, body),
            Err(error) => self.refuse_invalid(client, error),
        }
    }

    /// Queues a message for the decision, or answers at once if it is a duplicate or cannot be accepted. The
    /// remaining time counts from the arrival of the request's last byte.
    fn submit(&mut self, requester: Requester, submitted: SubmittedMessage, body: Vec<u8>) {
        if !self.discovery.endpoints().has_destination(submitted.destination) {
            return self.refuse_invalid(requester.client, RequestError::UnknownDestination);
        }
        let submitted_at = self.clients.last_byte_at(requester.client).unwrap_or(self.clock.now());
        let deadline = submitted_at + submitted.time_remaining;
        let message = submitted.into_message(self.clock.to_wall(deadline), body);
        if let Some(known) = self.find_id(&message) {
            return self.answer_known(requester, &message, known);
        }
        if self.defer(requester.client, deadline) {
            let client = requester.client;
            return tracing::info!(id = %message.id_text(), client, "submission deferred, its id is reserved");
        }
        if let Some(reason) = self.reject_reason(&message, deadline) {
            log_rejection(&message, requester.client, reason);
            self.counters.rejected += 1;
            self.ended_ids.insert_refused(&message.id, IdEnd::Rejected, self.clock.wall_now());
            return self.answer(requester, Answer::Rejected { retry_after: 0 });
        }
        let number = self.in_flight.allocate_number();
        self.await_decision(number, requester);
        let time_remaining = deadline.saturating_sub(self.clock.now());
        self.decisions.push(Event::Accepted(accepted_message(number, &message, time_remaining)));
        self.in_flight.insert(number, PendingMessage::new(message), deadline);
    }

    /// Leaves a new message whose id an incomplete request has named earlier to a later iteration, so that this request
    /// can be completed. Returns whether it did: not in the last phase of the shutdown.
    fn defer(&mut self, client: ClientId, deadline: Time) -> bool {
        let now = self.clock.now();
        let time_remaining = deadline.saturating_sub(now);
        let is_deferred = self.shutdown.allows_decisions() && self.clients.defer(client, time_remaining, now);
        self.counters.deferred_submissions += u64::from(is_deferred);
        is_deferred
    }

    /// Returns why a message must be rejected without a decision of the library, or `None` if the library has
    /// to decide.
    fn reject_reason(&self, message: &Message, deadline: Time) -> Option<RejectReason> {
        let max_uncompleted = self.settings.settings.max_in_flight_messages as usize;
        if deadline <= self.clock.now() {
            Some(RejectReason::Expired)
        } else if self.in_flight.uncompleted_len() >= max_uncompleted {
            Some(RejectReason::TooManyInFlight)
        } else if !self.in_flight.has_capacity_for(message) {
            Some(RejectReason::JournalFull)
        } else if !self.in_flight.has_memory_for(message) {
            Some(RejectReason::MemoryFull)
        } else if self.journal == JournalState::Unwritable {
            Some(RejectReason::JournalUnwritable)
        } else {
            None
        }
    }

    pub(super) fn await_decision(&mut self, number: u32, requester: Requester) {
        self.clients.mark_awaiting_answer(requester.client);
        self.admission.await_decision(number, requester);
    }

    /// Answers every request whose message the decision has accepted, rejected or failed. A message that is
    /// not accepted is removed from the in-flight table. It has no journal record and needs no status
    /// notification: the answer reports its outcome.
    pub(super) fn answer_decided(&mut self, decisions: Vec<AdmissionDecision>) {
        for decision in decisions {
            let number = decision.message;
            if decision.answer == Answer::Accepted {
                self.accept(number);
            } else {
                if matches!(decision.answer, Answer::Rejected { .. }) {
                    self.counters.rejected += 1;
                }
                self.remove_not_accepted(number, decision.answer, &decision.requesters);
            }
            for requester in decision.requesters {
                match decision.answer {
                    Answer::Accepted => self.answer_accepted(requester, number),
                    answer => self.answer(requester, answer),
                }
            }
        }
    }

    fn remove_not_accepted(&mut self, number: u32, answer: Answer, requesters: &[Requester]) {
        let Some(removed) = self.in_flight.remove(number) else { return };
        let end = if answer == Answer::Failed { IdEnd::Failed } else { IdEnd::Rejected };
        self.ended_ids.insert_refused(&removed.message().id, end, self.clock.wall_now());
        for requester in requesters {
            log_rejection(removed.message(), requester.client, RejectReason::Decided);
        }
    }

    fn accept(&mut self, number: u32) {
        self.counters.accepted += 1;
        let Some(accepted) = self.in_flight.get(number) else { return };
        let message = accepted.message().clone();
        let time_remaining = accepted.deadline.saturating_sub(self.clock.now());
        tracing::info!(id = %message.id_text(), number, time_remaining, "message accepted");
        self.effects.record(Record::Accepted { number, message });
    }

    pub(super) fn answer(&mut self, requester: Requester, answer: Answer) {
        let persistence = self.persistence_after_answer(requester);
        let bytes = answer.encode(persistence);
        self.effects.output(Output::SendToClient(requester.client, bytes.into()));
        self.answered(requester.client, persistence);
    }

    /// Answers that a message is accepted. The answer is sent only if the acceptance is recorded.
    fn answer_accepted(&mut self, requester: Requester, message: u32) {
        let persistence = self.persistence_after_answer(requester);
        self.effects.acceptance(message, requester.client, persistence);
        self.answered(requester.client, persistence);
    }

    fn persistence_after_answer(&self, requester: Requester) -> Persistence {
        if self.shutdown.closes_after_answer() {
            return Persistence::Close;
        }
        requester.persistence
    }

    fn answered(&mut self, client: ClientId, persistence: Persistence) {
        self.clients.answered(client, self.clock.now());
        if persistence == Persistence::Close {
            self.close_client(client, ClientCloseReason::Answered);
        }
    }
}

fn log_rejection(message: &Message, client: ClientId, reason: RejectReason) {
    tracing::info!(id = %message.id_text(), client, ?reason, "message rejected");
}
