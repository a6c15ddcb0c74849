//! Looks for days on which a rule breaks or the library loses most, and shrinks what it finds to what matters.
//!
//! Day number k is drawn from the hunt's seed and k alone, so a hunt finds the same with any number of threads.

use crate::emulated::Recipe;
use crate::parallel;
use crate::{baselines, report};
use linnetcart_conformance::Report;
use linnetcart_emulator::model::Model;
use linnetcart_scenario::scenario::{FaultKind, FaultSpec, Scenario};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;

/// Draws that a search for losses makes from its best days so far, at a time.
const LITTER: u64 = 32;
/// Runs that shrinking may take.
const SHRINKS: u64 = 400;
/// A loss that is kept while its day shrinks, as a part of what was found.
const LOSS_KEPT: f64 = 0.8;

/// What is looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Want {
    /// A rule that breaks.
    Rule,
    /// A day on which the best of the baselines serves more worth than the policy that is hunted.
    Loss,
}

/// A hunt.
#[derive(Clone, Debug)]
pub struct Hunt {
    /// Fleet and traffic.
    pub base: Scenario,
    /// Everything is drawn from it.
    pub seed: u64,
    /// Days that are tried at most.
    pub runs: u64,
    /// Who decides.
    pub policy: String,
    /// What is looked for.
    pub want: Want,
    /// Troubles of a day at most.
    pub troubles: usize,
    /// Only troubles that sockets can play.
    pub on_sockets: bool,
    /// Runs beside each other.
    pub threads: usize,
}

/// What was found.
#[derive(Clone, Debug)]
pub struct Found {
    /// The run that found it, counted from 1; 0 if it was given.
    pub run: u64,
    /// What is wrong, in words.
    pub what: String,
    /// The day as drawn.
    pub drawn: Recipe,
    /// The day with what matters.
    pub shrunk: Recipe,
    /// Runs that shrinking took.
    pub shrinks: u64,
}

/// How bad a day is: the rules broken, and the worth lost against the best baseline.
#[derive(Clone, Debug, PartialEq)]
struct Verdict {
    rules: Vec<&'static str>,
    loss: f64,
    example: String,
}

impl Verdict {
    fn of(report: &Report) -> Verdict {
        let broken = || report.rules.iter().filter(|f| f.broken > 0);
        let example = broken().flat_map(|f| f.examples.first()).next().cloned().unwrap_or_default();
        Verdict { rules: broken().map(|f| f.rule).collect(), loss: 0.0, example }
    }

    /// It shows the same.
    fn as_bad(&self, other: &Verdict, want: Want) -> bool {
        match want {
            Want::Rule => other.rules.first().is_some_and(|r| self.rules.contains(r)),
            Want::Loss => self.loss >= LOSS_KEPT * other.loss,
        }
    }
}

