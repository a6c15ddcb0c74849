//! Records of messages and their deliveries: what clients submitted, what endpoints received, and which
//! endpoint states couriers were notified of.

use super::CourierIncarnation;
use linnetcart::Time;

/// The position of a message on its connection. A courier accepts the messages of a connection in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPosition {
    /// The number that the run gave to the client's connection to the courier.
    pub connection: u64,
    /// The position of the message among those that the client sent on the connection.
    pub sequence: u64,
}

/// One submission of a message by a client. A retry by the client is a further record with the same
/// `message`.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The number of the message.
    pub message: u64,
    /// The number of the courier that the message was submitted to.
    pub courier: u32,
    /// The number of the courier's incarnation: which start of its process the message was submitted to.
    pub incarnation: u32,
    /// The connection that the message was submitted on, and its position there.
    pub position: ConnectionPosition,
    /// The number of the message's class.
    pub class: u8,
    /// The number of the message's destination.
    pub destination: u32,
    /// The ordering key, or `None` if the message has none.
    pub key: Option<u64>,
    /// When the client sent the message.
    pub at: Time,
    /// The deadline of the message, on the same clock as `at`.
    pub deadline: Time,
    /// The final answers that the client received, in the order in which they arrived.
    pub answers: Vec<ClientAnswer>,
    /// Travel time of the last answer; 0 where it is not recorded, and then it is part of
    /// [`Invariants::timing_tolerance`](crate::Invariants::timing_tolerance).
    pub answer_travelled: Time,
    /// When the courier died or the connection broke before the answer; `None` if neither happened.
    pub orphaned: Option<Time>,
}

impl Submission {
    /// The incarnation of the courier that the message was submitted to.
    pub(crate) fn recipient(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }

    /// Returns the latest time at which the courier completed the message: its first answer or, without one,
    /// the deadline.
    pub(crate) fn completed_at(&self) -> Time {
        self.answers.first().map_or(self.deadline, |answer| answer.at)
    }
}

/// A final answer and when it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// When the client received the answer.
    pub at: Time,
    /// What the client was told.
    pub answer: Answer,
}

/// A final answer as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The message was served.
    Served,
    /// The message was not accepted; submitting it again is harmless.
    Rejected,
    /// The courier gave up the message; it may or may not have been executed.
    Failed,
}

/// What an endpoint did with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointVerdict {
    /// The message was rejected without being processed.
    Rejected {
        /// How long the sender must wait before its next call; 0 if the endpoint gave no Retry-After.
        retry_after: Time,
    },
    /// The message was answered with success.
    Served,
    /// The message was answered with an error.
    Error,
    /// The message was not answered.
    Unanswered,
}

/// A message that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The number of the message.
    pub message: u64,
    /// The call that carried the message. A call counts once against a limit, however many messages it
    /// carries.
    pub call: u64,
    /// The number of the courier that sent the message.
    pub courier: u32,
    /// The number of the courier's incarnation: which start of its process sent the message.
    pub incarnation: u32,
    /// The number of the message's destination.
    pub destination: u32,
    /// The number of the endpoint that the message reached.
    pub endpoint: u32,
    /// The number of the endpoint's zone.
    pub zone: u8,
    /// Whether the endpoint is an independent route of its destination, with a limit of its own.
    pub independent_route: bool,
    /// When the message arrived.
    pub at: Time,
    /// Travel time of the message; 0 where it is not recorded, and then it is part of
    /// [`Invariants::timing_tolerance`](crate::Invariants::timing_tolerance).
    pub travelled: Time,
    /// What the endpoint did with the message.
    pub verdict: EndpointVerdict,
    /// When the endpoint sent its answer, or `None` if it sent none.
    pub answered: Option<Time>,
    /// Whether the endpoint executed the message; false for a duplicate that it recognized.
    pub effect: bool,
}

impl Arrival {
    /// Returns when the message left the courier.
    pub fn sent(&self) -> Time {
        self.at.saturating_sub(self.travelled)
    }

    /// The incarnation of the courier that sent the message.
    pub(crate) fn sender(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }

    /// Returns whether the endpoint rejected the message without processing it.
    pub(crate) fn is_rejected(&self) -> bool {
        matches!(self.verdict, EndpointVerdict::Rejected { .. })
    }
}

/// A notification of a courier about the state of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointNotification {
    /// The number of the courier that was notified.
    pub courier: u32,
    /// The number of the courier's incarnation: which start of its process was notified.
    pub incarnation: u32,
    /// The latest time at which the courier received the notification.
    pub at: Time,
    /// The number of the endpoint whose state the courier was notified of.
    pub endpoint: u32,
    /// Whether the endpoint is ready for new work. If not, it is draining or gone.
    pub ready: bool,
}

impl EndpointNotification {
    /// The incarnation of the courier that was notified.
    pub(crate) fn recipient(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }
}
