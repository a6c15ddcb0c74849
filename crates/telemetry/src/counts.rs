//! Monotonic counters, across restarts as well: messages and attempts of each destination and class and of
//! each independent route.
//!
//! A cell holds the counts of one [`CounterKey`], one for each [`Field`]. [`CounterStore`] owns the cells in
//! memory. Their changes are also encoded as frames of a write-ahead log, so that a crash of the process
//! loses no count of an answer that a client received; a power loss can lose the end of the log that was not
//! synced. From time to time all counts are saved in a snapshot ([`Saved`]), after which a new log begins.
//! The store never accesses files: its owner does.

mod field;
mod frame;
mod log;
mod replay;
mod saved;
#[cfg(test)]
mod tests;

pub use field::{Counts, Field, FIELD_COUNT};
pub use log::{encode_entry, AssignedSeriesName, CounterLogEntry};
pub use replay::ReplayedLog;
pub use saved::Saved;

use saved::{CellOwner, SavedCell};
use std::collections::BTreeMap;

/// Identifies a cell, by what its counts belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CounterKey {
    /// Messages and attempts of a destination and class.
    Cell {
        /// The destination.
        destination: u32,
        /// The class, by its number in the settings.
        class: u8,
    },
    /// Attempts over an independent route.
    Route {
        /// The route's endpoint.
        endpoint: u32,
    },
    /// Losses of the reporting itself: points dropped, cells postponed, failed connections to Graphite and
    /// rejected host packets.
    Reports,
}

/// Identifies a cell of a class that the settings no longer contain, by the name of the class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RetiredCell {
    destination: u32,
    class: String,
}

/// All counts of a courier.
#[derive(Clone, Debug, Default)]
pub struct CounterStore {
    /// Names of the classes in the settings, indexed by their number.
    classes: Vec<String>,
    cells: BTreeMap<CounterKey, Counts>,
    /// Counts of classes that the settings no longer contain. They stay in the snapshot, so that a class that
    /// returns to the settings continues from them.
    retired: BTreeMap<RetiredCell, Counts>,
    /// Increases since the last frame.
    changes: BTreeMap<CounterKey, Counts>,
    max_cells: usize,
    /// See [`CounterStore::over_limit`].
    over_limit: u64,
}

impl CounterStore {
    /// Creates an empty store for a courier with these classes, with at most `max_cells` cells.
    pub fn new(classes: Vec<String>, max_cells: usize) -> CounterStore {
        CounterStore { classes, max_cells, ..CounterStore::default() }
    }

    /// Adds to a count. Returns whether the count changed: false if `increase` is 0, or if the key has no
    /// cell and the maximum number of cells is reached; see [`CounterStore::over_limit`].
    pub fn add(&mut self, key: CounterKey, field: Field, increase: u64) -> bool {
        if increase == 0 {
            return false;
        }
        let is_full = self.cells.len() >= self.max_cells;
        if is_full && key != CounterKey::Reports && !self.cells.contains_key(&key) {
            self.over_limit += increase;
            return false;
        }
        self.cells.entry(key).or_default()[field] += increase;
        self.changes.entry(key).or_default()[field] += increase;
        true
    }

    /// Returns the sum of all increases that were not counted because the maximum number of cells was
    /// reached, over all fields and since the start of the process.
    pub fn over_limit(&self) -> u64 {
        self.over_limit
    }

    /// Returns all cells.
    pub fn cells(&self) -> &BTreeMap<CounterKey, Counts> {
        &self.cells
    }

    /// Returns the cells that changed since the last frame.
    pub fn changed(&self) -> impl Iterator<Item = CounterKey> + '_ {
        self.changes.keys().copied()
    }

    /// Encodes the changes since the last frame as a frame of the log; `None` if nothing changed.
    pub fn frame(&mut self) -> Option<Vec<u8>> {
        if self.changes.is_empty() {
            return None;
        }
        let changes = std::mem::take(&mut self.changes);
        Some(log::encode_deltas(&changes))
    }

    /// Returns a snapshot of all counts, the assigned series names and the last timestamp.
    pub fn saved(&self, names: &BTreeMap<String, u32>, last_timestamp_s: u64) -> Saved {
        let mut cells = Vec::with_capacity(self.cells.len() + self.retired.len());
        for (&key, counts) in &self.cells {
            cells.push(self.saved_cell(key, counts));
        }
        for (RetiredCell { destination, class }, counts) in &self.retired {
            let owner = CellOwner::DestinationAndClass { destination: *destination, class };
            cells.push(SavedCell::new(owner, counts));
        }
        Saved { cells, names: names.clone(), last_timestamp_s }
    }

    fn saved_cell(&self, key: CounterKey, counts: &Counts) -> SavedCell {
        match key {
            CounterKey::Cell { destination, class } => match self.classes.get(usize::from(class)) {
                Some(class) => SavedCell::new(CellOwner::DestinationAndClass { destination, class }, counts),
                None => SavedCell::of_unknown_class(destination, counts),
            },
            CounterKey::Route { endpoint } => SavedCell::new(CellOwner::Route { endpoint }, counts),
            CounterKey::Reports => SavedCell::new(CellOwner::Reports, counts),
        }
    }

    /// Adds the counts of a snapshot to those of the store. Cells without a valid owner are ignored.
    pub fn restore(&mut self, saved: &Saved) {
        for cell in &saved.cells {
            let Some(owner) = cell.owner() else { continue };
            for (field, count) in cell.counts() {
                self.counts_mut(owner)[field] += count;
            }
        }
    }

    /// Returns the counts of an owner, whose class name is mapped to its number in the current settings.
    fn counts_mut(&mut self, owner: CellOwner<'_>) -> &mut Counts {
        let key = match owner {
            CellOwner::DestinationAndClass { destination, class } => match self.class_number(class) {
                Some(number) => CounterKey::Cell { destination, class: number },
                None => {
                    let retired = RetiredCell { destination, class: class.to_owned() };
                    return self.retired.entry(retired).or_default();
                }
            },
            CellOwner::Route { endpoint } => CounterKey::Route { endpoint },
            CellOwner::Reports => CounterKey::Reports,
        };
        self.cells.entry(key).or_default()
    }

    fn class_number(&self, class: &str) -> Option<u8> {
        self.classes.iter().position(|name| name == class).map(|number| number as u8)
    }
}
