//! The meaning of the journal's records, and the state that they add up to when they are replayed.
//!
//! | record | written before |
//! | --- | --- |
//! | accepted | the client is answered |
//! | attempt sent | the first byte of the attempt |
//! | not executed | the message is sent again |
//! | completed | the status notification; for a delivered message, any other effect of the delivery |
//! | notified | the notification is forgotten |
//! | names | all other records of a file: it defines the indexes of classes and zones |
//! | completed id | nothing; a new file begins with the ids of the previous one |
//! | key cooldown | the next message of the key is sent |
//! | clock reference | all records with times: it relates their wall-clock times to the monotonic clock |
//!
//! An attempt that is recorded as sent and not recorded as not executed was possibly executed.
//!
//! This module owns the bytes of the records ([`Record::encode`], [`Record::decode`]) and their meaning
//! ([`Replay`]). It never accesses a file: frames and files belong to `linnetcart-journal`.

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
        /// The message.
        message: u32,
        /// The attempt.
        attempt: SentAttempt,
    },
    /// An attempt was certainly not executed.
    NotExecuted {
        /// The message.
        message: u32,
        /// The attempt's number.
        attempt: u16,
    },
    /// A message has its final outcome.
    Completed {
        /// The message.
        message: u32,
        /// The outcome.
        outcome: FinalOutcome,
    },
    /// The platform acknowledged the notification of the outcome.
    Notified {
        /// The message.
        message: u32,
    },
    /// Names of the classes and zones to which the following records refer by index.
    Names {
        /// Names of the classes.
        classes: Vec<String>,
        /// Names of the zones.
        zones: Vec<String>,
    },
    /// How the wall-clock times of the following records relate to the monotonic clock.
    ClockReference(ClockReference),
    /// The id of a completed message, which may be submitted again.
    CompletedId(CompletedId),
    /// An attempt for an ordering key ended and may still be executing.
    KeyCooldown {
        /// The ordering key.
        ordering_key: u64,
        /// No message of the key is sent before; wall-clock time in nanoseconds.
        until: Time,
    },
}

/// What is stored of a completed message: enough to recognise it when it is submitted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedId {
    /// Digest of its id.
    pub id_digest: u64,
    /// Digest of its content.
    pub content_digest: u64,
    /// When the id may be forgotten; wall-clock time in nanoseconds.
    pub expires_at: Time,
}

/// A message as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its id.
    pub id: Vec<u8>,
    /// Its idempotency key.
    pub idempotency_key: Option<Vec<u8>>,
    /// Index of its class.
    pub class: u8,
    /// Its destination.
    pub destination: u32,
    /// Its ordering key; 0 for none.
    pub ordering_key: u64,
    /// Its deadline; wall-clock time in nanoseconds.
    pub wall_deadline: Time,
    /// Its body.
    pub body: Vec<u8>,
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    /// Its number, counted from 0.
    pub number: u16,
    /// Index of its endpoint's zone.
    pub zone: u8,
    /// When it was sent; wall-clock time in nanoseconds.
    pub sent_at: Time,
}

/// The final outcome of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Delivered.
    Delivered,
    /// Failed.
    Failed,
    /// Returned to its sender undelivered.
    Returned {
        /// Delay before it should be submitted again, in milliseconds; 0 for no advice.
        retry_after_ms: u32,
    },
}

/// The index of a class or zone that the present settings do not name.
pub const UNKNOWN_INDEX: u8 = u8::MAX;

/// Returns the digest of byte strings. Digests are stored, so the function must not change. It is not
/// resistant to deliberate collisions.
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

impl Message {
    /// Returns what is stored of the message once it is completed.
    pub fn completed_id(&self) -> CompletedId {
        let destination = self.destination.to_le_bytes();
        let ordering_key = self.ordering_key.to_le_bytes();
        let address = [&destination[..], &ordering_key, &[self.class]].concat();
        CompletedId {
            id_digest: digest(&[&self.id]),
            content_digest: digest(&[&address, &self.body]),
            expires_at: self.wall_deadline,
        }
    }

    /// Returns the id as text, for logs and notifications.
    pub fn id_text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}

#[cfg(test)]
mod tests;
