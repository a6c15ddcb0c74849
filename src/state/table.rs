//! A hash table from numbers to boxed rows, with a hash that does not vary between processes.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Multiplicative hasher without a random seed: a number has the same hash in every process.
#[derive(Default)]
pub(crate) struct StableHasher {
    hash: u64,
}

impl Hasher for StableHasher {
    fn finish(&self) -> u64 {
        self.hash ^ (self.hash >> 32)
    }

    fn write(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.write_u32(u32::from(byte));
        }
    }

    fn write_u32(&mut self, number: u32) {
        self.hash = (self.hash ^ u64::from(number)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

/// Rows by number, with access in constant time. Rows have no defined order, so the effect of
/// [`for_each`](Table::for_each) and [`retain`](Table::retain) must not depend on the order of visits.
#[derive(Debug)]
pub(crate) struct Table<T> {
    rows: HashMap<u32, Box<T>, BuildHasherDefault<StableHasher>>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table { rows: HashMap::default() }
    }
}

impl<T> Table<T> {
    /// Returns the row of a number, or `None` when there is none.
    pub(crate) fn get(&self, id: u32) -> Option<&T> {
        self.rows.get(&id).map(|row| &**row)
    }

    /// Returns the row of a number for changes, or `None` when there is none.
    pub(crate) fn get_mut(&mut self, id: u32) -> Option<&mut T> {
        self.rows.get_mut(&id).map(|row| &mut **row)
    }

    /// Returns the row of a number, created with `new` if it is missing.
    pub(crate) fn get_or_insert_with(&mut self, id: u32, new: impl FnOnce() -> T) -> &mut T {
        self.rows.entry(id).or_insert_with(|| Box::new(new()))
    }

    /// Whether there is a row with this number.
    pub(crate) fn contains(&self, id: u32) -> bool {
        self.rows.contains_key(&id)
    }

    /// Removes the rows for which `keep` returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&mut T) -> bool) {
        self.rows.retain(|_, row| keep(row));
    }

    /// Visits all rows, in no particular order.
    pub(crate) fn for_each(&mut self, mut change: impl FnMut(u32, &mut T)) {
        for (&id, row) in &mut self.rows {
            change(id, row);
        }
    }
}

impl<T> std::ops::Index<u32> for Table<T> {
    type Output = T;

    fn index(&self, id: u32) -> &T {
        &self.rows[&id]
    }
}
