//! The meaning of the journal's records, and the state that they add up to when they are read again.
//!
//! | record | written before |
//! | --- | --- |
//! | accepted | the client is answered |
//! | attempt sent | the first byte of the attempt |
//! | not executed | the message is sent again |
//! | completed | the status notification; for a delivered message, before anything else is done for it |
//! | notified | the notification is forgotten |
//! | names | all that follows: it says what indexes of classes and zones mean |
//! | completed id | nothing; a new file begins with those of the file before |
//! | key cooldown | the next message of the key is sent |
//!
//! An attempt that was sent and is not recorded as not executed was possibly executed.
//!
//! This module owns the bytes of the records ([`Record::encode`], [`Record::decode`]) and their meaning
//! ([`Replay`]). It never touches a file: frames and files are `linnetcart-journal`'s.

mod codec;
mod replay;

pub use replay::{PendingMessage, Replay};

use linnetcart::Time;
use std::borrow::Cow;
use std::hash::{DefaultHasher, Hash, Hasher};

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was accepted.
    Accepted {
        /// The number that later records name it by.
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
    /// Names of the classes and zones that the records after this one give by index.
    Names {
        /// Of the classes.
        classes: Vec<String>,
        /// Of the zones.
        zones: Vec<String>,
    },
    /// A completed message that may be submitted once more under its id.
    CompletedId(CompletedId),
    /// An attempt for an ordering key ended and may still be executing.
    KeyCooldown {
        /// The ordering key.
        ordering_key: u64,
        /// Nothing of the key is sent before, nanoseconds of the wall clock.
        until: Time,
    },
}

/// What is kept of a completed message: enough to recognise it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedId {
    /// Digest of its id.
    pub id_digest: u64,
    /// Digest of the rest of it.
    pub content_digest: u64,
    /// Kept until then, nanoseconds of the wall clock.
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
    /// The key that it keeps order by; 0 for none.
    pub ordering_key: u64,
    /// Nanoseconds of the wall clock.
    pub deadline: Time,
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
    /// When, nanoseconds of the wall clock.
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
        /// When to submit it again, in milliseconds; 0: not said.
        retry_after_ms: u32,
    },
}

/// The index of a class or zone that the settings of this process do not name.
pub const UNKNOWN_INDEX: u8 = u8::MAX;

/// The number that stands for bytes in the journal. It does not withstand bytes that were chosen to collide.
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

impl Message {
    /// What is kept of it once it is completed.
    pub fn completed_id(&self) -> CompletedId {
        let destination = self.destination.to_le_bytes();
        let ordering_key = self.ordering_key.to_le_bytes();
        let address = [&destination[..], &ordering_key, &[self.class]].concat();
        CompletedId {
            id_digest: digest(&[&self.id]),
            content_digest: digest(&[&address, &self.body]),
            expires_at: self.deadline,
        }
    }

    /// Its id as text, for logs and notifications.
    pub fn id_text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}

#[cfg(test)]
mod tests;
