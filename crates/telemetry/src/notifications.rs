//! Notifications of state changes of limits, which are sent to collectd.

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

/// Notifications that were not sent yet.
#[derive(Debug, Default)]
pub(crate) struct NotificationQueue {
    notifications: VecDeque<StateNotification>,
}

impl NotificationQueue {
    pub(crate) fn push(&mut self, notification: StateNotification) {
        if self.notifications.len() >= MAX_NOTIFICATIONS {
            self.notifications.pop_front();
        }
        self.notifications.push_back(notification);
    }

    pub(crate) fn take(&mut self) -> VecDeque<StateNotification> {
        std::mem::take(&mut self.notifications)
    }
}

impl StateNotification {
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
