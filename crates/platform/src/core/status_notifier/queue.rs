//! The queue of unacknowledged notifications: when each is sent next, and with how many others.
//!
//! Each notification has a time of its own, so that none waits for the answer to another. One that is not answered
//! is sent again, at intervals that double.

use crate::core::clock::MILLISECOND;
use linnetcart::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an unanswered notification is sent for the second time. It may be sent first as late as its
/// message's deadline and has to arrive at most 300 ms after it, and the first connection may be dead.
pub const FIRST_RESEND_INTERVAL: Time = 200 * MILLISECOND;
/// Maximum time between two sends of a notification.
const MAX_RESEND_INTERVAL: Time = 800 * MILLISECOND;
/// Maximum length of a batch in bytes; the platform accepts bodies of 64 KiB.
const MAX_BATCH_BYTES: usize = 48 * 1024;
/// A rejected batch is sent again in this many parts, until the rejected notification is alone.
const REJECTED_PARTS: usize = 8;

/// A notification that is not acknowledged.
#[derive(Debug)]
struct Notification {
    /// The JSON object with its line feed.
    line: Vec<u8>,
    /// The notification's place in the schedule.
    due: DueNotification,
    /// Time from the next send to the one after it.
    resend_interval: Time,
    /// Maximum number of notifications in its next batch.
    batch_limit: usize,
}

/// A notification's place in the schedule, ordered by time and then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueNotification {
    at: Time,
    sequence: u64,
    message: u32,
}

/// Notifications that are sent together.
#[derive(Debug, PartialEq, Eq)]
pub struct Batch {
    /// The JSON lines.
    pub body: Vec<u8>,
    /// Numbers of the messages, in the order of their lines.
    pub messages: Vec<u32>,
}

/// The unacknowledged notifications. Times are monotonic, in nanoseconds.
#[derive(Debug, Default)]
pub struct NotificationQueue {
    /// The notifications by the numbers of their messages.
    notifications: BTreeMap<u32, Notification>,
    schedule: BTreeSet<DueNotification>,
    next_sequence: u64,
}

impl NotificationQueue {
    /// Returns the number of notifications.
    pub fn len(&self) -> usize {
        self.notifications.len()
    }

    /// Adds a notification, which is due at once.
    pub fn push(&mut self, message: u32, line: Vec<u8>) {
        self.remove(message);
        let due = DueNotification { at: 0, sequence: self.next_sequence, message };
        self.next_sequence += 1;
        self.schedule.insert(due);
        let resend_interval = FIRST_RESEND_INTERVAL;
        let notification = Notification { line, due, resend_interval, batch_limit: usize::MAX };
        self.notifications.insert(message, notification);
    }

    /// Removes a notification. Returns whether it was in the queue.
    pub fn remove(&mut self, message: u32) -> bool {
        let Some(removed) = self.notifications.remove(&message) else { return false };
        self.schedule.remove(&removed.due);
        true
    }

    /// Returns when the next notification is due; `None` for an empty queue.
    pub fn next_due(&self) -> Option<Time> {
        self.schedule.first().map(|due| due.at)
    }

    /// Whether a notification is due.
    pub fn is_due(&self, now: Time) -> bool {
        self.next_due().is_some_and(|at| at <= now)
    }

    /// Returns the next batch of due notifications, and schedules each of them again; `None` if none is due.
    pub fn next_batch(&mut self, now: Time) -> Option<Batch> {
        let mut batch = Batch { body: vec![], messages: vec![] };
        let mut limit = usize::MAX;
        for due in self.schedule.iter().take_while(|due| due.at <= now) {
            let Some(notification) = self.notifications.get(&due.message) else { continue };
            limit = limit.min(notification.batch_limit);
            let is_full =
                batch.messages.len() >= limit || batch.body.len() + notification.line.len() > MAX_BATCH_BYTES;
            if is_full && !batch.messages.is_empty() {
                break;
            }
            batch.body.extend_from_slice(&notification.line);
            batch.messages.push(due.message);
        }
        for &message in &batch.messages {
            self.schedule_resend(message, now);
        }
        (!batch.messages.is_empty()).then_some(batch)
    }

    fn schedule_resend(&mut self, message: u32, now: Time) {
        let Some(notification) = self.notifications.get_mut(&message) else { return };
        let at = now + notification.resend_interval;
        notification.resend_interval = (2 * notification.resend_interval).min(MAX_RESEND_INTERVAL);
        self.move_to(message, at);
    }

    /// Makes these notifications due at `now`, after the connection that carried them was lost.
    pub fn retry(&mut self, messages: &[u32], now: Time) {
        for &message in messages {
            self.move_to(message, now);
        }
    }

    /// Makes all notifications due at `now` and forgets how often each was sent, after discovery's address changed.
    pub fn restart(&mut self, now: Time) {
        let messages: Vec<u32> = self.notifications.keys().copied().collect();
        for notification in self.notifications.values_mut() {
            notification.resend_interval = FIRST_RESEND_INTERVAL;
        }
        self.retry(&messages, now);
    }

    /// Makes the notifications of a rejected batch due at `now`, in smaller batches.
    pub fn split(&mut self, messages: &[u32], now: Time) {
        let batch_limit = messages.len().div_ceil(REJECTED_PARTS);
        for message in messages {
            if let Some(notification) = self.notifications.get_mut(message) {
                notification.batch_limit = batch_limit.min(messages.len() - 1).max(1);
            }
        }
        self.retry(messages, now);
    }

    fn move_to(&mut self, message: u32, at: Time) {
        let Some(notification) = self.notifications.get_mut(&message) else { return };
        self.schedule.remove(&notification.due);
        notification.due.at = at;
        self.schedule.insert(notification.due);
    }
}
