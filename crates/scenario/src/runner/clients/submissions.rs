//! Submission of messages by clients.

use super::connection::OutgoingMessage;
use super::{ClientConnection, NANOS_PER_MILLI};
use crate::error::ScenarioError;
use crate::fleet::PlannedMessage;
use crate::runner::{Connection, ScenarioRunner, Timer, Token, Transport};
use crate::scenario::{Class, IdempotencyKind};
use crate::units::seconds;
use linnetcart_conformance::{ConnectionPosition, Submission, Time};

/// How long a client waits before it submits a message again if no courier is running, in nanoseconds.
const NO_COURIER_DELAY: Time = 200_000_000;
/// How long a client waits before it submits a message again if it has no connection, in nanoseconds.
const NO_CONNECTION_DELAY: Time = 100_000_000;

/// Whether a message could be sent on a connection.
enum SendOutcome {
    Sent,
    NoConnection,
}

impl<T: Transport> ScenarioRunner<'_, T> {
    /// Schedules the submission of a message, given by its position in `Fleet::messages`. `attempt` is the
    /// number of retries after rejections so far.
    pub(in crate::runner) fn submit_at(&mut self, at: Time, message: usize, attempt: u32) {
        self.clients.scheduled += 1;
        self.timers.schedule(at, Timer::Submit { message, attempt });
    }

    /// Submits a message to a running courier. Without a running courier or a connection, schedules the
    /// submission again. Does nothing if the message can no longer be served before its deadline.
    pub(in crate::runner) fn submit(&mut self, message: usize, attempt: u32) -> Result<(), ScenarioError> {
        self.clients.scheduled -= 1;
        let fleet = self.fleet;
        let planned = &fleet.messages[message];
        let class = &fleet.scenario.class[usize::from(planned.class)];
        let time_left_ms = self.time_left_ms(message, planned, class);
        if time_left_ms == 0 {
            return Ok(());
        }
        let running = self.running_couriers();
        if running.is_empty() {
            self.submit_at(self.now + NO_COURIER_DELAY, message, attempt);
            return Ok(());
        }
        let courier = self.clients.choose_courier(message, planned.key, &running);
        let Some(token) = self.connection_for(courier, planned.key) else {
            self.submit_at(self.now + NO_CONNECTION_DELAY, message, attempt);
            return Ok(());
        };
        let wall_clock = self.transport.wall();
        let outgoing = OutgoingMessage { number: message, planned, class, time_left_ms, wall_clock };
        match self.send_message(token, &outgoing)? {
            SendOutcome::Sent => {
                self.clients.attempts.insert(message, attempt);
                self.clients.awaiting_answer += 1;
            }
            SendOutcome::NoConnection => {
                self.submit_at(self.now + NO_CONNECTION_DELAY, message, attempt);
            }
        }
        Ok(())
    }

    /// Returns how many whole milliseconds remain in which the message may be served.
    fn time_left_ms(&self, message: usize, planned: &PlannedMessage, class: &Class) -> u64 {
        let mut deadline = planned.at + seconds(class.deadline_s);
        if self.clients.attempts.contains_key(&message) && class.idempotency == IdempotencyKind::Keyed {
            // An earlier submission may have been executed. Endpoints recognize a second execution for
            // `dedup_window_s` after the first, which cannot precede the first submission.
            deadline = deadline.min(planned.at + seconds(class.dedup_window_s));
        }
        deadline.saturating_sub(self.now) / NANOS_PER_MILLI
    }

    /// Sends a message on a connection, or queues it until the connection is established, and records the
    /// submission.
    fn send_message(
        &mut self,
        token: Token,
        message: &OutgoingMessage<'_>,
    ) -> Result<SendOutcome, ScenarioError> {
        let Some(Connection::Client(connection)) = self.connections.get_mut(&token) else {
            return Ok(SendOutcome::NoConnection);
        };
        let submission = self.clients.submissions.len();
        let request = connection.produce_request(message, submission)?;
        let position = ConnectionPosition { connection: token, sequence: connection.last_sequence };
        let record = submission_record(connection, position, message, self.now);
        self.clients.submissions.push(record);
        if connection.connected {
            self.transport.send(token, &request);
        } else {
            connection.backlog.push(request);
        }
        let answer_timeout = seconds(self.fleet.scenario.clients.answer_timeout_s);
        if answer_timeout > 0 {
            self.schedule_after(answer_timeout, Timer::AnswerTimeout { submission });
        }
        Ok(SendOutcome::Sent)
    }
}

/// Returns the record of a submission that is made now.
fn submission_record(
    connection: &ClientConnection,
    position: ConnectionPosition,
    message: &OutgoingMessage<'_>,
    now: Time,
) -> Submission {
    Submission {
        message: message.number as u64,
        courier: connection.courier,
        incarnation: connection.incarnation,
        position,
        class: message.planned.class,
        destination: message.planned.destination,
        key: message.planned.key,
        at: now,
        deadline: now + message.time_left_ms * NANOS_PER_MILLI,
        answers: Vec::new(),
        answer_travelled: 0,
        orphaned: None,
    }
}
