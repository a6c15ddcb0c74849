//! Status notifications: the platform is notified of each message that is completed without delivery, until
//! it acknowledges.
//!
//! It owns the queue, its connection to discovery and the ordering keys that wait for an acknowledgement. No
//! notification is ever dropped silently.

use super::clock::MILLISECOND;
use super::connection_pool::ConnectionId;
use super::counters::NotificationCounts;
use super::reconnect::{ConnectionDemand, Reconnect};
use crate::records::{FinalOutcome, Message};
use linnetcart::Time;
use linnetcart_http::{parse_response, ParsedResponse, Persistence};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// A batch that is not answered within this time is sent again; discovery answers at once. A notification is
/// sent when its message's time ends and has to arrive within 300 ms, so a dead connection has to be replaced
/// before.
const ANSWER_TIMEOUT: Time = 200 * MILLISECOND;
/// Maximum number of notifications in a request.
const MAX_BATCH: usize = 64;

/// Why the answer to a batch is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotificationError {
    /// The answer is not HTTP.
    #[error("the answer is no HTTP response")]
    Malformed,
    /// The length of the answer's body is unknown.
    #[error("the answer with status {0} has a body of unknown length")]
    UnboundedBody(u16),
    /// The status means neither accepted nor rejected.
    #[error("the answer has status {0}")]
    Status(u16),
}

/// Discovery's verdict on a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Discovery accepted the notifications.
    Accepted,
    /// Discovery will never accept the notifications.
    Rejected,
}

/// Messages whose notifications need not be sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acknowledged {
    /// The messages, in the order of their notifications.
    pub messages: Vec<u32>,
    /// Discovery's verdict on their notifications.
    pub verdict: Verdict,
}

impl Acknowledged {
    fn nothing() -> Acknowledged {
        Acknowledged { messages: vec![], verdict: Verdict::Accepted }
    }
}

/// A request that notifies the platform of a batch of outcomes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotificationRequest {
    /// The connection on which the request is sent.
    pub connection: ConnectionId,
    /// The complete HTTP request.
    pub bytes: Vec<u8>,
}

#[derive(Debug)]
struct Notification {
    message: u32,
    line: Vec<u8>,
}

/// A notification whose completion is not recorded yet.
#[derive(Debug)]
struct UnrecordedNotification {
    notification: Notification,
    /// When the message's time is over, so that no process can attempt it any more.
    release_at: Time,
}

/// The status notifier.
#[derive(Debug)]
pub struct StatusNotifier {
    reconnect: Reconnect,
    connection: Option<ConnectionId>,
    /// Unacknowledged notifications in the order of their completion.
    queue: VecDeque<Notification>,
    /// Notifications that are sent once their completion is recorded, or the message's time is over.
    unrecorded: Vec<UnrecordedNotification>,
    /// Number of notifications at the front of the queue that are sent and not answered.
    sent: usize,
    /// Maximum size of the next batch. It is 1 after a batch was rejected, to find the notification at fault.
    batch_limit: usize,
    sent_at: Time,
    response: Vec<u8>,
    /// The queue's messages that have an ordering key, by that key.
    unacknowledged_by_key: BTreeMap<u64, BTreeSet<u32>>,
    counts: NotificationCounts,
}

impl StatusNotifier {
    /// Creates a notifier without notifications.
    pub fn new() -> StatusNotifier {
        StatusNotifier {
            reconnect: Reconnect::new(),
            connection: None,
            queue: VecDeque::new(),
            unrecorded: vec![],
            sent: 0,
            batch_limit: MAX_BATCH,
            sent_at: 0,
            response: vec![],
            unacknowledged_by_key: BTreeMap::new(),
            counts: NotificationCounts::default(),
        }
    }

