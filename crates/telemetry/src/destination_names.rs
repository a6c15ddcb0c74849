//! Names of destinations in series.

use crate::counts::{encode_entry, AssignedSeriesName, CounterLogEntry};
use crate::names::{AssignedName, SeriesNames};
use crate::Output;
use std::collections::BTreeMap;

/// Assigns series names to destinations by the rules of [`SeriesNames::assign`]; the wanted names are those
/// in the settings.
#[derive(Debug)]
pub(crate) struct DestinationNames {
    assigned: SeriesNames,
    /// Names in the settings, by destination.
    configured: BTreeMap<u32, String>,
}

impl DestinationNames {
    /// Starts with the names that were assigned in an earlier run.
    pub(crate) fn new(assigned: SeriesNames) -> DestinationNames {
        DestinationNames { assigned, configured: BTreeMap::new() }
    }

    /// Returns all assigned names with their destinations.
    pub(crate) fn owners(&self) -> &BTreeMap<String, u32> {
        self.assigned.owners()
    }

    /// Replaces the names from the settings. Names already assigned keep their destinations.
    pub(crate) fn configure(&mut self, names: &BTreeMap<u32, String>) {
        self.configured.clone_from(names);
    }

    /// Returns the series name of a destination. A newly assigned name is appended to the counter log, so
    /// that it keeps its destination after a restart.
    pub(crate) fn name(&mut self, destination: u32, outputs: &mut Vec<Output>) -> String {
        let wanted = self.configured.get(&destination).map(String::as_str);
        let AssignedName { name, newly_assigned } = self.assigned.assign(wanted, destination);
        if newly_assigned {
            let entry = CounterLogEntry::Name(AssignedSeriesName { name: name.clone(), destination });
            outputs.push(Output::Append(encode_entry(&entry)));
        }
        name
    }
}
