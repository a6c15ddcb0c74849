//! The courier's classes: their names in series, and the priority weights and latencies of their messages.

use crate::latency::LatencyRecorder;
use crate::names::SeriesNames;
use crate::{CourierInfo, NamedClass};
use linnetcart::{Class, Time};

/// Weights are counted in thousandths, because counts are integers.
const THOUSANDTHS: f64 = 1000.0;

/// All classes, indexed by their number in the settings.
#[derive(Debug)]
pub(crate) struct ClassTable {
    classes: Vec<ClassEntry>,
    /// See [`CourierInfo::weight_halves`].
    weight_halves: bool,
}

#[derive(Debug)]
struct ClassEntry {
    /// Name in the settings.
    name: String,
    /// Name in series, safe for paths.
    series_name: String,
    class: Class,
    /// Latencies, from acceptance to final answer, of the messages served since the last report.
    latency: LatencyRecorder,
}

impl ClassTable {
    pub(crate) fn new(courier: &CourierInfo) -> ClassTable {
        let mut series_names = SeriesNames::new(courier.classes.len() + 1);
        let mut classes = Vec::with_capacity(courier.classes.len());
        for (number, NamedClass { name, class }) in courier.classes.iter().enumerate() {
            classes.push(ClassEntry {
                name: name.clone(),
                series_name: series_names.assign(Some(name), number as u32).name,
                class: class.clone(),
                latency: LatencyRecorder::default(),
            });
        }
        ClassTable { classes, weight_halves: courier.weight_halves }
    }

    pub(crate) fn len(&self) -> usize {
        self.classes.len()
    }

    /// Returns the names in the settings, under which counts are saved, in the order of class numbers.
    pub(crate) fn names(&self) -> Vec<String> {
        self.classes.iter().map(|entry| entry.name.clone()).collect()
    }

    /// Returns the name of a class in series; `None` for a number without a class.
    pub(crate) fn series_name(&self, class: usize) -> Option<&str> {
        self.classes.get(class).map(|entry| entry.series_name.as_str())
    }

    /// Returns the full priority weight of a message of the class, in thousandths; 0 for a number without a
    /// class.
    pub(crate) fn weight_milli(&self, class: u8) -> u64 {
        self.weight_milli_after(class, 0)
    }

    /// Returns the priority weight, in thousandths, of a message served `elapsed` nanoseconds after it was
    /// accepted: between 0 and the full weight, see [`Class::weight_at`]; 0 for a number without a class.
    pub(crate) fn weight_milli_after(&self, class: u8, elapsed: Time) -> u64 {
        let Some(ClassEntry { class, .. }) = self.classes.get(usize::from(class)) else { return 0 };
        let weight = class.weight_at(elapsed, self.weight_halves);
        (weight.clamp(0.0, class.priority_weight) * THOUSANDTHS).round() as u64
    }

    /// Whether a message served `elapsed` nanoseconds after it was accepted met the latency objective of the
    /// class; false for a number without a class.
    pub(crate) fn is_within_objective(&self, class: u8, elapsed: Time) -> bool {
        self.classes.get(usize::from(class)).is_some_and(|entry| elapsed <= entry.class.latency_objective)
    }

    /// Records the latency of a served message: `elapsed` nanoseconds from acceptance to final answer.
    pub(crate) fn record_latency(&mut self, class: u8, elapsed: Time) {
        if let Some(entry) = self.classes.get_mut(usize::from(class)) {
            entry.latency.record(elapsed);
        }
    }

    pub(crate) fn latency_mut(&mut self, class: usize) -> Option<&mut LatencyRecorder> {
        self.classes.get_mut(class).map(|entry| &mut entry.latency)
    }
}
