//! A report under way.

use crate::counts::CounterKey;
use crate::series::Point;
use linnetcart::Time;
use std::collections::VecDeque;

/// Points that are made or sent at once: some tenths of a millisecond.
pub(crate) const SLICE_POINTS: usize = 256;
/// Points that are made before the log of counts is brought to disk and they are sent.
pub(crate) const PART_POINTS: usize = 8192;

/// What a report still has to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportItem {
    /// The courier's counts and gauges.
    Courier,
    /// A class's counts and latencies.
    Class(usize),
    /// A destination's limit and latencies.
    Destination(u32),
    /// The limit and latencies of a separate route.
    Route(u32),
    /// A destination's counts over all classes.
    DestinationTotal(u32),
    /// The counts of a cell.
    Cell(CounterKey),
}

/// A report under way. It is made and sent in slices, so that no message waits for it: a part of it is made,
/// then the log of the counts in it brought to disk, then the part is sent, and the next one follows.
#[derive(Debug)]
pub(crate) struct Report {
    /// Nanoseconds since 1970.
    pub(crate) timestamp: Time,
    /// Length of the interval that it covers.
    pub(crate) seconds: f64,
    pub(crate) items: VecDeque<ReportItem>,
    /// Points made so far, in all parts.
    pub(crate) points_made: usize,
    /// Points of the part under way.
    pub(crate) part: VecDeque<Point>,
    pub(crate) phase: ReportPhase,
}

/// What happens to the part under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportPhase {
    /// Its points are being made.
    Collecting,
    /// The log of its counts is being brought to disk.
    Syncing {
        /// The number of the sync.
        number: u64,
        /// When it was asked for.
        since: Time,
    },
    /// Its points are being sent.
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
            points_made: 0,
            part: VecDeque::new(),
            phase: ReportPhase::Collecting,
        }
    }

    /// The part has all its points.
    pub(crate) fn is_part_complete(&self) -> bool {
        self.part.len() >= PART_POINTS || self.items.is_empty()
    }

    /// Takes the next points of the part to be sent.
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

    /// Counts that are not on disk must not be reported: they could fall after a power loss.
    pub(crate) fn withhold_counts(&mut self) {
        self.part.retain(|point| !point.value.is_counter());
    }

    /// Whether the part waits for the sync of this number.
    pub(crate) fn waits_for_sync(&self, number: u64) -> bool {
        matches!(self.phase, ReportPhase::Syncing { number: awaited, .. } if awaited == number)
    }

    pub(crate) fn is_syncing(&self) -> bool {
        matches!(self.phase, ReportPhase::Syncing { .. })
    }
}
