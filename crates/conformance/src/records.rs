//! What is recorded of a run: submissions, arrivals, notifications, and the faults that excuse a delay.

use linnetcart::Time;
use std::collections::BTreeMap;

/// One incarnation of a courier: a restart begins the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CourierIncarnation {
    pub(crate) courier: u32,
    pub(crate) incarnation: u32,
}

/// Where a message stands among those of its connection; a courier accepts messages of a connection in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPosition {
    /// The connection.
    pub connection: u64,
    /// The place on it.
    pub sequence: u64,
}

/// A message submitted by a client. A retry by the client makes a further record with the same `message`.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The message.
    pub message: u64,
    /// The courier.
    pub courier: u32,
    /// Which incarnation of the courier.
    pub incarnation: u32,
    /// The connection and the place on it.
    pub position: ConnectionPosition,
    /// Its class.
    pub class: u8,
    /// Its destination.
    pub destination: u32,
    /// Its ordering key.
    pub key: Option<u64>,
    /// When.
    pub at: Time,
    /// When its time is up.
    pub deadline: Time,
    /// Answers, in the order in which they came.
    pub answers: Vec<ClientAnswer>,
    /// How long the last answer was on its way, where that is known; otherwise it is in
    /// [`Invariants::timing_tolerance`](crate::Invariants::timing_tolerance).
    pub answer_travelled: Time,
    /// The courier died, or the connection broke, before the answer.
    pub orphaned: Option<Time>,
}

/// A final answer and when it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// When it came.
    pub at: Time,
    /// What it said.
    pub answer: Answer,
}

/// A final answer as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Served,
    /// Not accepted: harmless to submit again.
    Rejected,
    /// Given up.
    Failed,
}

/// What an endpoint did with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointVerdict {
    /// Rejected unseen.
    Rejected {
        /// Nothing may be sent for so long; 0 if no Retry-After was given.
        retry_after: Time,
    },
    /// Answered with success.
    Served,
    /// Answered with an error.
    Error,
    /// Not answered.
    Unanswered,
}

/// A message that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The message.
    pub message: u64,
    /// The call that it came in; one call counts once against a limit.
    pub call: u64,
    /// The courier that sent it.
    pub courier: u32,
    /// Which incarnation of the courier.
    pub incarnation: u32,
    /// Its destination.
    pub destination: u32,
    /// The endpoint that it reached.
    pub endpoint: u32,
    /// The zone of the endpoint.
    pub zone: u8,
    /// The endpoint is an independent route with a limit of its own.
    pub independent_route: bool,
    /// When.
    pub at: Time,
    /// How long it was on its way, where that is known; otherwise it is in
    /// [`Invariants::timing_tolerance`](crate::Invariants::timing_tolerance).
    pub travelled: Time,
    /// What the endpoint did with it.
    pub verdict: EndpointVerdict,
    /// When the answer left, if one did.
    pub answered: Option<Time>,
    /// It took effect.
    pub effect: bool,
}

/// What a courier was notified of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointNotification {
    /// The courier.
    pub courier: u32,
    /// Which incarnation of the courier.
    pub incarnation: u32,
    /// When it had been notified at the latest.
    pub at: Time,
    /// The endpoint.
    pub endpoint: u32,
    /// It may be sent to.
    pub ready: bool,
}

/// An outage of a limit and its recovery ramp.
#[derive(Clone, Debug)]
pub struct Outage {
    /// The destination.
    pub destination: u32,
    /// The route, where routes are independent.
    pub route: Option<u32>,
    /// When it began.
    pub from: Time,
    /// When it was over.
    pub until: Time,
    /// Calls a second after the recovery ramp.
    pub capacity: f64,
    /// The share of the capacity right after the outage.
    pub slow_start_ratio: f64,
    /// How long the recovery ramp takes.
    pub slow_start_duration: Time,
    /// Connections were refused. Nobody can see whose, so whoever held a message for it counts as knowing.
    pub refused_connections: bool,
}

