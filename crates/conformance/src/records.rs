//! What is recorded of a run: submissions, arrivals, notifications, and the faults that excuse a delay.
//!
//! All times are in nanoseconds on the clock of the run.

mod deliveries;
mod faults;

pub use deliveries::{
    Answer, Arrival, ClientAnswer, ConnectionPosition, EndpointNotification, EndpointVerdict, Submission,
};
pub use faults::{FailedConnect, Outage, Partition, Stall};

use linnetcart::Time;
use std::collections::BTreeMap;

/// One incarnation of a courier: the time from one start of its process to the next.
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
    /// Endpoint state changes that couriers were notified of.
    pub notifications: Vec<EndpointNotification>,
    /// Outages of destinations.
    pub outages: Vec<Outage>,
    /// Periods in which couriers were suspended. What fell due in such a period is due at its end.
    pub stalls: Vec<Stall>,
    /// Periods in which couriers were cut off from clients or endpoints.
    pub partitions: Vec<Partition>,
    /// The destination of each endpoint, by endpoint number.
    pub endpoints: BTreeMap<u32, u32>,
    /// Failed connections, or `None` if the network does not record them. Without them, every courier with a
    /// message in flight for a destination that refused connections counts as having known of the outage.
    pub failed_connects: Option<Vec<FailedConnect>>,
    /// Number of answers to requests that were already answered or never made.
    pub stray_answers: u64,
}

impl Records {
    /// Returns the latest time at which a courier received what an endpoint sent at `sent_at`: the end of the
    /// partition that was in force then, or `sent_at` if there was none.
    pub(crate) fn received_from_endpoint(&self, courier: u32, sent_at: Time) -> Time {
        let affects = |partition: &Partition| partition.endpoints && partition.courier == courier;
        self.after_partitions(sent_at, affects)
    }

    /// Returns the latest time at which a client received what a courier sent at `sent_at`, or a courier what
    /// a client sent: the end of the partition that was in force then, or `sent_at` if there was none.
    pub(crate) fn received_between_client_and_courier(&self, courier: u32, sent_at: Time) -> Time {
        let affects = |partition: &Partition| partition.clients && partition.courier == courier;
        self.after_partitions(sent_at, affects)
    }

    /// Returns the end of the partition in force at `at`, or `at` if there is none. Overlapping partitions
    /// count as one.
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
