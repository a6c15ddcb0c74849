//! A report in progress, and its phases.

use crate::counts::CounterKey;
use crate::series::Point;
use linnetcart::Time;
use std::collections::VecDeque;

/// Number of points that are collected or sent in one iteration of the event loop, which takes some tenths
/// of a millisecond.
pub(crate) const SLICE_POINTS: usize = 256;
/// Number of points of a part. The points of a part are collected, the counter log is synced once, and then
/// the points are sent; the size of a part bounds the points held in memory.
pub(crate) const PART_POINTS: usize = 8192;

/// An item of a report, from which its points are collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportItem {
    /// The courier's counts and gauges.
    Courier,
    /// The counts of a class, summed over all destinations, and the latencies of its messages.
    Class(usize),
    /// The limit and latencies of a destination.
    Destination(u32),
    /// The limit and latencies of an independent route, by its endpoint.
    Route(u32),
    /// The counts of a destination, summed over all classes.
    DestinationTotal(u32),
    /// The counts of a cell.
    Cell(CounterKey),
}

/// A report in progress. Reports are processed in slices, so that they delay no message. Each part is
/// collected, then the counter log is synced, then the part is sent.
#[derive(Debug)]
pub(crate) struct Report {
    /// Time of the report, in nanoseconds since 1970.
    pub(crate) timestamp: Time,
    /// Length of the interval that the report covers, in seconds.
    pub(crate) seconds: f64,
    /// Items that are still to be collected.
    pub(crate) items: VecDeque<ReportItem>,
    /// Number of points collected so far, in all parts.
    pub(crate) points_collected: usize,
    /// Points of the current part: collected, and not sent yet.
    pub(crate) part: VecDeque<Point>,
    pub(crate) phase: ReportPhase,
}

/// The phase of the current part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportPhase {
    /// The points are being collected.
    Collecting,
    /// The counter log is being synced.
    Syncing {
        /// Number of the sync, as in [`Output::Sync`](crate::Output::Sync).
        number: u64,
        /// When the sync was requested, by the monotonic clock.
        since: Time,
    },
    /// The points are being sent.
    Sending,
    /// All parts of the report were sent.
    Complete,
}

impl Report {
    pub(crate) fn new(timestamp: Time, seconds: f64, items: VecDeque<ReportItem>) -> Report {
        Report {
            timestamp,
            seconds,
            items,
            points_collected: 0,
            part: VecDeque::new(),
            phase: ReportPhase::Collecting,
        }
    }

    /// Whether all points of the current part were collected.
    pub(crate) fn is_part_complete(&self) -> bool {
        self.part.len() >= PART_POINTS || self.items.is_empty()
    }

    /// Removes and returns the next [`SLICE_POINTS`] points of the part, to be sent.
    pub(crate) fn take_slice(&mut self) -> Vec<Point> {
        let count = self.part.len().min(SLICE_POINTS);
        self.part.drain(..count).collect()
    }

    /// Continues with the next part once all points of the current one were sent, if there is one.
    pub(crate) fn finish_part(&mut self) {
        self.phase = if self.items.is_empty() { ReportPhase::Complete } else { ReportPhase::Collecting };
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.phase == ReportPhase::Complete
    }

    /// Removes the counts from the current part, because its sync failed: counts that are not on disk could
    /// fall after a power loss.
    pub(crate) fn withhold_counts(&mut self) {
        self.part.retain(|point| !point.value.is_counter());
    }

    /// Whether the current part waits for the sync with this number.
    pub(crate) fn waits_for_sync(&self, number: u64) -> bool {
        matches!(self.phase, ReportPhase::Syncing { number: awaited, .. } if awaited == number)
    }

    pub(crate) fn is_syncing(&self) -> bool {
        matches!(self.phase, ReportPhase::Syncing { .. })
    }
}
