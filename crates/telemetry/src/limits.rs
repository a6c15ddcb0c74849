//! The state of destinations and separate routes as this courier sees it: their limits, attempts and
//! latencies.

use crate::latency::LatencyRecorder;
use crate::series::{Point, PointValue, SeriesSubject};
use crate::ListedEndpoint;
use linnetcart::{LimitState, Time};
use linnetcart_delivery_events::LoadReport;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Weight of the newest interval in the inferred limit.
const NEWEST_INTERVAL_WEIGHT: f64 = 0.5;

/// Values of the metric `state`.
const STATE_HEALTHY: f64 = 2.0;
const STATE_RECOVERING: f64 = 1.0;
const STATE_EJECTED: f64 = 0.0;

/// The listed destinations and routes with their state. Of what is not listed, nothing of now is reported.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    /// Listed endpoints, by destination.
    listed: BTreeMap<u32, Vec<u32>>,
    /// Destinations of endpoints that are separate routes.
    route_destinations: BTreeMap<u32, u32>,
    destinations: BTreeMap<u32, ObservedLimit>,
    routes: BTreeMap<u32, ObservedLimit>,
}

/// Whose limit is in another state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitOwner {
    Destination,
    /// By its endpoint.
    Route(u32),
}

/// A limit is in another state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StateChange {
    pub(crate) owner: LimitOwner,
    pub(crate) state: LimitState,
}

impl LimitTable {
    /// The endpoint list, whenever it changed.
    pub(crate) fn set_endpoints(&mut self, endpoints: impl Iterator<Item = ListedEndpoint>) {
        self.listed.clear();
        self.route_destinations.clear();
        for ListedEndpoint { endpoint, destination, independent_route } in endpoints {
            self.listed.entry(destination).or_default().push(endpoint);
            if independent_route {
                self.route_destinations.insert(endpoint, destination);
            }
        }
        self.destinations.retain(|destination, _| self.listed.contains_key(destination));
        self.routes.retain(|endpoint, _| self.route_destinations.contains_key(endpoint));
    }

    pub(crate) fn is_route(&self, endpoint: u32) -> bool {
        self.route_destinations.contains_key(&endpoint)
    }

    /// The destination of a separate route.
    pub(crate) fn route_destination(&self, endpoint: u32) -> Option<u32> {
        self.route_destinations.get(&endpoint).copied()
    }

    /// Destinations with a state, in their order.
    pub(crate) fn destinations(&self) -> impl Iterator<Item = u32> + '_ {
        self.destinations.keys().copied()
    }

    /// Separate routes with a state, in the order of their endpoints.
    pub(crate) fn routes(&self) -> impl Iterator<Item = u32> + '_ {
        self.routes.keys().copied()
    }

    pub(crate) fn destination_mut(&mut self, destination: u32) -> Option<&mut ObservedLimit> {
        self.destinations.get_mut(&destination)
    }

    pub(crate) fn route_mut(&mut self, endpoint: u32) -> Option<&mut ObservedLimit> {
        self.routes.get_mut(&endpoint)
    }

    /// The limits that an attempt counts against: the destination's and, over a separate route, the route's.
    pub(crate) fn of_attempt(
        &mut self,
        destination: u32,
        endpoint: u32,
    ) -> impl Iterator<Item = &mut ObservedLimit> {
        let mut limits = [None, None];
        if self.listed.contains_key(&destination) {
            limits[0] = Some(self.destinations.entry(destination).or_default());
        }
        if self.route_destinations.contains_key(&endpoint) {
            limits[1] = Some(self.routes.entry(endpoint).or_default());
        }
        limits.into_iter().flatten()
    }

    /// The decision library sees an endpoint's limit in another state. None if that changes neither the route
    /// nor the destination.
    pub(crate) fn change_state(
        &mut self,
        destination: u32,
        endpoint: u32,
        state: LimitState,
    ) -> Option<StateChange> {
        if self.is_route(endpoint) {
            let limit = self.routes.entry(endpoint).or_default();
            let state = limit.change_state(endpoint, 1, state)?;
            return Some(StateChange { owner: LimitOwner::Route(endpoint), state });
        }
        let endpoints = self.listed.get(&destination)?.len();
        let limit = self.destinations.entry(destination).or_default();
        let state = limit.change_state(endpoint, endpoints, state)?;
        Some(StateChange { owner: LimitOwner::Destination, state })
    }
}