    /// Adds the notification of a message's outcome, which is queued by [`StatusNotifier::release_all`] once the
    /// outcome is recorded, or by [`StatusNotifier::release_due`] after `deadline`. A delivered message needs
    /// none.
    pub fn push(&mut self, number: u32, message: &Message, outcome: FinalOutcome, deadline: Time) {
        let mut line = serde_json::json!({"id": message.id_text(), "state": "failed"});
        match outcome {
            FinalOutcome::Delivered => return,
            FinalOutcome::Failed => self.counts.failed += 1,
            FinalOutcome::Returned { retry_after_ms } => {
                self.counts.returned += 1;
                line["state"] = "returned".into();
                if retry_after_ms > 0 {
                    line["after_ms"] = retry_after_ms.into();
                }
            }
        }
        if message.ordering_key != 0 {
            self.unacknowledged_by_key.entry(message.ordering_key).or_default().insert(number);
        }
        let notification = Notification { message: number, line: format!("{line}\n").into_bytes() };
        self.unrecorded.push(UnrecordedNotification { notification, release_at: deadline });
    }

    /// Queues the notifications whose outcomes are recorded now. Returns whether there are any.
    pub fn release_all(&mut self) -> bool {
        let any = !self.unrecorded.is_empty();
        self.queue.extend(self.unrecorded.drain(..).map(|unrecorded| unrecorded.notification));
        any
    }

    /// Queues the notifications of messages whose time is over.
    pub fn release_due(&mut self, now: Time) {
        let due = self.unrecorded.extract_if(.., |unrecorded| unrecorded.release_at <= now);
        self.queue.extend(due.map(|unrecorded| unrecorded.notification));
    }

    /// Returns the number of unacknowledged notifications.
    pub fn len(&self) -> usize {
        self.queue.len() + self.unrecorded.len()
    }

    /// Returns the counts of notifications queued since the start.
    pub fn counts(&self) -> NotificationCounts {
        self.counts
    }

    /// Whether a message has to wait for the acknowledgement of another message of its ordering key.
    pub fn blocks(&self, ordering_key: u64, message: u32) -> bool {
        let Some(messages) = self.unacknowledged_by_key.get(&ordering_key) else { return false };
        messages.iter().any(|&other| other != message)
    }

    /// Ends the wait of an ordering key for a message's acknowledgement.
    pub fn release(&mut self, ordering_key: u64, message: u32) {
        if let Some(messages) = self.unacknowledged_by_key.get_mut(&ordering_key) {
            messages.remove(&message);
            if messages.is_empty() {
                self.unacknowledged_by_key.remove(&ordering_key);
            }
        }
    }

    /// Whether this connection is the notifier's.
    pub fn owns(&self, id: ConnectionId) -> bool {
        self.connection == Some(id)
    }

    /// Returns what has to be done about the connection now.
    pub fn poll(&mut self, now: Time) -> ConnectionDemand {
        let answer_timed_out =
            self.reconnect.is_connected() && self.sent > 0 && self.sent_at + ANSWER_TIMEOUT <= now;
        if answer_timed_out || self.reconnect.connect_timed_out(now) {
            self.reconnect.disconnected(now);
            self.sent = 0;
            return ConnectionDemand::Close;
        }
        if !self.queue.is_empty() && self.reconnect.begin_connect(now) {
            return ConnectionDemand::Connect;
        }
        ConnectionDemand::Nothing
    }

    /// Returns when to poll again; [`Time::MAX`] without notifications.
    pub fn next_wake(&self) -> Time {
        let release_at = self.unrecorded.iter().map(|unrecorded| unrecorded.release_at);
        let next_release = release_at.min().unwrap_or(Time::MAX);
        if self.queue.is_empty() {
            return next_release;
        }
        let answer_due = if self.sent > 0 { self.sent_at + ANSWER_TIMEOUT } else { Time::MAX };
        self.reconnect.next_wake(answer_due).min(next_release)
    }

    /// Records the id of the connection that is being established.
    pub fn connecting(&mut self, id: ConnectionId) {
        self.connection = Some(id);
    }

