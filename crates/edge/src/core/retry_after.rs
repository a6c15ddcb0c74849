//! Retry-After times that endpoints gave: until when nothing may be sent under a limit.

use crate::settings::{EndpointEntry, Settings};
use linnetcart::Time;
use std::collections::BTreeMap;

/// The limit that calls to an endpoint come under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LimitKey {
    /// All endpoints of a destination share one limit.
    Destination(u32),
    /// The endpoint is an independent route with a limit of its own.
    Route(u32),
}

impl LimitKey {
    /// The limit of an endpoint by its destination's kind.
    pub(crate) fn of(entry: &EndpointEntry, settings: &Settings) -> Self {
        let is_route = settings.kind(&entry.kind).is_some_and(|kind| kind.independent_routes);
        if is_route {
            LimitKey::Route(entry.id)
        } else {
            LimitKey::Destination(entry.destination)
        }
    }
}

/// For each limit until when nothing may be sent under it.
#[derive(Debug, Default)]
pub(crate) struct RetryAfterTable {
    blocked_until: BTreeMap<LimitKey, Time>,
    /// The limit of each endpoint, also of one that has left the list while a connection to it is open.
    limits: BTreeMap<u32, LimitKey>,
}

impl RetryAfterTable {
    /// Takes the limits of a new endpoint list. Those of endpoints outside it stay only where `connected`.
    pub(crate) fn set_limits(
        &mut self,
        listed: impl Iterator<Item = (u32, LimitKey)>,
        connected: impl Fn(u32) -> bool,
    ) {
        self.limits.retain(|&endpoint, _| connected(endpoint));
        self.limits.extend(listed);
    }

    /// An endpoint gave a Retry-After. The latest time of a limit holds.
    pub(crate) fn record(&mut self, endpoint: u32, retry_after: Time, now: Time) {
        if retry_after == 0 {
            return;
        }
        let Some(&limit) = self.limits.get(&endpoint) else { return };
        let until = self.blocked_until.entry(limit).or_default();
        *until = (*until).max(now + retry_after);
    }

    /// Whether the endpoint's limit lets nothing through now.
    pub(crate) fn is_blocked(&self, endpoint: u32, now: Time) -> bool {
        let limit = self.limits.get(&endpoint);
        let until = limit.and_then(|limit| self.blocked_until.get(limit));
        until.is_some_and(|&until| until > now)
    }

    /// Forgets times that have passed.
    pub(crate) fn expire(&mut self, now: Time) {
        self.blocked_until.retain(|_, until| *until > now);
    }
}

#[cfg(test)]
mod tests;
