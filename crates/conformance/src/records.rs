//! What is recorded of a run: submissions, arrivals, notifications, and the faults that excuse a delay.
//!
//! All times are in nanoseconds of the clock of the run.

mod deliveries;
mod faults;

pub use deliveries::{
    Answer, Arrival, ClientAnswer, ConnectionPosition, EndpointNotification, EndpointVerdict, Submission,
};
pub use faults::{FailedConnect, Outage, Partition, Stall};

use linnetcart::Time;
use std::collections::BTreeMap;

/// One incarnation of a courier. Each restart begins the next incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CourierIncarnation {
    pub(crate) courier: u32,
    pub(crate) incarnation: u32,
}

/// Everything that was recorded of a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Messages that clients submitted.
    pub submissions: Vec<Submission>,
    /// Messages that reached endpoints.
    pub arrivals: Vec<Arrival>,
    /// Changes of endpoint states of which couriers were notified.
    pub notifications: Vec<EndpointNotification>,
    /// Outages of destinations.
    pub outages: Vec<Outage>,
    /// Times in which couriers were not running. What was due meanwhile is due when they run again.
    pub stalls: Vec<Stall>,
    /// Times in which couriers were cut off.
    pub partitions: Vec<Partition>,
    /// The destination of each endpoint.
    pub endpoints: BTreeMap<u32, u32>,
    /// Failed connections, or `None` if the network does not record them. In that case every courier that had
    /// a message in flight for a destination whose connections failed counts as having known.
    pub failed_connects: Option<Vec<FailedConnect>>,
    /// Answers to requests that had been answered already or were never made.
    pub stray_answers: u64,
}

impl Records {
    /// Returns when a courier received, at the latest, what an endpoint sent at this time.
    pub(crate) fn received_from_endpoint(&self, courier: u32, sent_at: Time) -> Time {
        let affects = |partition: &Partition| partition.endpoints && partition.courier == courier;
        self.after_partitions(sent_at, affects)
    }

    /// Returns when a client received, at the latest, what a courier sent at this time. The same holds in the
    /// other direction.
    pub(crate) fn received_between_client_and_courier(&self, courier: u32, sent_at: Time) -> Time {
        let affects = |partition: &Partition| partition.clients && partition.courier == courier;
        self.after_partitions(sent_at, affects)
    }

    /// Returns the end of the partitions in force at this time. A partition that begins before the previous
    /// one is over extends it.
    fn after_partitions(&self, at: Time, affects: impl Fn(&Partition) -> bool) -> Time {
        let mut reached = at;
        loop {
            let affecting = self.partitions.iter().filter(|partition| affects(partition));
            let in_force = affecting.filter(|partition| partition.is_in_force(reached));
            match in_force.map(|partition| partition.until).max() {
                Some(until) => reached = until,
                None => return reached,
            }
        }
    }
}
