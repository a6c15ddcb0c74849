//! The document that all counts are saved in.

use super::{Counts, Field};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All counts as they are saved.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Saved {
    pub(super) cells: Vec<SavedCell>,
    /// Names of series, with the destination that each belongs to.
    pub names: BTreeMap<String, u32>,
    /// The last time that a series was stamped with, in seconds since 1970.
    pub stamp: u64,
}

/// The counts of one owner: a destination and class, a route, or, with none of the three, the reports themselves.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SavedCell {
    destination: Option<u32>,
    class: Option<String>,
    route: Option<u32>,
    counts: BTreeMap<String, u64>,
}

/// Whose counts a saved cell holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CellOwner<'a> {
    DestinationAndClass { destination: u32, class: &'a str },
    Route(u32),
    Reports,
}

impl SavedCell {
    pub(super) fn new(owner: CellOwner<'_>, counts: &Counts) -> SavedCell {
        let reports = SavedCell::without_owner(counts);
        match owner {
            CellOwner::DestinationAndClass { destination, class } => {
                SavedCell { destination: Some(destination), class: Some(class.to_owned()), ..reports }
            }
            CellOwner::Route(endpoint) => SavedCell { route: Some(endpoint), ..reports },
            CellOwner::Reports => reports,
        }
    }

    /// Counts of a class number that the settings never had; [`SavedCell::owner`] gives none for it.
    pub(super) fn of_unknown_class(destination: u32, counts: &Counts) -> SavedCell {
        SavedCell { destination: Some(destination), ..SavedCell::without_owner(counts) }
    }

    fn without_owner(counts: &Counts) -> SavedCell {
        let counts = counts.nonzero().map(|(field, count)| (field.name().to_owned(), count)).collect();
        SavedCell { destination: None, class: None, route: None, counts }
    }

    /// Whose counts these are; none for a combination that means nothing.
    pub(super) fn owner(&self) -> Option<CellOwner<'_>> {
        match (self.destination, self.class.as_deref(), self.route) {
            (Some(destination), Some(class), None) => {
                Some(CellOwner::DestinationAndClass { destination, class })
            }
            (None, None, Some(endpoint)) => Some(CellOwner::Route(endpoint)),
            (None, None, None) => Some(CellOwner::Reports),
            _ => None,
        }
    }

    /// The counts of known fields; others come from a later version and are passed over.
    pub(super) fn counts(&self) -> impl Iterator<Item = (Field, u64)> + '_ {
        self.counts.iter().filter_map(|(name, &count)| Some((Field::from_name(name)?, count)))
    }
}
