//! Status notifications: reports each message that is completed without delivery to the platform, in batches
//! of JSON lines (`POST /status` to discovery) that are sent again until they are acknowledged.
//!
//! Each batch has a connection of its own. The answers to two batches are equal, so on a shared connection the
//! answer to one could not be told from a copy of the answer to another.
//!
//! The notifier owns the queue, its connection to discovery and the ordering keys that wait for an
//! acknowledgement. A notification is dropped only if discovery rejects it in a batch of its own; the drop is
//! logged.

mod answer;

pub use answer::{BatchResult, NotificationError};

use super::clock::MILLISECOND;
use super::connection_pool::ConnectionId;
use super::counters::NotificationCounts;
use super::reconnect::{ConnectionAction, Reconnect};
use crate::records::{FinalOutcome, Message};
use linnetcart::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// A batch that is not answered within this time is sent again on a new connection; discovery normally
/// answers at once. A notification may be sent as late as its message's deadline and has to arrive at most
/// 300 ms after it, so a dead connection has to be replaced before.
const ANSWER_TIMEOUT: Time = 200 * MILLISECOND;
/// Maximum number of notifications in a request.
const MAX_BATCH: usize = 64;

/// A request with a batch of notifications.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotificationRequest {
    /// The connection on which the request is sent.
    pub connection: ConnectionId,
    /// The complete HTTP request.
    pub bytes: Vec<u8>,
    /// Numbers of the messages of whose outcomes it notifies.
    pub messages: Vec<u32>,
}

/// The notification of a message's outcome.
#[derive(Debug)]
struct Notification {
    message: u32,
    /// The JSON object with its line feed.
    line: Vec<u8>,
}

/// A notification of a completion that is not written to the journal yet.
#[derive(Debug)]
struct UnrecordedNotification {
    notification: Notification,
    /// The message's deadline: no process attempts the message later, so the notification needs no record.
    release_at: Time,
}

