//! The snapshot in which all counts are saved.

use super::{Counts, Field};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A snapshot of all counts, stored on disk as JSON: the serialized names of the fields must not change.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Saved {
    pub(super) cells: Vec<SavedCell>,
    /// Series names, with the destination that owns each.
    pub names: BTreeMap<String, u32>,
    /// The last timestamp of a report, in seconds since 1970; 0 if there was none.
    #[serde(rename = "stamp")]
    pub last_timestamp_s: u64,
}

/// The counts of one owner: a destination and class, a route, or the reports themselves if none of these is
/// set.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SavedCell {
    destination: Option<u32>,
    class: Option<String>,
    route: Option<u32>,
    counts: BTreeMap<String, u64>,
}

/// The owner of the counts of a saved cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CellOwner<'a> {
    DestinationAndClass { destination: u32, class: &'a str },
    Route { endpoint: u32 },
    Reports,
}

impl SavedCell {
    pub(super) fn new(owner: CellOwner<'_>, counts: &Counts) -> SavedCell {
        let reports = SavedCell::without_owner(counts);
        match owner {
            CellOwner::DestinationAndClass { destination, class } => {
                SavedCell { destination: Some(destination), class: Some(class.to_owned()), ..reports }
            }
            CellOwner::Route { endpoint } => SavedCell { route: Some(endpoint), ..reports },
            CellOwner::Reports => reports,
        }
    }

    /// Creates a cell for a class number that the settings do not have: with a destination but no class. As
    /// [`SavedCell::owner`] returns `None` for it, it is not restored.
    pub(super) fn of_unknown_class(destination: u32, counts: &Counts) -> SavedCell {
        SavedCell { destination: Some(destination), ..SavedCell::without_owner(counts) }
    }

    fn without_owner(counts: &Counts) -> SavedCell {
        let counts = counts.nonzero().map(|(field, count)| (field.name().to_owned(), count)).collect();
        SavedCell { destination: None, class: None, route: None, counts }
    }

    /// Returns the owner of the counts, or `None` for any other combination of fields.
    pub(super) fn owner(&self) -> Option<CellOwner<'_>> {
        match (self.destination, self.class.as_deref(), self.route) {
            (Some(destination), Some(class), None) => {
                Some(CellOwner::DestinationAndClass { destination, class })
            }
            (None, None, Some(endpoint)) => Some(CellOwner::Route { endpoint }),
            (None, None, None) => Some(CellOwner::Reports),
            _ => None,
        }
    }

    /// Returns the counts of known fields. Unknown fields come from a later version and are ignored.
    pub(super) fn counts(&self) -> impl Iterator<Item = (Field, u64)> + '_ {
        self.counts.iter().filter_map(|(name, &count)| Some((Field::from_name(name)?, count)))
    }
}
