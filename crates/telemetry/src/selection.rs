//! Selection of the items of a report: all gauges, the cells that changed, and a round robin over all cells.

use crate::counts::CounterKey;
use crate::recording::Recording;
use crate::report::ReportItem;
use std::collections::{BTreeSet, VecDeque};
use std::ops::Bound;

#[cfg(test)]
mod tests;

/// Number of reports over which the round robin selects every cell once, whether or not it changes.
const REPORTS_PER_REFRESH: usize = 30;

/// Selects the items of reports: all gauges, the cells that changed, and in round robin 1 /
/// [`REPORTS_PER_REFRESH`] of all cells.
#[derive(Debug, Default)]
pub(crate) struct ItemSelection {
    /// Position of the round robin: the last cell that it selected; `None` to begin with the first.
    refreshed_up_to: Option<CounterKey>,
    /// The first cell that the last report postponed because the report had reached its maximum number of
    /// points; `None` if it postponed none.
    first_postponed: Option<CounterKey>,
}

impl ItemSelection {
    /// Records that a cell was postponed. The next report begins its cells with the first one postponed.
    pub(crate) fn record_postponed(&mut self, key: CounterKey) {
        self.first_postponed.get_or_insert(key);
    }

    /// Returns the items of the next report, gauges first.
    pub(crate) fn select(&mut self, recording: &mut Recording) -> VecDeque<ReportItem> {
        let mut items = VecDeque::from([ReportItem::Courier]);
        items.extend((0..recording.classes.len()).map(ReportItem::Class));
        items.extend(recording.limits.destinations().map(ReportItem::Destination));
        items.extend(recording.limits.routes().map(ReportItem::Route));
        let mut cells = recording.counters.take_unreported();
        cells.extend(self.next_to_refresh(recording));
        self.push_cells(cells, &mut items);
        items
    }

    /// Advances the round robin: returns the next ceil(cells / [`REPORTS_PER_REFRESH`]) cells. At the end of
    /// the order there are fewer, and the next call begins with the first cell.
    fn next_to_refresh(&mut self, recording: &Recording) -> Vec<CounterKey> {
        let cells = recording.counters.cells();
        let count = cells.len().div_ceil(REPORTS_PER_REFRESH);
        let start = self.refreshed_up_to.map_or(Bound::Unbounded, Bound::Excluded);
        let keys = cells.range((start, Bound::Unbounded)).map(|(key, _)| *key);
        let keys: Vec<CounterKey> = keys.take(count).collect();
        let is_end = keys.len() < count;
        self.refreshed_up_to = if is_end { None } else { keys.last().copied() };
        keys
    }

    /// Appends cells in the order of their keys, rotated to begin with the first that was postponed, so that
    /// the same cells are not postponed by every report. The total of a destination precedes its cells.
    fn push_cells(&mut self, cells: BTreeSet<CounterKey>, items: &mut VecDeque<ReportItem>) {
        let first = self.first_postponed.take().unwrap_or(CounterKey::Cell { destination: 0, class: 0 });
        let mut last_destination = None;
        for &key in cells.range(first..).chain(cells.range(..first)) {
            if let CounterKey::Cell { destination, .. } = key {
                if last_destination != Some(destination) {
                    items.push_back(ReportItem::DestinationTotal(destination));
                }
                last_destination = Some(destination);
            }
            items.push_back(ReportItem::Cell(key));
        }
    }
}
