//! Records of the faults of a run.

use super::CourierIncarnation;
use linnetcart::Time;

/// An outage of a destination or of one of its routes, followed by a recovery ramp (slow start).
#[derive(Clone, Debug)]
pub struct Outage {
    /// The number of the destination.
    pub destination: u32,
    /// The endpoint number of the affected independent route; `None` if the whole destination is affected.
    pub route: Option<u32>,
    /// When the outage began.
    pub from: Time,
    /// When the outage ended and the recovery ramp began.
    pub until: Time,
    /// Capacity after the recovery ramp, in calls per second.
    pub capacity: f64,
    /// The fraction of `capacity` that is available right after the outage.
    pub slow_start_ratio: f64,
    /// Duration of the recovery ramp, in which the available capacity grows linearly.
    pub slow_start_duration: Time,
    /// Whether connections were refused during the outage. Which couriers saw it may be unknown; see
    /// [`Records::failed_connects`](crate::Records::failed_connects).
    pub refused_connections: bool,
}

/// A period in which a courier was suspended, as by SIGSTOP.
#[derive(Clone, Debug)]
pub struct Stall {
    /// The number of the courier that was suspended.
    pub courier: u32,
    /// The number of the courier's incarnation: which start of its process was suspended.
    pub incarnation: u32,
    /// When the stall began.
    pub from: Time,
    /// When the stall ended.
    pub until: Time,
}

impl Stall {
    /// The incarnation of the courier that was suspended.
    pub(crate) fn stalled(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }
}

/// A period in which nothing reached a courier from its clients, its endpoints or both. What was sent
/// meanwhile arrived at the end of the period.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// The number of the courier that was cut off.
    pub courier: u32,
    /// When the partition began.
    pub from: Time,
    /// When the partition ended.
    pub until: Time,
    /// Whether the courier was cut off from its clients, in both directions.
    pub clients: bool,
    /// Whether the courier received nothing from endpoints.
    pub endpoints: bool,
}

impl Partition {
    pub(super) fn is_in_force(&self, at: Time) -> bool {
        self.from <= at && at < self.until
    }
}

/// A connection of a courier to an endpoint that could not be established, or ended before the endpoint had
/// sent anything.
#[derive(Clone, Copy, Debug)]
pub struct FailedConnect {
    /// The number of the courier that tried to connect.
    pub courier: u32,
    /// The number of the courier's incarnation: which start of its process tried to connect.
    pub incarnation: u32,
    /// The number of the endpoint that the courier tried to connect to.
    pub endpoint: u32,
    /// When the courier began to connect.
    pub from: Time,
    /// When the courier saw that the connection had failed.
    pub at: Time,
}

impl FailedConnect {
    /// The incarnation of the courier that saw the connection fail.
    pub(crate) fn observer(&self) -> CourierIncarnation {
        CourierIncarnation { courier: self.courier, incarnation: self.incarnation }
    }
}
