//! What happened, as the core tells it: telemetry, journal, audit and rule checks read these and nothing else.

use bytes::Bytes;
use linnetcart::{Ending, Time};

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// Served.
    Served,
    /// Handed back; harmless to hand in again, at the earliest after this if it is not 0.
    Refused {
        /// When to come again.
        come_back: Time,
    },
    /// Given up; it may have taken effect.
    Failed,
}

/// Why a message was turned away before it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turned {
    /// The hold is full.
    Full,
    /// The courier is ending its work.
    Draining,
}

/// One thing that happened, at the clock time of the turn that tells it.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A message was taken.
    Taken {
        /// Its number.
        message: u32,
        /// The name that it has everywhere.
        name: Bytes,
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// When it must be over.
        due: Time,
    },
    /// A message was turned away unseen.
    TurnedAway {
        /// Its class.
        class: u8,
        /// Why.
        why: Turned,
    },
    /// An attempt began.
    Sent {
        /// The message.
        message: u32,
        /// The attempt, from 0.
        attempt: u16,
        /// Where it goes.
        endpoint: u32,
    },
    /// An attempt ended.
    Ended {
        /// The message.
        message: u32,
        /// The attempt.
        attempt: u16,
        /// Where it went.
        endpoint: u32,
        /// How.
        ending: Ending,
        /// How long it took.
        took: Time,
    },
    /// A message has its final answer.
    Answered {
        /// The message.
        message: u32,
        /// Its class.
        class: u8,
        /// The answer.
        answer: Final,
        /// How long after it was taken.
        after: Time,
    },
    /// The client is gone; nobody waits for an answer any more.
    Withdrawn {
        /// The message.
        message: u32,
    },
    /// A line of the decision library for those on call.
    Log(String),
    /// An endpoint or client did not keep to the protocol, and its connection was closed.
    BadPeer {
        /// Whose, in words.
        whose: String,
        /// What was wrong.
        why: String,
    },
}