/// The status notifier.
#[derive(Debug)]
pub struct StatusNotifier {
    reconnect: Reconnect,
    connection: Option<ConnectionId>,
    /// Unacknowledged notifications in the order of their completion.
    queue: VecDeque<Notification>,
    /// Notifications that are queued once their completion is recorded or their message's deadline has
    /// passed.
    unrecorded: Vec<UnrecordedNotification>,
    /// Size of the outstanding batch: the notifications at the front of the queue that are sent and not
    /// answered.
    sent: usize,
    /// Maximum number of notifications in the next batch. It drops to 1 when a batch is rejected, to isolate
    /// the invalid notification, and doubles with each accepted batch.
    batch_limit: usize,
    sent_at: Time,
    /// Length of the request with the outstanding batch, in bytes.
    request_bytes: u64,
    response: Vec<u8>,
    /// Numbers of the messages with an unacknowledged notification and an ordering key, by ordering key.
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
            request_bytes: 0,
            response: vec![],
            unacknowledged_by_key: BTreeMap::new(),
            counts: NotificationCounts::default(),
        }
    }

    /// Adds the notification of a message's outcome. [`StatusNotifier::release_all`] queues it once the
    /// outcome is recorded, [`StatusNotifier::release_as`] at `deadline` (monotonic time) at the latest. A
    /// delivered message needs none.
    pub fn push(&mut self, number: u32, message: &Message, outcome: FinalOutcome, deadline: Time) {
        match outcome {
            FinalOutcome::Delivered => return,
            FinalOutcome::Failed => self.counts.failed += 1,
            FinalOutcome::Returned { .. } => self.counts.returned += 1,
        }
        if message.ordering_key != 0 {
            self.unacknowledged_by_key.entry(message.ordering_key).or_default().insert(number);
        }
        let notification = Notification { message: number, line: encode_line(message, outcome) };
        self.unrecorded.push(UnrecordedNotification { notification, release_at: deadline });
    }

    /// Queues all notifications that wait for a record, after records were written. Returns whether there
    /// were any.
    pub fn release_all(&mut self) -> bool {
        let any = !self.unrecorded.is_empty();
        self.queue.extend(self.unrecorded.drain(..).map(|unrecorded| unrecorded.notification));
        any
    }

    /// Returns the messages with an unrecorded notification whose deadline has passed.
    pub fn due_unrecorded(&self, now: Time) -> Vec<u32> {
        let due = self.unrecorded.iter().filter(|unrecorded| unrecorded.release_at <= now);
        due.map(|unrecorded| unrecorded.notification.message).collect()
    }

    /// Queues the unrecorded notification of a message with this outcome, whatever it was added with.
    pub fn release_as(&mut self, number: u32, message: &Message, outcome: FinalOutcome) {
        self.unrecorded.retain(|unrecorded| unrecorded.notification.message != number);
        self.queue.push_back(Notification { message: number, line: encode_line(message, outcome) });
    }

    /// Returns the number of unacknowledged notifications, including unrecorded ones.
    pub fn len(&self) -> usize {
        self.queue.len() + self.unrecorded.len()
    }

    /// Returns the numbers of notifications added since the start of the process, by outcome.
    pub fn counts(&self) -> NotificationCounts {
        self.counts
    }

    /// Whether a message must not be attempted yet, because the notification of an earlier message of its
    /// ordering key is unacknowledged. Messages are numbered in the order of their acceptance; later ones of the
    /// key wait for this message, whatever their end.
    pub fn blocks(&self, ordering_key: u64, message: u32) -> bool {
        let Some(messages) = self.unacknowledged_by_key.get(&ordering_key) else { return false };
        messages.iter().any(|&other| is_earlier(other, message))
    }

    /// Records that the notification of a message is acknowledged, so that the message no longer blocks the
    /// others of its ordering key.
    pub fn release(&mut self, ordering_key: u64, message: u32) {
        if let Some(messages) = self.unacknowledged_by_key.get_mut(&ordering_key) {
            messages.remove(&message);
            if messages.is_empty() {
                self.unacknowledged_by_key.remove(&ordering_key);
            }
        }
    }

    /// Whether `id` is the connection on which notifications are sent.
    pub fn owns(&self, id: ConnectionId) -> bool {
        self.connection == Some(id)
    }

    /// Returns whether the caller has to establish or close the connection now.
    pub fn poll(&mut self, now: Time) -> ConnectionAction {
        let answer_timed_out =
            self.reconnect.is_connected() && self.sent > 0 && self.sent_at + ANSWER_TIMEOUT <= now;
        if answer_timed_out || self.reconnect.connect_timed_out(now) {
            self.reconnect.disconnected(now);
            self.sent = 0;
            return ConnectionAction::Close;
        }
        if !self.queue.is_empty() && self.reconnect.begin_connect(now) {
            return ConnectionAction::Connect;
        }
        ConnectionAction::Nothing
    }

    /// Returns the monotonic time at which [`StatusNotifier::poll`] must be called again at the latest;
    /// [`Time::MAX`] without notifications.
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

    /// Takes the id of the notifier's connection, which the caller has to close; `None` if there is none.
    pub fn take_connection(&mut self) -> Option<ConnectionId> {
        self.connection.take()
    }

    /// Handles the established connection.
    pub fn connected(&mut self) {
        self.reconnect.connected();
        self.response.clear();
    }

    /// Handles the loss of the connection, or its close after an error: unanswered notifications are sent
    /// again.
    pub fn disconnected(&mut self, now: Time) {
        self.connection = None;
        self.reconnect.disconnected(now);
        self.sent = 0;
    }

    /// Handles a connect that failed locally, for example because no file descriptor or port was available.
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

    /// Returns the next batch as a request, or `None` while the queue is empty, the connection is not
    /// established or a batch is outstanding.
    pub fn next_request(&mut self, now: Time, host: SocketAddr) -> Option<NotificationRequest> {
        let connection = self.connection?;
        if !self.reconnect.is_connected() || self.sent > 0 || self.queue.is_empty() {
            return None;
        }
        self.sent = self.queue.len().min(self.batch_limit);
        self.sent_at = now;
        let mut body = Vec::new();
        let mut messages = Vec::new();
        for notification in self.queue.iter().take(self.sent) {
            body.extend_from_slice(&notification.line);
            messages.push(notification.message);
        }
        let length = body.len();
        let head = format!(
            "POST /status HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-ndjson\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        let bytes = [head.as_bytes(), &body].concat();
        self.request_bytes = bytes.len() as u64;
        Some(NotificationRequest { connection, bytes, messages })
    }
}

/// Whether a message number was allocated before another one. Numbers wrap around.
fn is_earlier(number: u32, other: u32) -> bool {
    number != other && other.wrapping_sub(number) <= u32::MAX / 2
}

/// Returns the line of a batch that reports the outcome of a message.
fn encode_line(message: &Message, outcome: FinalOutcome) -> Vec<u8> {
    let mut line = serde_json::json!({"id": message.id_text(), "state": "failed"});
    if let FinalOutcome::Returned { retry_after_ms } = outcome {
        line["state"] = "returned".into();
        if retry_after_ms > 0 {
            line["after_ms"] = retry_after_ms.into();
        }
    }
    format!("{line}\n").into_bytes()
}

#[cfg(test)]
mod tests;
