//! Counts that only grow, over restarts too: what happened to messages and attempts, for each destination and
//! class and for each separate route.
//!
//! [`CounterStore`] keeps the counts in memory. Each change also becomes a frame of a log, so that a process that
//! dies has lost none that anyone was notified of; from time to time all counts go into a saved document, after which a
//! new log begins. The store writes no file: its owner does.

mod field;
mod frame;
mod log;
mod saved;
#[cfg(test)]
mod tests;

pub use field::{Counts, Field, FIELDS};
pub use log::{mark, CounterLogEntry};
pub use saved::Saved;

use log::{Delta, DeltaOwner};
use saved::{CellOwner, SavedCell};
use std::collections::BTreeMap;

/// What a set of counts belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CounterKey {
    /// Messages and attempts of a destination and, by its number in the settings, a class.
    Cell(u32, u8),
    /// Attempts over a separate route, by its endpoint.
    Route(u32),
    /// The reports themselves.
    Reports,
}

/// A destination with a class that the settings no longer have.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RetiredCell {
    destination: u32,
    class: String,
}

/// What [`CounterStore::replay`] found in a log beside the counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    /// Its entries in their order, except for the classes.
    pub entries: Vec<CounterLogEntry>,
    /// Bytes of complete frames, up to the first that is cut or damaged.
    pub complete_bytes: usize,
}

/// All counts of a courier.
#[derive(Clone, Debug, Default)]
pub struct CounterStore {
    classes: Vec<String>,
    cells: BTreeMap<CounterKey, Counts>,
    /// Counts of classes that the settings no longer have: they come back with the class.
    retired: BTreeMap<RetiredCell, Counts>,
    /// Changes since the last frame.
    changes: BTreeMap<CounterKey, Counts>,
    max_cells: usize,
    beyond: u64,
}

impl CounterStore {
    /// An empty store for a courier with these classes, of at most so many cells.
    pub fn new(classes: Vec<String>, max_cells: usize) -> CounterStore {
        CounterStore { classes, max_cells, ..CounterStore::default() }
    }

    /// Adds to a count; true if it was added to a cell of its own. What belongs to cells beyond the limit is counted
    /// together, see [`CounterStore::beyond`].
    pub fn add(&mut self, key: CounterKey, field: Field, increase: u64) -> bool {
        if increase == 0 {
            return false;
        }
        let full = self.cells.len() >= self.max_cells;
        if full && key != CounterKey::Reports && !self.cells.contains_key(&key) {
            self.beyond += increase;
            return false;
        }
        self.cells.entry(key).or_default()[field] += increase;
        self.changes.entry(key).or_default()[field] += increase;
        true
    }

    /// What was counted for cells beyond the limit, all together and since the start.
    pub fn beyond(&self) -> u64 {
        self.beyond
    }

    /// All cells.
    pub fn cells(&self) -> &BTreeMap<CounterKey, Counts> {
        &self.cells
    }

    /// Cells that changed since the last frame.
    pub fn changed(&self) -> impl Iterator<Item = CounterKey> + '_ {
        self.changes.keys().copied()
    }

    /// The changes since the last frame, as a frame of the log.
    pub fn frame(&mut self) -> Option<Vec<u8>> {
        if self.changes.is_empty() {
            return None;
        }
        let changes = std::mem::take(&mut self.changes);
        Some(log::encode_deltas(&changes))
    }

    /// All counts, to be saved with the names of series and the last timestamp in seconds.
    pub fn saved(&self, names: &BTreeMap<String, u32>, stamp: u64) -> Saved {
        let mut cells = Vec::with_capacity(self.cells.len() + self.retired.len());
        for (key, counts) in &self.cells {
            cells.push(match *key {
                CounterKey::Cell(destination, class) => match self.classes.get(usize::from(class)) {
                    Some(class) => {
                        SavedCell::new(CellOwner::DestinationAndClass { destination, class }, counts)
                    }
                    None => SavedCell::of_unknown_class(destination, counts),
                },
                CounterKey::Route(endpoint) => SavedCell::new(CellOwner::Route(endpoint), counts),
                CounterKey::Reports => SavedCell::new(CellOwner::Reports, counts),
            });
        }
        for (RetiredCell { destination, class }, counts) in &self.retired {
            let owner = CellOwner::DestinationAndClass { destination: *destination, class };
            cells.push(SavedCell::new(owner, counts));
        }
        Saved { cells, names: names.clone(), stamp }
    }

    /// Adds what a saved document holds.
    pub fn restore(&mut self, saved: &Saved) {
        for cell in &saved.cells {
            let Some(owner) = cell.owner() else { continue };
            for (field, count) in cell.counts() {
                self.counts_mut(owner)[field] += count;
            }
        }
    }

    /// Adds what a log holds: its complete frames up to the first that is cut or damaged.
    pub fn replay(&mut self, log: &[u8]) -> Replayed {
        let mut replayed = Replayed::default();
        let mut classes: Vec<String> = Vec::new();
        while let Some(body) = frame::decode(log, replayed.complete_bytes) {
            let intact = match body.split_first() {
                Some((&log::DELTAS, deltas)) => self.apply_deltas(&classes, deltas).is_some(),
                Some((&log::ENTRY, json)) => match serde_json::from_slice(json) {
                    Ok(CounterLogEntry::Classes(names)) => {
                        classes = names;
                        true
                    }
                    Ok(entry) => {
                        replayed.entries.push(entry);
                        true
                    }
                    Err(_) => false,
                },
                // A kind of frame that a later version writes.
                _ => true,
            };
            if !intact {
                break;
            }
            replayed.complete_bytes += frame::HEADER_BYTES + body.len();
        }
        replayed
    }

    /// None if the deltas are damaged or name a class that the log does not have.
    fn apply_deltas(&mut self, classes: &[String], body: &[u8]) -> Option<()> {
        for Delta { owner, field, increase } in log::decode_deltas(body)? {
            let owner = match owner {
                DeltaOwner::DestinationAndClass { destination, class } => {
                    CellOwner::DestinationAndClass { destination, class: classes.get(class)? }
                }
                DeltaOwner::Route(endpoint) => CellOwner::Route(endpoint),
                DeltaOwner::Reports => CellOwner::Reports,
            };
            self.counts_mut(owner)[field] += increase;
        }
        Some(())
    }

    /// The counts of an owner, by the class numbers of the settings in force.
    fn counts_mut(&mut self, owner: CellOwner<'_>) -> &mut Counts {
        let key = match owner {
            CellOwner::DestinationAndClass { destination, class } => match self.class_number(class) {
                Some(number) => CounterKey::Cell(destination, number),
                None => {
                    let retired = RetiredCell { destination, class: class.to_owned() };
                    return self.retired.entry(retired).or_default();
                }
            },
            CellOwner::Route(endpoint) => CounterKey::Route(endpoint),
            CellOwner::Reports => CounterKey::Reports,
        };
        self.cells.entry(key).or_default()
    }

    fn class_number(&self, class: &str) -> Option<u8> {
        self.classes.iter().position(|name| name == class).map(|number| number as u8)
    }
}