    /// Takes the connection, which the caller has to close.
    pub fn take_connection(&mut self) -> Option<ConnectionId> {
        self.connection.take()
    }

    /// Handles the established connection.
    pub fn connected(&mut self) {
        self.reconnect.connected();
        self.sent = 0;
        self.response.clear();
    }

    /// Handles the loss of the connection, or its close after an error: unanswered notifications are sent
    /// again.
    pub fn disconnected(&mut self, now: Time) {
        self.connection = None;
        self.reconnect.disconnected(now);
        self.sent = 0;
    }

    /// Handles a connect that this machine could not begin.
    pub fn connect_failed_locally(&mut self, now: Time) {
        self.connection = None;
        self.reconnect.failed_locally(now);
    }

    /// Reconnects at once, without backoff, after discovery's address changed. Returns the connection to be
    /// closed, if any.
    pub fn restart(&mut self) -> Option<ConnectionId> {
        self.reconnect = Reconnect::new();
        self.sent = 0;
        self.connection.take()
    }

    /// Returns the request to be sent now, or `None` while there is nothing to send, the connection is not
    /// made or the last batch is not answered.
    pub fn next_request(&mut self, now: Time, host: SocketAddr) -> Option<NotificationRequest> {
        let connection = self.connection?;
        if !self.reconnect.is_connected() || self.sent > 0 || self.queue.is_empty() {
            return None;
        }
        self.sent = self.queue.len().min(self.batch_limit);
        self.sent_at = now;
        let mut body = Vec::new();
        for notification in self.queue.iter().take(self.sent) {
            body.extend_from_slice(&notification.line);
        }
        let length = body.len();
        let head = format!(
            "POST /status HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-ndjson\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        Some(NotificationRequest { connection, bytes: [head.as_bytes(), &body].concat() })
    }

    /// Handles received bytes. Returns the messages whose notifications need not be sent again. A
    /// notification that is rejected alone would be rejected for ever and block all others, so it counts as
    /// acknowledged. After an error the connection has to be closed.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Acknowledged, NotificationError> {
        self.response.extend_from_slice(bytes);
        let head = match parse_response(&self.response) {
            ParsedResponse::Incomplete { .. } => return Ok(Acknowledged::nothing()),
            ParsedResponse::Malformed { .. } => return Err(NotificationError::Malformed),
            ParsedResponse::Head(head) => head,
        };
        let body_length = head.body.ok_or(NotificationError::UnboundedBody(head.status))?;
        let length = head.length + body_length;
        if self.response.len() < length {
            return Ok(Acknowledged::nothing());
        }
        self.response.drain(..length);
        let verdict = match head.status {
            200 | 204 if self.sent > 0 => Verdict::Accepted,
            400 if self.sent > 0 => Verdict::Rejected,
            status => return Err(NotificationError::Status(status)),
        };
        self.reconnect.reset_backoff();
        let messages = self.finish_batch(verdict);
        // Discovery announced that it closes this connection, so the notifier does not: the next connect
        // replaces its id, and the connection ends when discovery closes it.
        if head.persistence == Persistence::Close {
            self.reconnect.schedule_retry(0);
        }
        Ok(Acknowledged { messages, verdict })
    }

    /// Removes the answered batch from the queue and returns its messages. A rejected batch of several
    /// notifications stays queued, to be sent one by one.
    fn finish_batch(&mut self, verdict: Verdict) -> Vec<u32> {
        let sent = std::mem::take(&mut self.sent);
        let done = match verdict {
            Verdict::Accepted => {
                self.batch_limit = (2 * self.batch_limit).min(MAX_BATCH);
                sent
            }
            Verdict::Rejected if sent > 1 => {
                self.batch_limit = 1;
                0
            }
            Verdict::Rejected => sent,
        };
        self.queue.drain(..done).map(|notification| notification.message).collect()
    }
}

#[cfg(test)]
mod tests;
