//! Names of series: made safe for a path, and never given to a second destination.

use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A name is cut to this many bytes.
const MAX_NAME_BYTES: usize = 60;

/// A name as part of a path: letters, digits, `-` and `_`; others are written as the nearest of these.
pub fn safe(name: &str) -> String {
    let ascii = deunicode::deunicode(name);
    let mut safe: String = ascii.trim().chars().map(safe_character).collect();
    safe.truncate(MAX_NAME_BYTES);
    safe
}

fn safe_character(character: char) -> char {
    let is_safe = character.is_ascii_alphanumeric() || character == '-' || character == '_';
    if is_safe {
        character
    } else {
        '_'
    }
}

/// The name of a destination's series.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedName {
    /// The name.
    pub name: String,
    /// It belongs to the destination only since this call, which must be logged.
    pub newly_assigned: bool,
}

/// Which destination each name belongs to. A name stays with its first owner, also while that has another
/// name or is gone: the counts under a name must not fall because they are another destination's from now on.
#[derive(Clone, Debug, Default)]
pub struct SeriesNames {
    owners: BTreeMap<String, u32>,
    max_names: usize,
}

impl SeriesNames {
    /// No names yet, and at most so many.
    pub fn new(max_names: usize) -> SeriesNames {
        SeriesNames { owners: BTreeMap::new(), max_names }
    }

    /// All names with their owners.
    pub fn owners(&self) -> &BTreeMap<String, u32> {
        &self.owners
    }

    /// Restores an assignment of an earlier run.
    pub fn restore(&mut self, name: String, owner: u32) {
        self.owners.entry(name).or_insert(owner);
    }

    /// The name of a destination that wants to be called so. Where the name is another's, the number follows
    /// it. Without a name, and beyond the limit of names, the number stands alone.
    pub fn assign(&mut self, wanted: Option<&str>, owner: u32) -> AssignedName {
        let number = format!("d{owner}");
        if let Some(wanted) = wanted.map(safe).filter(|name| is_assignable(name)) {
            let with_number = format!("{wanted}-{number}");
            for candidate in [wanted, with_number] {
                if let Some(newly_assigned) = self.try_assign(&candidate, owner) {
                    return AssignedName { name: candidate, newly_assigned };
                }
            }
        }
        AssignedName { name: number, newly_assigned: false }
    }

    /// Whether the name is newly the owner's; none if it cannot be.
    fn try_assign(&mut self, name: &str, owner: u32) -> Option<bool> {
        match self.owners.get(name) {
            Some(&current) if current == owner => Some(false),
            None if self.owners.len() < self.max_names => {
                self.owners.insert(name.to_owned(), owner);
                Some(true)
            }
            _ => None,
        }
    }
}

/// Numbers are reserved for destinations that have no other name.
fn is_assignable(name: &str) -> bool {
    !name.is_empty() && !is_destination_number(name)
}

fn is_destination_number(name: &str) -> bool {
    let Some(digits) = name.strip_prefix('d') else { return false };
    !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit())
}
