//! Results grouped by cell of the factorial design, their means, and the paired differences between cells.

use super::intervals::{mean, paired_difference, Mean};
use super::measures::{Measure, MEASURES};
use super::plan::{Compare, Plan};
use super::results::Row;
use std::collections::BTreeMap;

/// The results of an experiment by cell. A cell is one combination of the factors' levels; it has one result
/// for each seed that has been run.
pub struct Cells<'a> {
    pub(super) plan: &'a Plan,
    by_cell: BTreeMap<u64, Vec<&'a Row>>,
}

/// A measure that the plan's tables and charts show.
#[derive(Clone, Copy)]
pub(super) struct ShownMeasure {
    /// The index of the measure in [`MEASURES`] and in a row's values.
    pub(super) index: usize,
    pub(super) measure: &'static Measure,
}

/// A cell compared with its base cell, which has the base level of the compared factor and the same levels of
/// all others.
pub(super) struct Comparison {
    pub(super) cell: u64,
    /// The index of the measure in [`MEASURES`].
    pub(super) measure: usize,
    /// The mean of the measure over the seeds of the base cell.
    pub(super) base: f64,
    /// The mean of `value - base value` over the seeds with which both cells have been run.
    pub(super) difference: Mean,
}

/// The factor that a plan compares, and its base level, both as indices into the plan.
struct ComparedFactor {
    index: usize,
    base_level: usize,
}

/// Measures that the plan shows, in the order of its `show`. Unknown names are skipped; a parsed plan has no
/// unknown names.
pub(super) fn shown_measures(plan: &Plan) -> Vec<ShownMeasure> {
    let find = |name: &String| {
        let index = MEASURES.iter().position(|measure| measure.name == name)?;
        Some(ShownMeasure { index, measure: &MEASURES[index] })
    };
    plan.show.iter().filter_map(find).collect()
}

fn compared_factor(plan: &Plan) -> Option<ComparedFactor> {
    let Compare { factor: name, base } = plan.compare.as_ref()?;
    let index = plan.factor.iter().position(|factor| factor.name == *name)?;
    let base_level = plan.factor[index].levels.iter().position(|level| level == base)?;
    Some(ComparedFactor { index, base_level })
}

impl<'a> Cells<'a> {
    /// Groups results by cell.
    pub fn new(plan: &'a Plan, rows: &'a [Row]) -> Cells<'a> {
        let mut by_cell: BTreeMap<u64, Vec<&Row>> = BTreeMap::new();
        for row in rows {
            by_cell.entry(plan.run(row.run).cell).or_default().push(row);
        }
        Cells { plan, by_cell }
    }

    /// The mean of a measure over the seeds of a cell.
    pub(super) fn mean(&self, cell: u64, measure: usize) -> Mean {
        let rows = self.by_cell.get(&cell).into_iter().flatten();
        let values: Vec<f64> = rows.map(|row| row.values[measure]).collect();
        mean(&values)
    }

    /// The numbers of the cells that have results, in ascending order.
    pub(super) fn cells(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_cell.keys().copied()
    }

    /// Number of results of a cell.
    pub(super) fn run_count(&self, cell: u64) -> usize {
        self.by_cell.get(&cell).map_or(0, Vec::len)
    }

    /// Number of results over all cells.
    pub(super) fn total_run_count(&self) -> usize {
        self.by_cell.values().map(Vec::len).sum()
    }

    /// Compares each cell with its base cell, paired by seed, for every shown measure. Sorted by measure,
    /// then by cell. Cells whose base cell has no results are left out.
    pub(super) fn comparisons(&self) -> Vec<Comparison> {
        let Some(compared) = compared_factor(self.plan) else { return Vec::new() };
        let by_levels: BTreeMap<Vec<usize>, u64> =
            self.cells().map(|cell| (self.plan.level_indices(cell), cell)).collect();
        let mut comparisons = Vec::new();
        for (levels, &cell) in &by_levels {
            if levels[compared.index] == compared.base_level {
                continue;
            }
            let mut base_levels = levels.clone();
            base_levels[compared.index] = compared.base_level;
            if let Some(&base_cell) = by_levels.get(&base_levels) {
                let shown = shown_measures(self.plan).into_iter();
                comparisons.extend(shown.map(|shown| self.compare(cell, base_cell, shown.index)));
            }
        }
        comparisons.sort_by_key(|comparison| (comparison.measure, comparison.cell));
        comparisons
    }

    fn compare(&self, cell: u64, base_cell: u64, measure: usize) -> Comparison {
        let base_by_seed: BTreeMap<u64, f64> =
            self.by_cell[&base_cell].iter().map(|row| (row.seed, row.values[measure])).collect();
        let mut base_values = Vec::new();
        let mut values = Vec::new();
        for row in &self.by_cell[&cell] {
            if let Some(&base) = base_by_seed.get(&row.seed) {
                base_values.push(base);
                values.push(row.values[measure]);
            }
        }
        let difference = paired_difference(&base_values, &values);
        Comparison { cell, measure, base: self.mean(base_cell, measure).mean, difference }
    }
}
