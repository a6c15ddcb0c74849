//! The courier's counts with their totals by class, and the times at which changes are appended to the
//! counter log.

use crate::counts::{CounterKey, CounterLogEntry, CounterStore, Counts, Field};
use crate::names::SeriesNames;
use crate::time::SECOND;
use crate::{Output, RestoredState};
use linnetcart::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Interval, in nanoseconds, of appending changes that no client's answer waits for to the counter log.
const LOG_INTERVAL: Time = SECOND / 10;
/// The maximum number of series names is 2 * max(cells, `MIN_NAMED_CELLS`).
const MIN_NAMED_CELLS: usize = 1000;

/// The counts, series names and last timestamp of an earlier run.
pub(crate) struct RestoredCounts {
    pub(crate) store: CounterStore,
    pub(crate) names: SeriesNames,
    /// The last timestamp, in seconds since 1970; 0 if there was none.
    pub(crate) last_timestamp_s: u64,
}

impl RestoredCounts {
    /// Restores the saved snapshot, then replays the counter logs written after it.
    pub(crate) fn read(stored: &RestoredState, classes: Vec<String>, max_cells: usize) -> RestoredCounts {
        let mut store = CounterStore::new(classes, max_cells);
        let mut names = SeriesNames::new(max_cells.max(MIN_NAMED_CELLS) * 2);
        let mut last_timestamp_s = 0;
        if let Some(saved) = &stored.saved {
            store.restore(saved);
            for (name, &destination) in &saved.names {
                names.restore(name.clone(), destination);
            }
            last_timestamp_s = saved.last_timestamp_s;
        }
        for log in &stored.logs {
            for entry in store.replay(log).entries {
                match entry {
                    CounterLogEntry::Name(assigned) => names.restore(assigned.name, assigned.destination),
                    CounterLogEntry::Timestamp(second) => last_timestamp_s = last_timestamp_s.max(second),
                    CounterLogEntry::Classes(_) => {}
                }
            }
        }
        RestoredCounts { store, names, last_timestamp_s }
    }
}

/// All counts, with the totals that reports need.
#[derive(Debug)]
pub(crate) struct Counters {
    store: CounterStore,
    /// Sums over all destinations, indexed by the number of the class.
    class_totals: Vec<Counts>,
    /// Cells that changed since they were last reported, or were postponed to the next report.
    unreported: BTreeSet<CounterKey>,
    /// Whether this iteration of the event loop answers clients: its changes must then be logged before the
    /// answers are sent, without waiting for [`LOG_INTERVAL`].
    must_log: bool,
    /// When [`Counters::log_if_due`] last appended changes, by the monotonic clock.
    last_logged: Time,
}

impl Counters {
    pub(crate) fn new(store: CounterStore, classes: usize, now: Time) -> Counters {
        let mut class_totals = vec![Counts::default(); classes];
        for (key, counts) in store.cells() {
            if let CounterKey::Cell { class, .. } = key {
                if let Some(total) = class_totals.get_mut(usize::from(*class)) {
                    total.add_all(counts);
                }
            }
        }
        Counters { store, class_totals, unreported: BTreeSet::new(), must_log: false, last_logged: now }
    }

    pub(crate) fn store(&self) -> &CounterStore {
        &self.store
    }

    pub(crate) fn cells(&self) -> &BTreeMap<CounterKey, Counts> {
        self.store.cells()
    }

    /// Adds `increase` to a count and, if the count belongs to a destination and class, to the total of the
    /// class.
    pub(crate) fn add(&mut self, key: CounterKey, field: Field, increase: u64) {
        // An increase that got no cell is not added to the total either: a restart recomputes totals from the
        // cells, and a total that included it would fall.
        if !self.store.add(key, field, increase) {
            return;
        }
        if let CounterKey::Cell { class, .. } = key {
            if let Some(total) = self.class_totals.get_mut(usize::from(class)) {
                total[field] += increase;
            }
        }
    }

    /// Requires that all changes so far are logged before the answers of this iteration are sent to clients.
    pub(crate) fn require_log(&mut self) {
        self.must_log = true;
    }

    /// Appends all changes so far to the counter log, if [`Self::require_log`] demands it or [`LOG_INTERVAL`]
    /// has elapsed since this function last did so.
    pub(crate) fn log_if_due(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.must_log || self.last_logged + LOG_INTERVAL <= now {
            self.log_changes(outputs);
            self.last_logged = now;
        }
    }

    /// Appends all changes so far to the counter log, as one frame.
    pub(crate) fn log_changes(&mut self, outputs: &mut Vec<Output>) {
        self.must_log = false;
        self.unreported.extend(self.store.changed());
        outputs.extend(self.store.frame().map(Output::Append));
    }

    /// Returns the cells that changed or were postponed since the last call.
    pub(crate) fn take_unreported(&mut self) -> BTreeSet<CounterKey> {
        std::mem::take(&mut self.unreported)
    }

    /// Adds a cell to the next report, because the current one reached its maximum number of points.
    pub(crate) fn postpone(&mut self, key: CounterKey) {
        self.unreported.insert(key);
    }

    /// Returns the total of a class over all destinations.
    pub(crate) fn class_total(&self, class: usize) -> Counts {
        self.class_totals.get(class).copied().unwrap_or_default()
    }

    /// Returns the total over all classes, including the counts about the reports themselves.
    pub(crate) fn courier_total(&self) -> Counts {
        let mut total = Counts::default();
        for class_total in &self.class_totals {
            total.add_all(class_total);
        }
        if let Some(reports) = self.cells().get(&CounterKey::Reports) {
            total.add_all(reports);
        }
        total
    }

    /// Returns the total of a destination over all classes.
    pub(crate) fn destination_total(&self, destination: u32) -> Counts {
        let first = CounterKey::Cell { destination, class: 0 };
        let last = CounterKey::Cell { destination, class: u8::MAX };
        let mut total = Counts::default();
        for (_, counts) in self.cells().range(first..=last) {
            total.add_all(counts);
        }
        total
    }
}
