//! Retry-After: until when nothing may be sent to the endpoints of a limit after one of them has rejected a
//! call.

use crate::settings::{EndpointEntry, Settings};
use linnetcart::Time;
use std::collections::BTreeMap;

/// The limit that applies to calls to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LimitKey {
    /// All endpoints of a destination share one limit.
    Destination(u32),
    /// The endpoint is an independent route with a limit of its own.
    Route(u32),
}

impl LimitKey {
    /// Returns the limit of an endpoint: its own if the kind of its destination has independent routes,
    /// otherwise that of its destination.
    pub(crate) fn of(entry: &EndpointEntry, settings: &Settings) -> Self {
        let is_route = settings.kind(&entry.kind).is_some_and(|kind| kind.independent_routes);
        if is_route {
            LimitKey::Route(entry.id)
        } else {
            LimitKey::Destination(entry.destination)
        }
    }
}

/// Until when nothing may be sent under each limit, and which limit applies to each endpoint.
#[derive(Debug, Default)]
pub(crate) struct RetryAfterTable {
    /// When the latest Retry-After of each limit is over, by the monotonic clock.
    blocked_until: BTreeMap<LimitKey, Time>,
    /// The limit of each endpoint in the list, and of those that have left the list but may still respond
    /// because a connection to them is open.
    limits: BTreeMap<u32, LimitKey>,
}

/// An endpoint of the list and its limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointLimit {
    pub(crate) endpoint: u32,
    pub(crate) limit: LimitKey,
}

impl RetryAfterTable {
    /// Sets the limits of a new endpoint list. The limit of an endpoint outside the list is kept only if
    /// `is_connected` returns `true` for the endpoint.
    pub(crate) fn set_limits(
        &mut self,
        listed: impl Iterator<Item = EndpointLimit>,
        is_connected: impl Fn(u32) -> bool,
    ) {
        self.limits.retain(|&endpoint, _| is_connected(endpoint));
        self.limits.extend(listed.map(|listed| (listed.endpoint, listed.limit)));
    }

    /// Records the Retry-After of an endpoint, in nanoseconds from `now`; 0 means none. The endpoint's limit
    /// is blocked until `now + retry_after`, or longer if an earlier Retry-After ends later. Does nothing for
    /// an endpoint whose limit is not known.
    pub(crate) fn record(&mut self, endpoint: u32, retry_after: Time, now: Time) {
        if retry_after == 0 {
            return;
        }
        let Some(&limit) = self.limits.get(&endpoint) else { return };
        let until = self.blocked_until.entry(limit).or_default();
        *until = (*until).max(now + retry_after);
    }

    /// Returns whether a Retry-After forbids sending to the endpoint now.
    pub(crate) fn is_blocked(&self, endpoint: u32, now: Time) -> bool {
        let limit = self.limits.get(&endpoint);
        let until = limit.and_then(|limit| self.blocked_until.get(limit));
        until.is_some_and(|&until| until > now)
    }

    /// Removes the limits whose Retry-After is over.
    pub(crate) fn expire(&mut self, now: Time) {
        self.blocked_until.retain(|_, until| *until > now);
    }
}

#[cfg(test)]
mod tests;
