//! Names of destinations in series.

use crate::counts::{encode_entry, AssignedSeriesName, CounterLogEntry};
use crate::names::{AssignedName, SeriesNames};
use crate::Output;
use std::collections::BTreeMap;

/// Names of destinations in series: those of the settings, where they are free.
#[derive(Debug)]
pub(crate) struct DestinationNames {
    assigned: SeriesNames,
    configured: BTreeMap<u32, String>,
}

impl DestinationNames {
    /// Continues with the names that were assigned in an earlier run.
    pub(crate) fn new(assigned: SeriesNames) -> DestinationNames {
        DestinationNames { assigned, configured: BTreeMap::new() }
    }

    /// All names with the destinations that they belong to.
    pub(crate) fn owners(&self) -> &BTreeMap<String, u32> {
        self.assigned.owners()
    }

    /// The names that the settings have from now on.
    pub(crate) fn configure(&mut self, names: &BTreeMap<u32, String>) {
        self.configured.clone_from(names);
    }

    /// A destination's name; logged when it is newly assigned.
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
