//! Names of destinations in series.

use crate::counts::{encode_entry, AssignedSeriesName, CounterLogEntry};
use crate::names::{AssignedName, SeriesNames};
use crate::Output;
use std::collections::BTreeMap;

/// Assigns series names to destinations: the names in the settings, unless they belong to another
/// destination.
#[derive(Debug)]
pub(crate) struct DestinationNames {
    assigned: SeriesNames,
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

    /// Replaces the names in the settings.
    pub(crate) fn configure(&mut self, names: &BTreeMap<u32, String>) {
        self.configured.clone_from(names);
    }

    /// Returns the series name of a destination, and logs the name if it is newly assigned.
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
