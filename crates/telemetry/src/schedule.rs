//! When reports begin and when their slices are made and sent.

use crate::time::{as_seconds, SECOND};
use linnetcart::Time;

#[cfg(test)]
mod tests;

/// Between two slices, so that a socket's buffer can take them and no message waits for long.
const SLICE_INTERVAL: Time = SECOND / 1000;

/// The times of reports and slices.
#[derive(Debug)]
pub(crate) struct ReportSchedule {
    /// Between two reports.
    interval: Time,
    next_report: Time,
    last_report: Time,
    next_slice: Time,
}

impl ReportSchedule {
    /// The first report comes after a delay that differs between couriers: a thousand that start together
    /// report at times spread over the interval.
    pub(crate) fn new(interval: Time, first_delay: Time, now: Time) -> ReportSchedule {
        ReportSchedule { interval, next_report: now + first_delay, last_report: now, next_slice: now }
    }

    /// Another interval from now on.
    pub(crate) fn configure(&mut self, interval: Time, now: Time) {
        self.interval = interval;
        self.next_report = self.next_report.min(now + interval);
    }

    /// A report is to begin at once.
    pub(crate) fn report_now(&mut self, now: Time) {
        self.next_report = self.next_report.min(now);
    }

    pub(crate) fn next_report(&self) -> Time {
        self.next_report
    }

    pub(crate) fn next_slice(&self) -> Time {
        self.next_slice
    }

    /// Whether a report is due. If so, the next one is due an interval later, but not at once after a long
    /// pause.
    pub(crate) fn take_due_report(&mut self, now: Time) -> bool {
        if self.next_report > now {
            return false;
        }
        self.next_report = (self.next_report + self.interval).max(now + self.interval / 2);
        true
    }

    /// A report begins, and its first slice is due; the seconds since the last report.
    pub(crate) fn begin_report(&mut self, now: Time) -> f64 {
        let elapsed = (now - self.last_report).max(1);
        self.last_report = now;
        self.next_slice = now;
        as_seconds(elapsed)
    }

    /// Whether a slice is due. If so, the next one is due a little later.
    pub(crate) fn take_due_slice(&mut self, now: Time) -> bool {
        if self.next_slice > now {
            return false;
        }
        self.next_slice = now + SLICE_INTERVAL;
        true
    }
}
