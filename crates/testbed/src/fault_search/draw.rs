//! Random generation of scenarios: the base scenario with random faults added, or a scenario that was drawn
//! before with one random change (a mutation).

use super::FaultSearch;
use crate::emulated_run::Recipe;
use linnetcart_scenario::scenario::{FaultKind, FaultSpec, Scenario};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Factor of the seed of a search (2^64 / golden ratio, as in Fibonacci hashing). The generator of a run is
/// seeded with `seed * factor ^ run`; without the factor, run 2 of seed 1 would equal run 1 of seed 2.
const DRAW_SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// As [`DRAW_SEED_FACTOR`], for mutations; the multiplier of xorshift64*.
const MUTATION_SEED_FACTOR: u64 = 0x2545_f491_4f6c_dd1d;
/// The range that the seed of a run's recipe is drawn from.
const RUN_SEEDS: Range<u64> = 1..1_000_000;

/// All kinds of fault. Their order determines what a seed draws.
const FAULT_KINDS: [FaultKind; 26] = [
    FaultKind::Errors,
    FaultKind::Shut,
    FaultKind::Silent,
    FaultKind::Slow,
    FaultKind::SharedSlow,
    FaultKind::AnswersLost,
    FaultKind::Throttle,
    FaultKind::Drains,
    FaultKind::Vanish,
    FaultKind::Down,
    FaultKind::Pauses,
    FaultKind::SuddenLoad,
    FaultKind::HotDestinations,
    FaultKind::UnevenCouriers,
    FaultKind::CouriersKilled,
    FaultKind::CouriersRolled,
    FaultKind::CouriersStall,
    FaultKind::ListLate,
    FaultKind::ListOut,
    FaultKind::IdleDropped,
    FaultKind::ClassFails,
    FaultKind::SlowConnect,
    FaultKind::Partition,
    FaultKind::LinksCut,
    FaultKind::LinksSlow,
    FaultKind::DiskDamaged,
];

/// `size` and `extra` of a fault; the meaning and the unit of both depend on the kind, see [`FaultKind`].
struct Strength {
    size: f64,
    extra: f64,
}

impl Strength {
    const NONE: Strength = Strength { size: 0.0, extra: 0.0 };

    fn of_size(size: f64) -> Strength {
        Strength { size, extra: 0.0 }
    }
}

/// Draws a number uniformly from `low` to `high`.
fn between(rng: &mut ChaCha8Rng, low: f64, high: f64) -> f64 {
    low + rng.random::<f64>() * (high - low)
}

/// Draws a fault of a kind. It begins at 5 % to 75 % of the scenario's duration and lasts 5 % to 40 % of it.
fn draw_fault(rng: &mut ChaCha8Rng, kind: FaultKind, scenario: &Scenario) -> FaultSpec {
    let at = between(rng, 0.05, 0.75) * scenario.seconds;
    let lasts = between(rng, 0.05, 0.4) * scenario.seconds;
    let part = between(rng, 0.1, 0.8);
    let Strength { size, extra } = draw_strength(rng, kind, scenario.class.len());
    FaultSpec { what: kind, at, lasts, part, size, extra, hard: rng.random() }
}

