//! The limit of a destination or route: its quota, its queue, its slow start after an outage, and the load
//! that it reports.

mod quota;
mod slow_start;

use crate::calls::ReportedLoad;
use crate::destinations::{DestinationKind, RecoveryModel};
use linnetcart_conformance::Time;
use quota::Quota;
pub(crate) use slow_start::LoadEffect;
use slow_start::SlowStart;

/// Least capacity, in calls per second; it keeps the time that a call occupies the queue finite.
const MIN_CAPACITY: f64 = 1e-3;
const NANOS_PER_SECOND: f64 = 1e9;

/// Random numbers for a rejection, uniform in [0, 1). Both are drawn for every call, also for admitted ones,
/// so that the outcome of one call does not change the random numbers of the next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectionDraws {
    /// A rejection carries a Retry-After if this is below the kind's `retry_after_probability`.
    pub(crate) gives_retry_after: f64,
    /// Position of an empty token bucket's Retry-After in its range, from 0 (shortest) to 1 (longest).
    pub(crate) length: f64,
}

/// The decision of a limit about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The call is admitted, and leaves the queue for service at this time.
    BeginsAt(Time),
    /// The call is rejected; `retry_after` is in nanoseconds, 0 if no Retry-After is given.
    Rejected { retry_after: Time },
}

/// The fraction of the quota that was left at time `at`. Answers repeat it until `load_report_interval` has
/// passed.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    at: Time,
    capacity_left: f64,
}

/// The state of a limit.
#[derive(Debug)]
pub(crate) struct DestinationLimit {
    /// Calls per second that the limit admits when it is not throttled.
    rate: f64,
    /// The fraction of `rate` that is admitted at present; below 1 while the limit is throttled.
    rate_factor: f64,
    /// Every call is rejected until this time, in nanoseconds on the clock of the run.
    closed_until: Time,
    quota: Quota,
    /// When the queue will be empty, in nanoseconds. The queue is FIFO, and a call occupies it for
    /// `work / capacity` seconds, so the queueing delay of the next call is `busy_until - now`.
    busy_until: f64,
    slow_start: SlowStart,
    last_report: LastReport,
}

impl DestinationLimit {
    /// A limit of `rate` calls per second, without load.
    pub(crate) fn new(rate: f64) -> Self {
        DestinationLimit {
            rate,
            rate_factor: 1.0,
            closed_until: 0,
            quota: Quota::new(rate),
            busy_until: 0.0,
            slow_start: SlowStart::default(),
            last_report: LastReport { at: 0, capacity_left: 1.0 },
        }
    }

    /// Sets the fraction of `rate` that the quota admits; 1 lifts the throttling. Service capacity stays.
    pub(crate) fn throttle(&mut self, factor: f64) {
        self.rate_factor = factor;
    }

    /// Rejects every call until this time, in nanoseconds on the clock of the run.
    pub(crate) fn close_until(&mut self, until: Time) {
        self.closed_until = until;
    }

    /// Begins a slow start at this time, in nanoseconds on the clock of the run; it may be in the future.
    pub(crate) fn slow_start_from(&mut self, at: Time) {
        self.slow_start.begin(at);
    }

    /// Returns whether the limit was ever overloaded during a slow start. It does not recover from that.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.slow_start.is_overloaded()
    }

    /// Returns the service capacity outside of a slow start, in calls per second: `rate * capacity_ratio`.
    pub(crate) fn capacity(&self, kind: &DestinationKind) -> f64 {
        self.rate * kind.capacity_ratio
    }

    /// Counts a call, and returns whether it overloads the limit during its slow start.
    pub(crate) fn count_call(
        &mut self,
        now: Time,
        recovery: &RecoveryModel,
        kind: &DestinationKind,
    ) -> LoadEffect {
        let capacity = self.capacity(kind);
        self.slow_start.count_call(now, recovery, capacity)
    }

    /// Admits or rejects a call. `work` is the capacity that the call takes up, as a multiple of that of a
    /// call with a single message.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        work: f64,
        kind: &DestinationKind,
        recovery: &RecoveryModel,
        draws: RejectionDraws,
    ) -> Admission {
        let rate = self.current_rate();
        self.quota.refill(now, rate, kind.limit);
        let gives_retry_after = draws.gives_retry_after < kind.retry_after_probability;
        let rejected = |wait: Time| {
            let retry_after = if gives_retry_after { wait.max(1) } else { 0 };
            Admission::Rejected { retry_after }
        };
        if now < self.closed_until {
            return rejected(self.closed_until - now);
        }
        if let Err(exhausted) = self.quota.consume(now, rate, kind, draws.length) {
            return rejected(exhausted.wait);
        }
        let begin = self.busy_until.max(now as f64);
        if begin - now as f64 > kind.longest_queue as f64 {
            return rejected(kind.longest_queue);
        }
        let capacity = self.capacity(kind) * self.slow_start.capacity_fraction(now, recovery);
        self.busy_until = begin + work * NANOS_PER_SECOND / capacity.max(MIN_CAPACITY);
        Admission::BeginsAt(begin as Time)
    }

    /// Returns the load for an answer, or `None` if the kind reports no load. `capacity_left` is as of the
    /// last update of the report, `rate_limit` is the present one. Both are 0 if the kind has no quota.
    pub(crate) fn reported_load(&mut self, now: Time, kind: &DestinationKind) -> Option<ReportedLoad> {
        if kind.load_report_interval == 0 {
            return None;
        }
        let rate = self.current_rate();
        self.quota.refill(now, rate, kind.limit);
        let Some(capacity_left) = self.quota.fraction_left(rate, kind.limit) else {
            return Some(ReportedLoad { capacity_left: 0.0, rate_limit: 0.0 });
        };
        if now >= self.last_report.at + kind.load_report_interval {
            self.last_report = LastReport { at: now, capacity_left: capacity_left.clamp(0.0, 1.0) };
        }
        Some(ReportedLoad { capacity_left: self.last_report.capacity_left, rate_limit: rate })
    }

    /// Returns the calls per second that the limit admits at present, `rate * rate_factor`.
    fn current_rate(&self) -> f64 {
        self.rate * self.rate_factor
    }
}