/// A limit as this courier sees it, and attempts against it since the last report.
#[derive(Debug, Default)]
pub(crate) struct ObservedLimit {
    attempts: u64,
    served: u64,
    rejected: u64,
    latency: LatencyRecorder,
    /// In calls a second, as answers reported it last.
    reported: Option<f64>,
    /// The part of it that is left, as answers reported it last.
    capacity_left: Option<f64>,
    /// In calls a second, from what was served while more was rejected.
    inferred: Option<f64>,
    state: LimitState,
    silent_endpoints: BTreeSet<u32>,
}

impl ObservedLimit {
    pub(crate) fn attempt_started(&mut self) {
        self.attempts += 1;
    }

    pub(crate) fn attempt_served(&mut self, endpoint: u32, elapsed: Time) {
        self.served += 1;
        self.latency.record(elapsed);
        self.silent_endpoints.remove(&endpoint);
    }

    pub(crate) fn attempt_rejected(&mut self) {
        self.rejected += 1;
    }

    pub(crate) fn load_reported(&mut self, load: LoadReport) {
        self.capacity_left = Some(load.capacity_left);
        self.reported = (load.rate_limit > 0.0).then_some(load.rate_limit);
    }

    /// The state that it changes to; none if it stays as it is. Of several endpoints, all must be silent
    /// before the limit counts as ejected.
    fn change_state(&mut self, endpoint: u32, endpoints: usize, state: LimitState) -> Option<LimitState> {
        let mut state = state;
        if state == LimitState::Silent {
            self.silent_endpoints.insert(endpoint);
            if self.silent_endpoints.len() < endpoints {
                return None;
            }
            state = LimitState::Ejected;
        }
        if state == LimitState::Healthy {
            self.silent_endpoints.clear();
        }
        if self.state == state {
            return None;
        }
        self.state = state;
        Some(state)
    }

    /// The points of an interval of so many seconds, after which the next begins.
    pub(crate) fn take_points(&mut self, subject: &SeriesSubject, seconds: f64, points: &mut Vec<Point>) {
        self.infer_limit(seconds);
        let mut gauge =
            |metric, value: f64| points.push(Point::new(subject.clone(), metric, PointValue::Gauge(value)));
        let attempt_rate = self.attempts as f64 / seconds;
        gauge("state", state_value(self.state));
        gauge("attempts_per_s", attempt_rate);
        if let Some(reported) = self.reported {
            gauge("limit_told", reported);
            gauge("limit_own_share", attempt_rate / reported);
        }
        if let Some(capacity_left) = self.capacity_left {
            gauge("limit_left_share", capacity_left);
            gauge("limit_used_share", 1.0 - capacity_left);
        }
        if let Some(inferred) = self.inferred {
            gauge("limit_inferred", inferred);
            if inferred > 0.0 && self.reported.is_none() {
                gauge("limit_own_share", attempt_rate / inferred);
            }
        }
        self.latency.take_points(subject, points);
        self.attempts = 0;
        self.served = 0;
        self.rejected = 0;
    }

    /// What was served while more was rejected is what this courier may have of the limit.
    fn infer_limit(&mut self, seconds: f64) {
        if self.rejected == 0 || self.reported.is_some() {
            return;
        }
        let served_rate = self.served as f64 / seconds;
        let before = self.inferred.unwrap_or(served_rate);
        self.inferred = Some(before + NEWEST_INTERVAL_WEIGHT * (served_rate - before));
    }
}

fn state_value(state: LimitState) -> f64 {
    match state {
        LimitState::Healthy => STATE_HEALTHY,
        LimitState::Recovering => STATE_RECOVERING,
        LimitState::Ejected | LimitState::Silent => STATE_EJECTED,
    }
}