/// A time in which a courier was not running, as after SIGSTOP.
#[derive(Clone, Debug)]
pub struct Stall {
    /// The courier.
    pub courier: u32,
    /// Which incarnation of the courier.
    pub incarnation: u32,
    /// From when.
    pub from: Time,
    /// Until when.
    pub until: Time,
}

/// Nothing reached a courier from one side for a time; what was sent meanwhile came after.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// The courier.
    pub courier: u32,
    /// From when.
    pub from: Time,
    /// Until when.
    pub until: Time,
    /// From its clients, and to them.
    pub clients: bool,
    /// From endpoints.
    pub endpoints: bool,
}

/// A connection of a courier to an endpoint that could not be made, or ended before the endpoint said anything.
#[derive(Clone, Copy, Debug)]
pub struct FailedConnect {
    /// The courier.
    pub courier: u32,
    /// Which incarnation of the courier.
    pub incarnation: u32,
    /// The endpoint that it was for.
    pub endpoint: u32,
    /// When it was begun.
    pub from: Time,
    /// When the courier saw that it had failed.
    pub at: Time,
}

/// Everything that was recorded of a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Messages submitted.
    pub submissions: Vec<Submission>,
    /// Messages that reached endpoints.
    pub arrivals: Vec<Arrival>,
    /// What couriers were notified of.
    pub notifications: Vec<EndpointNotification>,
    /// Outages.
    pub outages: Vec<Outage>,
    /// When couriers were not running: what was due meanwhile is due when they run again.
    pub stalls: Vec<Stall>,
    /// When couriers were cut off.
    pub partitions: Vec<Partition>,
    /// The destination of each endpoint.
    pub endpoints: BTreeMap<u32, u32>,
    /// Connections that failed, where the network records them; where it does not, whoever held a message for a
    /// destination whose connections failed counts as knowing.
    pub failed_connects: Option<Vec<FailedConnect>>,
    /// Answers to requests that had one already, or were never made.
    pub stray_answers: u64,
}

impl Submission {
    /// The courier, in its incarnation, that held the message.
    pub(crate) fn holder(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }

    /// When the courier was done with the message at the latest: its first answer, or its deadline.
    pub(crate) fn completed_at(&self) -> Time {
        self.answers.first().map_or(self.deadline, |answer| answer.at)
    }
}

impl Arrival {
    /// When it left the courier.
    pub fn sent(&self) -> Time {
        self.at.saturating_sub(self.travelled)
    }

    /// The courier, in its incarnation, that sent it.
    pub(crate) fn sender(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }

    /// The endpoint rejected it unseen.
    pub(crate) fn is_rejected(&self) -> bool {
        matches!(self.verdict, EndpointVerdict::Rejected { .. })
    }
}

impl EndpointNotification {
    /// The courier, in its incarnation, that was notified.
    pub(crate) fn recipient(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }
}

impl Stall {
    /// The courier, in its incarnation, that was not running.
    pub(crate) fn stalled(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }
}

impl FailedConnect {
    /// The courier, in its incarnation, that saw the connection fail.
    pub(crate) fn witness(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }
}

impl Partition {
    fn in_force(&self, at: Time) -> bool {
        self.from <= at && at < self.until
    }
}

impl Records {
    /// When a courier learned at the latest of what an endpoint said at this time.
    pub(crate) fn received_from_endpoint(&self, courier: u32, at: Time) -> Time {
        let concerns = |partition: &Partition| partition.endpoints && partition.courier == courier;
        self.after_partitions(at, concerns)
    }

    /// When a client saw at the latest what a courier answered at this time; also the other way around.
    pub(crate) fn received_between_client_and_courier(&self, courier: u32, at: Time) -> Time {
        let concerns = |partition: &Partition| partition.clients && partition.courier == courier;
        self.after_partitions(at, concerns)
    }

    /// The end of the partitions in force at this time, also of those that begin before the last one is over.
    fn after_partitions(&self, at: Time, concerns: impl Fn(&Partition) -> bool) -> Time {
        let mut reached = at;
        loop {
            let in_force = self.partitions.iter().filter(|p| concerns(p) && p.in_force(reached));
            match in_force.map(|partition| partition.until).max() {
                Some(until) => reached = until,
                None => return reached,
            }
        }
    }
}
