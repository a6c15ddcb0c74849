//! The limits of destinations and independent routes as this courier observes them: their states, rates of
//! attempts and latencies.

use crate::latency::LatencyRecorder;
use crate::series::{Point, PointValue, SeriesSubject};
use crate::ListedEndpoint;
use linnetcart::{LimitState, Time};
use linnetcart_delivery_events::LoadReport;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// Smoothing factor of the inferred limit, an exponentially weighted moving average over report intervals.
const NEWEST_INTERVAL_WEIGHT: f64 = 0.5;

/// Values of the metric `state`.
const STATE_HEALTHY: f64 = 2.0;
const STATE_RECOVERING: f64 = 1.0;
const STATE_EJECTED: f64 = 0.0;

/// The observed limits of the destinations and independent routes in the endpoint list. Attempts to other
/// destinations and routes are not recorded.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    /// The endpoints of each listed destination.
    listed: BTreeMap<u32, Vec<u32>>,
    /// The destination of each endpoint that is an independent route.
    route_destinations: BTreeMap<u32, u32>,
    /// Limits by destination.
    destinations: BTreeMap<u32, ObservedLimit>,
    /// Limits of independent routes, by endpoint.
    routes: BTreeMap<u32, ObservedLimit>,
}

/// The owner of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitOwner {
    Destination,
    /// The independent route over this endpoint.
    Route(u32),
}

/// A change of a limit's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StateChange {
    pub(crate) owner: LimitOwner,
    pub(crate) state: LimitState,
}

impl LimitTable {
    /// Replaces the endpoint list, and discards the limits of destinations and routes that are not in it.
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

    /// Whether an endpoint is an independent route.
    pub(crate) fn is_route(&self, endpoint: u32) -> bool {
        self.route_destinations.contains_key(&endpoint)
    }

    /// Returns the destination of an independent route, or `None` for other endpoints.
    pub(crate) fn route_destination(&self, endpoint: u32) -> Option<u32> {
        self.route_destinations.get(&endpoint).copied()
    }

    /// Returns the destinations with an observed limit, in ascending order.
    pub(crate) fn destinations(&self) -> impl Iterator<Item = u32> + '_ {
        self.destinations.keys().copied()
    }

    /// Returns the endpoints of independent routes with an observed limit, in ascending order.
    pub(crate) fn routes(&self) -> impl Iterator<Item = u32> + '_ {
        self.routes.keys().copied()
    }

    pub(crate) fn destination_mut(&mut self, destination: u32) -> Option<&mut ObservedLimit> {
        self.destinations.get_mut(&destination)
    }

    pub(crate) fn route_mut(&mut self, endpoint: u32) -> Option<&mut ObservedLimit> {
        self.routes.get_mut(&endpoint)
    }

    /// Returns the limits that an attempt counts against: the limit of the destination and, if the endpoint
    /// is an independent route, the limit of the route.
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

    /// Records that the decision library changed the state of the limit that applies to an endpoint: the
    /// limit of the route if the endpoint is an independent route, otherwise the limit of the destination.
    /// Returns `None` if the reported state of this limit does not change.
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

/// A limit as observed by this courier, with its attempts since the last report.
#[derive(Debug, Default)]
pub(crate) struct ObservedLimit {
    /// Number of attempts started since the last report.
    attempts: u64,
    /// Number of attempts served since the last report.
    served: u64,
    /// Number of attempts rejected since the last report.
    rejected: u64,
    /// Latencies of the attempts served since the last report, from sending to the response.
    latency: LatencyRecorder,
    /// The limit in the last load report, in calls per second; `None` before the first load report or if the
    /// last one had no limit.
    reported: Option<f64>,
    /// The unused fraction of the limit in the last load report; `None` before the first.
    capacity_left: Option<f64>,
    /// The limit inferred from the rate of served attempts in intervals with rejections, in calls per
    /// second; `None` before the first such interval.
    inferred: Option<f64>,
    state: LimitState,
    /// Endpoints that were reported as silent and have not served an attempt since that report.
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

    /// Changes the state of a limit that `endpoints` endpoints share. Returns the new state, or `None` if the
    /// state does not change. Silence ejects a limit only when all endpoints of the limit are silent: one
    /// silent endpoint is not an outage of the destination.
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

    /// Appends the points of a report interval of `seconds` seconds, and starts the next interval.
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

    /// Infers the part of a limit that this courier gets, if endpoints do not report the limit: in an
    /// interval with rejections, the rate of served attempts is taken as the limit, and `inferred` moves
    /// towards it by [`NEWEST_INTERVAL_WEIGHT`] of the difference.
    fn infer_limit(&mut self, seconds: f64) {
        if self.rejected == 0 || self.reported.is_some() {
            return;
        }
        let served_rate = self.served as f64 / seconds;
        let before = self.inferred.unwrap_or(served_rate);
        self.inferred = Some(before + NEWEST_INTERVAL_WEIGHT * (served_rate - before));
    }
}

/// Returns the value of the metric `state`.
fn state_value(state: LimitState) -> f64 {
    match state {
        LimitState::Healthy => STATE_HEALTHY,
        LimitState::Recovering => STATE_RECOVERING,
        LimitState::Ejected | LimitState::Silent => STATE_EJECTED,
    }
}
