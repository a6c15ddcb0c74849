//! The records of the write-ahead journal: their types, their encoding, and the replay that restores the
//! state from them.
//!
//! | record | written before |
//! | --- | --- |
//! | accepted | the client is answered 202 |
//! | attempt sent | the first byte of the attempt's request is sent |
//! | not executed | the message is attempted again |
//! | completed | the status notification is sent; for a delivered message, any other effect of the delivery |
//! | notified | the acknowledged notification is deleted |
//! | names | all other records of a file, which refer to classes and zones by index |
//! | completed id | nothing; it is part of the snapshot at the start of a new file |
//! | key cooldown | the next message of the key is attempted |
//! | clock reference | all records with times; it relates their wall-clock times to the monotonic clock |
//!
//! An attempt with the record "attempt sent" and without the record "not executed" counts as possibly
//! executed.
//!
//! This module owns the bytes of the records ([`Record::encode`], [`Record::decode`]) and their meaning
//! ([`Replay`]). It accesses no file: framing, checksums and files belong to `linnetcart-journal`.

mod clock_reference;
mod codec;
mod replay;

pub use clock_reference::ClockReference;
pub use replay::{Completion, PendingMessage, Replay};

use linnetcart::Time;
use std::borrow::Cow;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted.
    Accepted {
        /// The number by which later records refer to the message.
        number: u32,
        /// The message.
        message: Message,
    },
    /// An attempt was sent.
    AttemptSent {
        /// The message's number.
        message: u32,
        /// The attempt.
        attempt: SentAttempt,
    },
    /// An attempt ended with an outcome that excludes execution by the endpoint.
    NotExecuted {
        /// The message's number.
        message: u32,
        /// The attempt's number.
        attempt: u16,
    },
    /// A message has its final outcome.
    Completed {
        /// The message's number.
        message: u32,
        /// The outcome.
        outcome: FinalOutcome,
    },
    /// The platform acknowledged the notification of the outcome.
    Notified {
        /// The message's number.
        message: u32,
    },
    /// Names of the classes and zones to which the following records refer by index.
    Names {
        /// Names of the classes; the class index of a record is a position in this list.
        classes: Vec<String>,
        /// Names of the zones; the zone index of a record is a position in this list.
        zones: Vec<String>,
    },
    /// How the wall-clock times of the following records relate to the monotonic clock.
    ClockReference(ClockReference),
    /// The id of a message that has ended, kept to recognise repeated submissions.
    CompletedId(CompletedId),
    /// An attempt of a message with this ordering key ended, and its endpoint may still be executing it.
    KeyCooldown {
        /// The ordering key.
        ordering_key: u64,
        /// No new message of the key is attempted before this wall-clock time, in nanoseconds.
        until: Time,
    },
}

/// How the message of an id ended. It decides what a repeated submission is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdEnd {
    /// The message was delivered, or the platform was notified that it failed.
    Completed,
    /// The platform was notified that the message is returned.
    Returned,
    /// The client was told that the message is rejected.
    Rejected,
    /// The client was told that the message failed.
    Failed,
    /// The client was told that its request is invalid. Earlier versions kept the ids of such requests.
    Invalid,
}

/// The digests by which the message of an ended id is recognised when it is submitted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedId {
    /// Digest of the message's id.
    pub id_digest: u64,
    /// Digest of the message's content: destination, ordering key, class, body and, if it has one, idempotency key.
    pub content_digest: u64,
    /// The message's deadline, some time after which the entry may be deleted; wall-clock time in nanoseconds.
    pub expires_at: Time,
    /// How the message ended.
    pub end: IdEnd,
}

/// A message as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The message's id, chosen by the client.
    pub id: Vec<u8>,
    /// The idempotency key chosen by the client; `None` if the client sent none.
    pub idempotency_key: Option<Vec<u8>>,
    /// Index of the message's class in the present settings or, before the replay, in the names record.
    pub class: u8,
    /// Number of the destination.
    pub destination: u32,
    /// The ordering key; 0 if the message has none.
    pub ordering_key: u64,
    /// The message's deadline; wall-clock time in nanoseconds.
    pub wall_deadline: Time,
    /// The body of the client's request, which is delivered unchanged.
    pub body: Vec<u8>,
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// The attempt's number, counted from 0 for each message.
    pub number: u16,
    /// Index of the zone of the attempt's endpoint.
    pub zone: u8,
    /// When the attempt was sent; wall-clock time in nanoseconds.
    pub sent_at: Time,
}

/// How a message was completed. Outcomes other than `Delivered` are reported by a status notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// An endpoint executed the message in time.
    Delivered,
    /// Failed; the platform is notified.
    Failed,
    /// Returned undelivered; the platform is notified, and the sender may submit the message again under a new
    /// id.
    Returned {
        /// Advised delay before the message is submitted again, in milliseconds; 0 for no advice.
        retry_after_ms: u32,
    },
}

impl FinalOutcome {
    /// Returns how the id of a message with this outcome ended.
    pub fn id_end(self) -> IdEnd {
        match self {
            FinalOutcome::Delivered | FinalOutcome::Failed => IdEnd::Completed,
            FinalOutcome::Returned { .. } => IdEnd::Returned,
        }
    }
}

/// The index of a class or zone that the present settings do not contain.
pub const UNKNOWN_INDEX: u8 = u8::MAX;

/// Returns a 64-bit digest of byte strings. Digests are stored in the journal, so the function must not
/// change. Its key is fixed, so it does not resist deliberate collisions.
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

impl Message {
    /// Returns the digests that are stored once the message has ended.
    pub fn completed_id(&self, end: IdEnd) -> CompletedId {
        let destination = self.destination.to_le_bytes();
        let ordering_key = self.ordering_key.to_le_bytes();
        let address = [&destination[..], &ordering_key, &[self.class]].concat();
        let content_digest = match &self.idempotency_key {
            None => digest(&[&address, &self.body]),
            Some(key) => digest(&[&address, &self.body, key]),
        };
        CompletedId { id_digest: digest(&[&self.id]), content_digest, expires_at: self.wall_deadline, end }
    }

    /// Whether two messages have the same content: all that is passed on or decides about them. Ids and deadlines are
    /// not compared; the deadline of a message that is submitted again may differ.
    pub fn has_content_of(&self, other: &Message) -> bool {
        self.class == other.class
            && self.destination == other.destination
            && self.ordering_key == other.ordering_key
            && self.idempotency_key == other.idempotency_key
            && self.body == other.body
    }

    /// Returns the id as text for logs and notifications; invalid UTF-8 is replaced.
    pub fn id_text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}

#[cfg(test)]
mod tests;
