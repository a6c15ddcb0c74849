//! Notifications of state changes of destinations and independent routes, which are sent to collectd.

use crate::collectd::Severity;
use crate::limits::{LimitOwner, StateChange};
use linnetcart::LimitState;
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Maximum number of queued notifications; beyond it the oldest are dropped.
const MAX_NOTIFICATIONS: usize = 200;

/// A state change of a destination or route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StateNotification {
    /// Plugin instance in collectd, which identifies the destination or route.
    pub(crate) plugin_instance: String,
    pub(crate) severity: Severity,
    pub(crate) text: String,
}

/// Notifications that were not sent yet, oldest first.
#[derive(Debug, Default)]
pub(crate) struct NotificationQueue {
    notifications: VecDeque<StateNotification>,
}

impl NotificationQueue {
    /// Appends a notification; drops the oldest beyond the maximum number.
    pub(crate) fn push(&mut self, notification: StateNotification) {
        if self.notifications.len() >= MAX_NOTIFICATIONS {
            self.notifications.pop_front();
        }
        self.notifications.push_back(notification);
    }

    /// Removes and returns all notifications.
    pub(crate) fn take(&mut self) -> VecDeque<StateNotification> {
        std::mem::take(&mut self.notifications)
    }
}

impl StateNotification {
    /// Describes a state change. An outage is a failure, recovery (slow start) a warning, full service okay.
    pub(crate) fn new(destination: u32, destination_name: &str, change: StateChange) -> StateNotification {
        let (severity, state) = match change.state {
            LimitState::Healthy => (Severity::Okay, "in service"),
            LimitState::Recovering => (Severity::Warning, "back, warming up"),
            LimitState::Ejected | LimitState::Silent => (Severity::Failure, "out"),
        };
        match change.owner {
            LimitOwner::Destination => StateNotification {
                plugin_instance: format!("dest-{destination_name}"),
                severity,
                text: format!("destination {destination} is {state}"),
            },
            LimitOwner::Route(endpoint) => StateNotification {
                plugin_instance: format!("dest-{destination_name}-route-{endpoint}"),
                severity,
                text: format!("destination {destination} route {endpoint} is {state}"),
            },
        }
    }
}
