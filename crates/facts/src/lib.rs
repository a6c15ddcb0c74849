//! What happened, as the core tells it: telemetry, journal, audit and rule checks read these and nothing else.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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

/// State of a limit, as the library sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// In service.
    #[default]
    InService,
    /// Back from an outage, with part of its capacity.
    Warming,
    /// Out: trials only.
    Out,
    /// Nothing answers; alone this may be one endpoint of several.
    Silent,
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
        /// Its destination.
        destination: u32,
        /// Why.
        why: Turned,
    },
    /// An attempt began.
    Sent {
        /// The message.
        message: u32,
        /// The attempt, from 0.
        attempt: u16,
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// Where it goes.
        endpoint: u32,
        /// Another of the message is out.
        copy: bool,
    },
    /// An attempt ended.
    Ended {
        /// The message.
        message: u32,
        /// The attempt.
        attempt: u16,
        /// The message's class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// Where it went.
        endpoint: u32,
        /// How.
        ending: Ending,
        /// How long it took.
        took: Time,
        /// What the answer told of the limit: the share left, and the limit in calls a second.
        load: Option<(f64, f64)>,
    },
    /// A message has its final answer.
    Answered {
        /// The message.
        message: u32,
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
        /// The answer.
        answer: Final,
        /// How long after it was taken.
        after: Time,
    },
    /// The client is gone; nobody waits for an answer any more.
    Withdrawn {
        /// The message.
        message: u32,
        /// Its class.
        class: u8,
        /// Its destination.
        destination: u32,
    },
    /// The library sees a limit in another state.
    Standing {
        /// The destination.
        destination: u32,
        /// The endpoint by which it was seen: the route, where routes are apart.
        endpoint: u32,
        /// The state.
        standing: Standing,
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
