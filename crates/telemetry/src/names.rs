//! Names of series: made safe for a path, and never given to a second destination.

use std::collections::BTreeMap;

/// A name is cut to this many bytes.
const LONGEST: usize = 60;

/// A name as part of a path: letters, digits, `-` and `_`; others are written as the nearest of these.
pub fn safe(name: &str) -> String {
    let plain = deunicode::deunicode(name);
    let ok = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let mut out: String = plain.trim().chars().map(|c| if ok(c) { c } else { '_' }).collect();
    out.truncate(LONGEST);
    out
}

/// Whose each name is. A name stays its first owner's, also while that has another or is gone: a count under a
/// name must not fall because it is someone else's from now on.
#[derive(Clone, Debug, Default)]
pub struct Names {
    owners: BTreeMap<String, u32>,
    most: usize,
}

impl Names {
    /// Those that were given already; at most so many.
    pub fn new(owners: BTreeMap<String, u32>, most: usize) -> Names {
        Names { owners, most }
    }

    /// All of them.
    pub fn owners(&self) -> &BTreeMap<String, u32> {
        &self.owners
    }

    /// A name that a snapshot or log gave.
    pub fn given(&mut self, name: String, owner: u32) {
        self.owners.entry(name).or_insert(owner);
    }

    /// The name of a destination that wants to be called so; true if it is new. Where the name is another's, the
    /// number follows it. Without a name, and beyond the bound, the number stands alone.
    pub fn name(&mut self, wanted: Option<&str>, owner: u32) -> (String, bool) {
        let number = format!("d{owner}");
        let wanted = wanted.map(safe).filter(|w| !w.is_empty() && !is_number(w));
        for candidate in wanted.iter().flat_map(|w| [w.clone(), format!("{w}-{number}")]) {
            match self.owners.get(&candidate) {
                Some(&of) if of == owner => return (candidate, false),
                None if self.owners.len() < self.most => {
                    self.owners.insert(candidate.clone(), owner);
                    return (candidate, true);
                }
                _ => {}
            }
        }
        (number, false)
    }
}

/// Such names are kept for destinations that have no other.
fn is_number(name: &str) -> bool {
    name.strip_prefix('d').is_some_and(|rest| !rest.is_empty() && rest.bytes().all(|b| b.is_ascii_digit()))
}

#[cfg(test)]
mod tests;
