//! Answers to clients, and retries after a rejection.

use super::connection::PRODUCE_VERSION;
use super::NANOS_PER_MILLI;
use crate::runner::{Connection, ScenarioRunner, Token, Transport};
use bytes::Bytes;
use linnetcart_conformance::{Answer, ClientAnswer, Time};
use linnetcart_kafka::{client, codes};

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Handles bytes that a client received from a courier.
    pub(in crate::runner) fn received_at_client(&mut self, token: Token, bytes: &[u8]) {
        if let Some(Connection::Client(connection)) = self.connections.get_mut(&token) {
            connection.frames.push(bytes);
        }
        while let Some(Connection::Client(connection)) = self.connections.get_mut(&token) {
            match connection.frames.next_frame() {
                Ok(Some(frame)) => self.receive_answer(token, &frame),
                Ok(None) | Err(_) => return,
            }
        }
    }

    /// Records an answer, and schedules a retry if the message was rejected.
    fn receive_answer(&mut self, token: Token, frame: &Bytes) {
        let Some(Connection::Client(connection)) = self.connections.get_mut(&token) else { return };
        let Ok(reply) = client::read_produced(frame, PRODUCE_VERSION) else {
            self.clients.stray_answers += 1;
            return;
        };
        let Some(position) = connection.waiting.remove(&reply.correlation) else {
            self.clients.stray_answers += 1;
            return;
        };
        let answer = match reply.parts.first().map(|part| part.code) {
            Some(codes::NONE) => Answer::Served,
            Some(codes::NOT_ENOUGH_REPLICAS) => Answer::Rejected,
            _ => Answer::Failed,
        };
        let submission = &mut self.clients.submissions[position];
        submission.answer_travelled = self.transport.travelled(token);
        if submission.answers.is_empty() {
            self.clients.awaiting_answer -= 1;
        }
        submission.answers.push(ClientAnswer { at: self.now, answer });
        if answer == Answer::Rejected {
            let message = submission.message as usize;
            let retry_after = u64::try_from(reply.throttle_ms).unwrap_or(0) * NANOS_PER_MILLI;
            self.retry_rejected(message, retry_after);
        }
    }

    /// Schedules the next submission of a rejected message, unless the message has been retried
    /// `clients.retries` times. The delay is the larger of a random retry delay and the Retry-After, in
    /// nanoseconds.
    fn retry_rejected(&mut self, message: usize, retry_after: Time) {
        let clients = &self.fleet.scenario.clients;
        let attempt = self.clients.last_attempt(message);
        let delay = self.clients.draw_retry_delay(clients.retry_delay_ms).max(retry_after);
        if attempt < clients.retries {
            self.submit_at(self.now + delay, message, attempt + 1);
        }
    }
}
