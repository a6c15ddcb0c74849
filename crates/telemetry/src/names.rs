//! Names of destinations and classes in series: safe for a path, and never assigned to a second owner.

use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Maximum length of a name in bytes; longer names are truncated.
const MAX_NAME_BYTES: usize = 60;

/// Converts a name for use in a path: it is transliterated to ASCII (`Łódź` becomes `Lodz`), then each
/// character other than a letter, a digit, `-` and `_` is replaced by `_`.
pub fn sanitize(name: &str) -> String {
    let ascii = deunicode::deunicode(name);
    let mut sanitized: String = ascii.trim().chars().map(sanitize_character).collect();
    sanitized.truncate(MAX_NAME_BYTES);
    sanitized
}

fn sanitize_character(character: char) -> char {
    let is_safe = character.is_ascii_alphanumeric() || character == '-' || character == '_';
    if is_safe {
        character
    } else {
        '_'
    }
}

/// The name of an owner in series.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedName {
    /// The name, safe for a path.
    pub name: String,
    /// Whether this call of [`SeriesNames::assign`] assigned the name; the assignment must then be logged.
    pub newly_assigned: bool,
}

/// The owner of each name: a destination or a class, by its number. A name stays with its first owner, even
/// if the owner is renamed or removed: if it changed to another owner, the counts of its series could fall.
#[derive(Clone, Debug, Default)]
pub struct SeriesNames {
    owners: BTreeMap<String, u32>,
    max_names: usize,
}

impl SeriesNames {
    /// Creates an empty set for at most `max_names` names.
    pub fn new(max_names: usize) -> SeriesNames {
        SeriesNames { owners: BTreeMap::new(), max_names }
    }

    /// Returns all names with their owners.
    pub fn owners(&self) -> &BTreeMap<String, u32> {
        &self.owners
    }

    /// Restores an assignment of an earlier run.
    pub fn restore(&mut self, name: String, owner: u32) {
        self.owners.entry(name).or_insert(owner);
    }

    /// Returns the name of an owner, and assigns it if necessary. The first of these that is available is
    /// chosen: the wanted name in its sanitized form, that name with `-d` and the owner's number, `d` and the
    /// number alone. The last is always available; at the maximum number of names no other is assigned.
    pub fn assign(&mut self, wanted: Option<&str>, owner: u32) -> AssignedName {
        let number = format!("d{owner}");
        if let Some(wanted) = wanted.map(sanitize).filter(|name| is_assignable(name)) {
            let with_number = format!("{wanted}-{number}");
            for candidate in [wanted, with_number] {
                if let Some(assigned) = self.try_assign(candidate, owner) {
                    return assigned;
                }
            }
        }
        AssignedName { name: number, newly_assigned: false }
    }

    /// Assigns a name to an owner; `None` if it belongs to another owner or the maximum number of names is
    /// reached.
    fn try_assign(&mut self, name: String, owner: u32) -> Option<AssignedName> {
        match self.owners.get(&name) {
            Some(&current) if current == owner => Some(AssignedName { name, newly_assigned: false }),
            None if self.owners.len() < self.max_names => {
                self.owners.insert(name.clone(), owner);
                Some(AssignedName { name, newly_assigned: true })
            }
            _ => None,
        }
    }
}

/// Whether a name can be assigned: `d` and a number is reserved for owners without another name.
fn is_assignable(name: &str) -> bool {
    !name.is_empty() && !is_destination_number(name)
}

fn is_destination_number(name: &str) -> bool {
    let Some(digits) = name.strip_prefix('d') else { return false };
    !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit())
}