const KINDS: [FaultKind; 26] = [
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

/// A trouble, drawn: as hard as real ones are, within a day of so many seconds.
fn trouble(rng: &mut ChaCha8Rng, what: FaultKind, length: f64, classes: usize) -> FaultSpec {
    let mut within = |least: f64, most: f64| least + rng.random::<f64>() * (most - least);
    let (at, lasts, part) = (within(0.05, 0.75) * length, within(0.05, 0.4) * length, within(0.1, 0.8));
    let (size, extra) = match what {
        FaultKind::Errors => (within(0.2, 1.0), 0.0),
        FaultKind::Slow => (within(3.0, 20.0), 0.0),
        FaultKind::SharedSlow => (within(1.3, 4.0), 0.0),
        FaultKind::AnswersLost => (within(0.1, 1.0), 0.0),
        FaultKind::Throttle => (within(0.1, 0.8), 0.0),
        FaultKind::Drains => (within(0.1, 0.5), within(0.5, 3.0)),
        FaultKind::Pauses => (within(100.0, 1500.0), within(0.5, 3.0)),
        FaultKind::SuddenLoad => (within(1.3, 3.0), 0.0),
        FaultKind::HotDestinations => (within(0.1, 0.6), within(1.0, 3.9).floor()),
        FaultKind::UnevenCouriers => (within(0.3, 0.9), 0.0),
        FaultKind::CouriersKilled | FaultKind::CouriersRolled => (within(0.3, 3.0), 0.0),
        FaultKind::CouriersStall => (within(100.0, 2000.0), within(0.5, 4.0)),
        FaultKind::ListLate => (within(0.5, 4.0), 0.0),
        FaultKind::IdleDropped => (within(0.2, 2.0), 0.0),
        FaultKind::ClassFails => (within(0.3, 1.0), within(0.0, classes as f64 - 0.01).floor()),
        FaultKind::SlowConnect => (within(20.0, 900.0), 0.0),
        FaultKind::Partition => (0.0, within(0.0, 2.99).floor()),
        FaultKind::LinksCut => (within(0.05, 0.5), within(0.3, 2.0)),
        FaultKind::LinksSlow => (within(2.0, 100.0), 0.0),
        FaultKind::DiskDamaged => (within(0.3, 3.0), within(0.0, 1.0)),
        FaultKind::Shut | FaultKind::Silent | FaultKind::Vanish | FaultKind::Down | FaultKind::ListOut => {
            (0.0, 0.0)
        }
    };
    FaultSpec { what, at, lasts, part, size, extra, hard: rng.random() }
}

impl Hunt {
    fn draws(&self) -> Vec<FaultKind> {
        KINDS.iter().copied().filter(|k| !(self.on_sockets && k.emulated_only())).collect()
    }

    fn recipe(&self, day: Scenario, seed: u64) -> Recipe {
        Recipe { day, seed, policy: self.policy.clone(), model: Model::default() }
    }

    /// The day of a number: a fleet of its own, and troubles.
    fn draw(&self, number: u64) -> Recipe {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number);
        let mut day = self.base.clone();
        let kinds = self.draws();
        for _ in 0..rng.random_range(1..=self.troubles.max(1)) {
            if let Some(&what) = kinds.choose(&mut rng) {
                day.trouble.push(trouble(&mut rng, what, day.seconds, day.class.len()));
            }
        }
        self.named(&mut day, number);
        self.recipe(day, rng.random_range(1..1_000_000))
    }

    /// A day like this one: a trouble more, less or another, or another fleet.
    fn alter(&self, from: &Recipe, number: u64) -> Recipe {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) ^ number);
        let mut next = from.clone();
        let day = &mut next.day;
        let kinds = self.draws();
        let count = day.trouble.len();
        match rng.random_range(0..4) {
            0 if count > 1 => {
                day.trouble.remove(rng.random_range(0..count));
            }
            1 if count < self.troubles => {
                if let Some(&what) = kinds.choose(&mut rng) {
                    day.trouble.push(trouble(&mut rng, what, day.seconds, day.class.len()));
                }
            }
            2 => next.seed = rng.random_range(1..1_000_000),
            _ => {
                let at = rng.random_range(0..count.max(1));
                if let Some(t) = day.trouble.get_mut(at) {
                    *t = trouble(&mut rng, t.what, day.seconds, day.class.len());
                }
            }
        }
        self.named(&mut next.day, number);
        next
    }

    fn named(&self, day: &mut Scenario, number: u64) {
        day.name = format!("hunt-{}-{number}", self.seed);
        day.about = "Found by a hunt.".into();
    }

    fn judge(&self, recipe: &Recipe) -> anyhow::Result<Verdict> {
        let (report, _) = recipe.report()?;
        let mut verdict = Verdict::of(&report);
        if self.want == Want::Loss {
            for policy in baselines::NAMES.iter().filter(|n| **n != recipe.policy) {
                let (other, _) = Recipe { policy: (*policy).into(), ..recipe.clone() }.report()?;
                verdict.loss = verdict.loss.max(other.service - report.service);
            }
        }
        Ok(verdict)
    }

    /// Hunts. `said` is told how many runs are done.
    pub fn run(&self, said: &(dyn Fn(u64) + Sync)) -> anyhow::Result<Option<Found>> {
        match self.want {
            Want::Rule => self.rule(said),
            Want::Loss => self.loss(said),
        }
    }

    /// Shrinks a run that is known to break a rule.
    pub fn shrink_run(&self, drawn: Recipe) -> anyhow::Result<Option<Found>> {
        let verdict = self.judge(&drawn)?;
        let bad = match self.want {
            Want::Rule => !verdict.rules.is_empty(),
            Want::Loss => verdict.loss > 0.0,
        };
        if !bad {
            return Ok(None);
        }
        self.found(0, drawn, &verdict).map(Some)
    }

    fn found(&self, run: u64, drawn: Recipe, verdict: &Verdict) -> anyhow::Result<Found> {
        let (shrunk, shrinks) = self.shrink(&drawn, verdict)?;
        let what = match self.want {
            Want::Rule => format!("{}: {}", verdict.rules.join("; "), verdict.example),
            Want::Loss => format!("{:.3} of the worth less than the best baseline", verdict.loss),
        };
        Ok(Found { run, what, drawn, shrunk, shrinks })
    }

    fn rule(&self, said: &(dyn Fn(u64) + Sync)) -> anyhow::Result<Option<Found>> {
        let found = parallel::first(self.threads, 1..=self.runs, &|number| {
            let recipe = self.draw(number);
            let verdict = self.judge(&recipe)?;
            said(number);
            Ok((!verdict.rules.is_empty()).then_some((recipe, verdict)))
        })?;
        let Some((run, (drawn, verdict))) = found else { return Ok(None) };
        self.found(run, drawn, &verdict).map(Some)
    }

    fn loss(&self, said: &(dyn Fn(u64) + Sync)) -> anyhow::Result<Option<Found>> {
        let mut best: Option<(u64, Recipe, Verdict)> = None;
        let mut at = 1;
        while at <= self.runs {
            let until = (at + LITTER).min(self.runs + 1);
            // The first half looks everywhere, the second near the best so far.
            let near = best.clone().filter(|_| at > self.runs / 2);
            let litter = parallel::all(self.threads, at..until, &|number| {
                let recipe = match &near {
                    Some((_, from, _)) => self.alter(from, number),
                    None => self.draw(number),
                };
                let verdict = self.judge(&recipe)?;
                said(number);
                Ok((number, recipe, verdict))
            })?;
            for one in litter {
                if best.as_ref().is_none_or(|b| one.2.loss > b.2.loss) {
                    best = Some(one);
                }
            }
            at = until;
        }
        let Some((run, drawn, verdict)) = best.filter(|b| b.2.loss > 0.0) else { return Ok(None) };
        self.found(run, drawn, &verdict).map(Some)
    }

    /// Takes away what does not matter, as long as it shows the same.
    fn shrink(&self, from: &Recipe, verdict: &Verdict) -> anyhow::Result<(Recipe, u64)> {
        let mut best = from.clone();
        let mut runs = 0;
        'again: loop {
            for smaller in smaller(&best) {
                if runs >= SHRINKS {
                    return Ok((best, runs));
                }
                runs += 1;
                if smaller.day.check().is_ok() && self.judge(&smaller)?.as_bad(verdict, self.want) {
                    best = smaller;
                    continue 'again;
                }
            }
            return Ok((best, runs));
        }
    }
}

