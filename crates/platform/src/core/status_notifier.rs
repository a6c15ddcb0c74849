//! Status notifications: reports each message that is completed without delivery to the platform, in batches
//! of JSON lines (`POST /status` to discovery) that are sent again until they are acknowledged.
//!
//! Each batch has a connection of its own. The answers to two batches are equal, so on a shared connection the
//! answer to one could not be told from a copy of the answer to another. No batch waits for the answer to another.
//!
//! The notifier owns the queue, its connections to discovery and the ordering keys that wait for an
//! acknowledgement. A notification is dropped only if discovery rejects it in a batch of its own; the drop is
//! logged.

mod answer;
mod connections;
mod queue;

pub use answer::{BatchResult, NotificationError};

use super::connection_pool::ConnectionId;
use super::counters::NotificationCounts;
use crate::records::{FinalOutcome, Message};
use connections::NotifierConnections;
use linnetcart::Time;
use queue::NotificationQueue;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

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

/// What the core has to do with the notifier's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotifierAction {
    /// Nothing has to be done.
    Nothing,
    /// Establish a connection.
    Connect,
    /// Close this connection, which is not needed any more.
    Close(ConnectionId),
    /// Close this connection: it was not established, or its batch was not answered, in time.
    CloseTimedOut(ConnectionId),
}

/// A notification of a completion that is not written to the journal yet.
#[derive(Debug)]
struct UnrecordedNotification {
    message: u32,
    /// The JSON object with its line feed.
    line: Vec<u8>,
    /// The message's deadline: no process attempts the message later, so the notification needs no record.
    release_at: Time,
}

/// The status notifier.
#[derive(Debug)]
pub struct StatusNotifier {
    connections: NotifierConnections,
    /// Unacknowledged notifications.
    queue: NotificationQueue,
    /// Notifications that are queued once their completion is recorded or their message's deadline has
    /// passed.
    unrecorded: Vec<UnrecordedNotification>,
    /// Numbers of the messages with an unacknowledged notification and an ordering key, by ordering key.
    unacknowledged_by_key: BTreeMap<u64, BTreeSet<u32>>,
    counts: NotificationCounts,
}

impl StatusNotifier {
    /// Creates a notifier without notifications.
    pub fn new() -> StatusNotifier {
        StatusNotifier {
            connections: NotifierConnections::new(),
            queue: NotificationQueue::default(),
            unrecorded: vec![],
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
        let line = encode_line(message, outcome);
        self.unrecorded.push(UnrecordedNotification { message: number, line, release_at: deadline });
    }

    /// Queues all notifications that wait for a record, after records were written. Returns whether there
    /// were any.
    pub fn release_all(&mut self) -> bool {
        let any = !self.unrecorded.is_empty();
        for unrecorded in self.unrecorded.drain(..) {
            self.queue.push(unrecorded.message, unrecorded.line);
        }
        any
    }

    /// Returns the messages with an unrecorded notification whose deadline has passed.
    pub fn due_unrecorded(&self, now: Time) -> Vec<u32> {
        let due = self.unrecorded.iter().filter(|unrecorded| unrecorded.release_at <= now);
        due.map(|unrecorded| unrecorded.message).collect()
    }

    /// Queues the unrecorded notification of a message with this outcome, whatever it was added with.
    pub fn release_as(&mut self, number: u32, message: &Message, outcome: FinalOutcome) {
        self.unrecorded.retain(|unrecorded| unrecorded.message != number);
        self.queue.push(number, encode_line(message, outcome));
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

    /// Whether `id` is a connection on which notifications are sent.
    pub fn owns(&self, id: ConnectionId) -> bool {
        self.connections.contains(id)
    }

    /// Returns what the caller has to do with the connections. To be called until it returns
    /// [`NotifierAction::Nothing`].
    pub fn poll(&mut self, now: Time) -> NotifierAction {
        if let Some(id) = self.connections.timed_out(now) {
            self.abandon(id, now);
            return NotifierAction::CloseTimedOut(id);
        }
        let ready = self.connections.ready();
        if let (Some(id), false) = (ready, self.queue.is_due(now)) {
            self.connections.remove(id);
            return NotifierAction::Close(id);
        }
        let wants_connection = ready.is_none() && self.queue.is_due(now);
        if !wants_connection || self.connections.next_connect_at() > now {
            return NotifierAction::Nothing;
        }
        if !self.connections.is_full() {
            return NotifierAction::Connect;
        }
        let Some(evicted) = self.connections.longest_unanswered() else { return NotifierAction::Nothing };
        self.connections.remove(evicted);
        NotifierAction::Close(evicted)
    }

    /// Removes a connection that timed out. That it was not established is a failure of discovery; an answer that
    /// does not come is only slow, and its notifications have been sent again meanwhile.
    fn abandon(&mut self, id: ConnectionId, now: Time) {
        let removed = self.connections.remove(id);
        if removed.is_some_and(|connection| !connection.awaits_answer()) {
            self.connections.failed(now);
        }
    }

    /// Returns the monotonic time at which [`StatusNotifier::poll`] must be called again at the latest;
    /// [`Time::MAX`] without notifications.
    pub fn next_wake(&self) -> Time {
        let release_at = self.unrecorded.iter().map(|unrecorded| unrecorded.release_at);
        let next_release = release_at.min().unwrap_or(Time::MAX);
        let next_send = self.queue.next_due().map(|due| due.max(self.connections.next_connect_at()));
        next_release.min(next_send.unwrap_or(Time::MAX)).min(self.connections.next_timeout())
    }

    /// Records the id of a connection that is being established.
    pub fn connecting(&mut self, id: ConnectionId, now: Time) {
        self.connections.connecting(id, now);
    }

    /// Handles an established connection.
    pub fn connected(&mut self, id: ConnectionId) {
        self.connections.connected(id);
    }

    /// Handles the loss of a connection, or its close after an error: its notifications are sent again.
    pub fn disconnected(&mut self, id: ConnectionId, now: Time) {
        if let Some(lost) = self.connections.remove(id) {
            self.queue.retry(&lost.messages, now);
        }
        self.connections.failed(now);
    }

    /// Handles a connect that failed locally, for example because no file descriptor or port was available.
    pub fn connect_failed_locally(&mut self, id: ConnectionId, now: Time) {
        self.connections.remove(id);
        self.connections.failed_locally(now);
    }

    /// Sends all notifications again at once, after discovery's address changed. Returns the connections to be
    /// closed.
    pub fn restart(&mut self, now: Time) -> Vec<ConnectionId> {
        self.queue.restart(now);
        self.connections.clear()
    }

    /// Returns the next batch as a request, or `None` if no notification is due or no connection is ready.
    pub fn next_request(&mut self, now: Time, host: SocketAddr) -> Option<NotificationRequest> {
        let connection = self.connections.ready()?;
        let batch = self.queue.next_batch(now)?;
        let length = batch.body.len();
        let head = format!(
            "POST /status HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-ndjson\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        let bytes = [head.as_bytes(), &batch.body].concat();
        self.connections.sent(connection, batch.messages.clone(), bytes.len() as u64, now);
        Some(NotificationRequest { connection, bytes, messages: batch.messages })
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
