//! The schedule of reports and of their slices.

use crate::time::{as_seconds, SECOND};
use linnetcart::Time;

#[cfg(test)]
mod tests;

/// Interval between two slices of a report, in nanoseconds. Spreading the slices keeps them within a socket's
/// buffer and delays no message for long.
const SLICE_INTERVAL: Time = SECOND / 1000;

/// The due times of reports and slices, on the monotonic clock.
#[derive(Debug)]
pub(crate) struct ReportSchedule {
    /// Interval between two reports, in nanoseconds.
    interval: Time,
    next_report: Time,
    /// When the last report began; at first, when the schedule was created.
    last_report: Time,
    next_slice: Time,
}

impl ReportSchedule {
    /// Creates a schedule whose first report is due after a delay. The delay differs between couriers, so
    /// that couriers that start together spread their reports over the interval.
    pub(crate) fn new(interval: Time, first_delay: Time, now: Time) -> ReportSchedule {
        ReportSchedule { interval, next_report: now + first_delay, last_report: now, next_slice: now }
    }

    /// Changes the interval. A shorter one brings the next report forward; a longer one does not delay it.
    pub(crate) fn configure(&mut self, interval: Time, now: Time) {
        self.interval = interval;
        self.next_report = self.next_report.min(now + interval);
    }

    /// Makes a report due at once.
    pub(crate) fn report_now(&mut self, now: Time) {
        self.next_report = self.next_report.min(now);
    }

    pub(crate) fn next_report(&self) -> Time {
        self.next_report
    }

    pub(crate) fn next_slice(&self) -> Time {
        self.next_slice
    }

    /// Returns whether a report is due. If so, the next one is scheduled at max(due time + interval, now +
    /// interval / 2): a delay of up to half an interval does not shift the schedule, and two reports are at
    /// least half an interval apart.
    pub(crate) fn take_due_report(&mut self, now: Time) -> bool {
        if self.next_report > now {
            return false;
        }
        self.next_report = (self.next_report + self.interval).max(now + self.interval / 2);
        true
    }

    /// Begins a report and makes its first slice due. Returns the seconds since the last report began; they
    /// are more than 0, because rates divide by them.
    pub(crate) fn begin_report(&mut self, now: Time) -> f64 {
        let elapsed = (now - self.last_report).max(1);
        self.last_report = now;
        self.next_slice = now;
        as_seconds(elapsed)
    }

    /// Returns whether a slice is due. If so, the next one is scheduled [`SLICE_INTERVAL`] from now.
    pub(crate) fn take_due_slice(&mut self, now: Time) -> bool {
        if self.next_slice > now {
            return false;
        }
        self.next_slice = now + SLICE_INTERVAL;
        true
    }
}