/// What is somewhat smaller, the greatest steps first.
fn smaller(from: &Recipe) -> Vec<Recipe> {
    let mut all = Vec::new();
    let mut put = |change: &dyn Fn(&mut Scenario)| {
        let mut next = from.clone();
        change(&mut next.day);
        if next != *from {
            all.push(next);
        }
    };
    let day = &from.day;
    for n in 0..day.trouble.len() {
        put(&|d| {
            d.trouble.remove(n);
        });
    }
    let end = day.trouble.iter().map(|t| t.at + t.lasts).fold(2.0, f64::max);
    put(&|d| d.seconds = d.seconds.min((end * 1.2 + 1.0).ceil()));
    put(&|d| d.couriers = (d.couriers / 2).max(1));
    put(&|d| d.traffic.clumps = 0.0);
    put(&|d| d.traffic.load = (d.traffic.load * 0.6).max(0.05));
    for n in 0..day.kind.len() {
        put(&|d| {
            if d.kind.len() > 1 {
                d.kind.remove(n);
            }
        });
        put(&|d| d.kind[n].destinations = (d.kind[n].destinations / 2).max(1));
    }
    for n in 0..day.trouble.len() {
        if day.trouble[n].lasts > 0.3 {
            put(&|d| d.trouble[n].lasts = (d.trouble[n].lasts * 5.0).round() / 10.0);
        }
        put(&|d| d.trouble[n].at = (d.trouble[n].at * 10.0).round() / 10.0);
        put(&|d| d.trouble[n].size = (d.trouble[n].size * 100.0).round() / 100.0);
        put(&|d| d.trouble[n].part = (d.trouble[n].part * 100.0).round() / 100.0);
        put(&|d| d.trouble[n].hard = false);
    }
    all
}

/// The day as a script, with what it shows and how it is played again.
pub fn script(found: &Found) -> anyhow::Result<String> {
    let r = &found.shrunk;
    let mut text = String::new();
    let _ = writeln!(text, "# {}", found.what);
    let _ = writeln!(text, "# Play it again: linnetcart-testbed emulate FILE --seed {}", r.seed);
    if r.day.emulated_only().is_empty() {
        let _ = writeln!(text, "# On sockets:    linnetcart-testbed day FILE --seed {}", r.seed);
    }
    text.push_str(&toml::to_string(&r.day)?);
    Ok(text)
}

/// What was found, in words.
pub fn words(found: &Found) -> anyhow::Result<String> {
    let mut text = String::new();
    let _ = writeln!(text, "run {}: {}", found.run, found.what);
    let (was, is) = (&found.drawn.day, &found.shrunk.day);
    let _ = writeln!(
        text,
        "shrunk in {} runs: troubles {} -> {}, seconds {:.0} -> {:.0}, couriers {} -> {}",
        found.shrinks,
        was.trouble.len(),
        is.trouble.len(),
        was.seconds,
        is.seconds,
        was.couriers,
        is.couriers
    );
    for t in &is.trouble {
        let _ = writeln!(
            text,
            "  {:?} at {:.1} s for {:.1} s, part {:.2}, size {:.2}, extra {:.2}{}",
            t.what,
            t.at,
            t.lasts,
            t.part,
            t.size,
            t.extra,
            if t.hard { ", hard" } else { "" }
        );
    }
    let (report, _) = found.shrunk.report()?;
    text.push('\n');
    text.push_str(&report::table(&report));
    Ok(text)
}