/// Draws the strength of a fault from the range of its kind: the size first, then the extra figure.
fn draw_strength(rng: &mut ChaCha8Rng, kind: FaultKind, classes: usize) -> Strength {
    let mut draw = |low: f64, high: f64| between(rng, low, high);
    match kind {
        FaultKind::Errors => Strength::of_size(draw(0.2, 1.0)),
        FaultKind::Slow => Strength::of_size(draw(3.0, 20.0)),
        FaultKind::SharedSlow => Strength::of_size(draw(1.3, 4.0)),
        FaultKind::AnswersLost => Strength::of_size(draw(0.1, 1.0)),
        FaultKind::Throttle => Strength::of_size(draw(0.1, 0.8)),
        FaultKind::Drains => Strength { size: draw(0.1, 0.5), extra: draw(0.5, 3.0) },
        FaultKind::Pauses => Strength { size: draw(100.0, 1500.0), extra: draw(0.5, 3.0) },
        FaultKind::SuddenLoad => Strength::of_size(draw(1.3, 3.0)),
        FaultKind::HotDestinations => Strength { size: draw(0.1, 0.6), extra: draw(1.0, 3.9).floor() },
        FaultKind::UnevenCouriers => Strength::of_size(draw(0.3, 0.9)),
        FaultKind::CouriersKilled | FaultKind::CouriersRolled => Strength::of_size(draw(0.3, 3.0)),
        FaultKind::CouriersStall => Strength { size: draw(100.0, 2000.0), extra: draw(0.5, 4.0) },
        FaultKind::ListLate => Strength::of_size(draw(0.5, 4.0)),
        FaultKind::IdleDropped => Strength::of_size(draw(0.2, 2.0)),
        FaultKind::ClassFails => {
            Strength { size: draw(0.3, 1.0), extra: draw(0.0, classes as f64 - 0.01).floor() }
        }
        FaultKind::SlowConnect => Strength::of_size(draw(20.0, 900.0)),
        FaultKind::Partition => Strength { size: 0.0, extra: draw(0.0, 2.99).floor() },
        FaultKind::LinksCut => Strength { size: draw(0.05, 0.5), extra: draw(0.3, 2.0) },
        FaultKind::LinksSlow => Strength::of_size(draw(2.0, 100.0)),
        FaultKind::DiskDamaged => Strength { size: draw(0.3, 3.0), extra: draw(0.0, 1.0) },
        FaultKind::Shut | FaultKind::Silent | FaultKind::Vanish | FaultKind::Down | FaultKind::ListOut => {
            Strength::NONE
        }
    }
}

impl FaultSearch {
    /// Returns the kinds of fault that this search may draw.
    fn kinds(&self) -> Vec<FaultKind> {
        let allowed = |kind: &FaultKind| !self.sockets_only || !kind.emulated_only();
        FAULT_KINDS.into_iter().filter(allowed).collect()
    }

    /// Draws the recipe of a run: one or more faults added to the base scenario, and a seed.
    pub(super) fn draw(&self, run: u64) -> Recipe {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(DRAW_SEED_FACTOR) ^ run);
        let mut scenario = self.base.clone();
        let faults = rng.random_range(1..=self.max_faults.max(1));
        for _ in 0..faults {
            self.add_fault(&mut rng, &mut scenario);
        }
        self.name(&mut scenario, run);
        let mut recipe = Recipe::new(scenario, rng.random_range(RUN_SEEDS));
        recipe.policy = self.policy.clone();
        recipe
    }

    /// Mutates a recipe: removes, adds or redraws one fault, or redraws the seed.
    pub(super) fn mutate(&self, parent: &Recipe, run: u64) -> Recipe {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(MUTATION_SEED_FACTOR) ^ run);
        let mut recipe = parent.clone();
        let faults = recipe.scenario.faults.len();
        match rng.random_range(0..4) {
            0 if faults > 1 => {
                recipe.scenario.faults.remove(rng.random_range(0..faults));
            }
            1 if faults < self.max_faults => self.add_fault(&mut rng, &mut recipe.scenario),
            2 => recipe.seed = rng.random_range(RUN_SEEDS),
            _ => redraw_fault(&mut rng, &mut recipe.scenario),
        }
        self.name(&mut recipe.scenario, run);
        recipe
    }

    /// Adds a fault of a random kind.
    fn add_fault(&self, rng: &mut ChaCha8Rng, scenario: &mut Scenario) {
        if let Some(&kind) = self.kinds().choose(rng) {
            let fault = draw_fault(rng, kind, scenario);
            scenario.faults.push(fault);
        }
    }

    /// Names a scenario after the search and the run that drew it.
    fn name(&self, scenario: &mut Scenario, run: u64) {
        scenario.name = format!("hunt-{}-{run}", self.seed);
        scenario.about = "Found by a hunt.".into();
    }
}

/// Replaces a random fault by another one of the same kind.
fn redraw_fault(rng: &mut ChaCha8Rng, scenario: &mut Scenario) {
    let index = rng.random_range(0..scenario.faults.len().max(1));
    if let Some(kind) = scenario.faults.get(index).map(|fault| fault.what) {
        scenario.faults[index] = draw_fault(rng, kind, scenario);
    }
}
