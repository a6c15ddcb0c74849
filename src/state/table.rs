//! Rows by number.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Hashes numbers alike in every process.
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

/// Rows by number, found in a time that does not grow with their count. It has no order: what goes over all
/// rows must come to the same in any.
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
    /// A row.
    pub(crate) fn get(&self, id: u32) -> Option<&T> {
        self.rows.get(&id).map(|row| &**row)
    }

    /// A row, to change it.
    pub(crate) fn get_mut(&mut self, id: u32) -> Option<&mut T> {
        self.rows.get_mut(&id).map(|row| &mut **row)
    }

    /// A row, made if it is missing.
    pub(crate) fn get_or_insert_with(&mut self, id: u32, new: impl FnOnce() -> T) -> &mut T {
        self.rows.entry(id).or_insert_with(|| Box::new(new()))
    }

    /// There is such a row.
    pub(crate) fn contains(&self, id: u32) -> bool {
        self.rows.contains_key(&id)
    }

    /// Keeps the rows for which `keep` says so.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&mut T) -> bool) {
        self.rows.retain(|_, row| keep(row));
    }

    /// Changes all rows.
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
