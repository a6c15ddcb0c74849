//! Requests that submit no message: invalid, malformed, pipelined, or refused before they were complete.
//!
//! Nothing of them is sent, so that their answer stays true whatever becomes of other requests that name the same id. Only
//! a rejection binds its id: it says that submitting the message again is harmless.

use super::admission::{Answer, Requester};
use super::client_connections::ClientId;
use super::effects::CoreEvent;
use super::request::{named_ids, parse_submission, RequestError};
use super::Core;
use crate::records::{IdEnd, Message};
use linnetcart_http::{parse_request, Persistence};
use std::collections::BTreeSet;

impl Core {
    /// Answers a request that is invalid, malformed or was not completed in time, and closes its connection.
    pub(super) fn refuse_invalid(&mut self, client: ClientId, error: RequestError) {
        if error.cuts_request_off() {
            self.clients.mark_cut_off(client);
        }
        let ids = named_ids(self.clients.received(client));
        if ids.is_empty() {
            let received_bytes = self.clients.received(client).len();
            self.effects.event(CoreEvent::ClientRefused { client, received_bytes, error });
        }
        for id in &ids {
            tracing::info!(id = %String::from_utf8_lossy(id), client, %error, "request invalid");
        }
        if error.is_rejection() {
            self.reject_partial(client, error, &ids);
        } else {
            self.answer_invalid(client, error);
        }
    }

    /// Rejects a request that is not complete, and from now on every request with an id that it names. If a message with
    /// such an id may be executed, submitting it again might not be harmless, and the request is not rejected but fails.
    fn reject_partial(&mut self, client: ClientId, error: RequestError, ids: &BTreeSet<Vec<u8>>) {
        if ids.iter().any(|id| self.may_be_executed(id)) {
            return self.answer_invalid(client, RequestError::IdOfOtherMessage);
        }
        for id in ids {
            self.ended_ids.insert_refused(id, IdEnd::Rejected, self.clock.wall_now());
        }
        self.counters.refused_partial_requests += 1;
        self.answer_invalid(client, error);
    }

    /// Answers a client that sent bytes behind a request without waiting for its response, and closes the connection.
    /// The request is refused, unless its message is known: then its answer is the message's.
    pub(super) fn refuse_pipelined(&mut self, client: ClientId) {
        let requester = Requester { client, persistence: Persistence::Close };
        if let Some(number) = self.admission.awaited_by(client) {
            self.clients.mark_cut_off(client);
            return self.await_decision(number, requester);
        }
        let message = self.first_message(client);
        let known = message.as_ref().and_then(|message| self.find_id(message));
        let Some((message, known)) = message.zip(known) else {
            return self.refuse_invalid(client, RequestError::Pipelined);
        };
        self.clients.mark_cut_off(client);
        self.answer_known(requester, &message, known);
    }

    /// Returns the message that the first request in the received bytes submits, if it is valid. Its deadline is not set.
    fn first_message(&self, client: ClientId) -> Option<Message> {
        let request = parse_request(self.clients.received(client)).ok()??;
        let submitted = parse_submission(&request, &self.settings).ok()?;
        Some(submitted.into_message(0, request.body().to_vec()))
    }

    /// Answers a request with an error status, and closes its connection.
    pub(super) fn answer_invalid(&mut self, client: ClientId, error: RequestError) {
        tracing::debug!(client, %error, "invalid request answered");
        self.counters.invalid_requests += 1;
        self.answer(Requester { client, persistence: Persistence::Close }, Answer::Invalid(error));
    }
}
