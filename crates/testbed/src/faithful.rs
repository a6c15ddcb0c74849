//! The same days on sockets and in virtual time, seed by seed, and how far they differ.

use crate::emulated::Recipe;
use crate::experiment::measures::{self, MEASURES};
use crate::experiment::stats::{mean, paired, Mean};
use crate::parallel;
use crate::rig;
use linnetcart_conformance::check;
use linnetcart_emulator::model::Model;
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::Scenario;
use serde_json::{json, Value};
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Measures that are compared.
const COMPARED: [&str; 6] = ["served_worth", "in_aim", "refused", "calls", "calls_refused", "p50_ms"];

/// What is compared, and how.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The days, as they are played.
    pub days: Vec<Scenario>,
    /// Seeds from 1 on.
    pub seeds: u64,
    /// Days on sockets beside each other.
    pub beside: usize,
    /// The program whose `edge` command is a courier.
    pub program: PathBuf,
    /// Where couriers keep their state.
    pub dir: PathBuf,
}

/// Both sides of a run: sockets, virtual time; and the rules broken on each.
struct Both {
    sockets: Vec<f64>,
    emulated: Vec<f64>,
}

fn on_sockets(fleet: &Fleet, program: &Path, dir: &Path) -> anyhow::Result<Vec<f64>> {
    let (program, dir) = (program.to_owned(), dir.to_owned());
    let options =
        rig::Options { policy: "library".into(), program, dir: dir.clone(), graphite: None, progress: None };
    let played = rig::play(fleet, &options)?;
    let _ = std::fs::remove_dir_all(dir);
    let report = check(&played.records, &fleet.invariants(Timebase::Sockets));
    Ok(measures::of(fleet, &played, 0, &report))
}

fn emulated(day: &Scenario, seed: u64) -> anyhow::Result<Vec<f64>> {
    let recipe = Recipe { day: day.clone(), seed, policy: "library".into(), model: Model::default() };
    let (fleet, run, report) = recipe.judged()?;
    Ok(measures::of(&fleet, &run.records, run.peak_connections, &report))
}

fn at(name: &str) -> usize {
    MEASURES.iter().position(|m| m.name == name).unwrap_or(0)
}

fn figures(m: &Mean) -> Value {
    json!({"mean": m.mean, "half": m.half})
}

/// Plays all, and gives a table and the figures.
pub fn run(plan: &Plan, said: &(dyn Fn(u64, u64) + Sync)) -> anyhow::Result<(String, Value)> {
    let runs = plan.days.len() as u64 * plan.seeds;
    let all = parallel::all(plan.beside, 0..runs, &|n| {
        let (day, seed) = (&plan.days[(n / plan.seeds) as usize], 1 + n % plan.seeds);
        let fleet = Fleet::draw(day.clone(), seed);
        let sockets = on_sockets(&fleet, &plan.program, &plan.dir.join(n.to_string()))?;
        said(n + 1, runs);
        Ok(Both { sockets, emulated: emulated(day, seed)? })
    })?;
    let mut text =
        format!("{:<18}{:<15}{:>10}{:>10}{:>20}\n", "day", "measure", "sockets", "emulated", "difference");
    let mut out = Vec::new();
    let mut compare = |name: &str, both: &[Both], text: &mut String| {
        let broken = |of: fn(&Both) -> &Vec<f64>| both.iter().map(|b| of(b)[at("rules_broken")]).sum::<f64>();
        let mut fields = serde_json::Map::new();
        for measure in COMPARED {
            let n = at(measure);
            let pairs: Vec<(f64, f64)> = both.iter().map(|b| (b.sockets[n], b.emulated[n])).collect();
            let difference = paired(&pairs);
            let side = |of: fn(&(f64, f64)) -> f64| mean(&pairs.iter().map(of).collect::<Vec<_>>());
            let (sockets, emulated) = (side(|p| p.0), side(|p| p.1));
            let d = format!("{:+.4} ±{:.4}", difference.mean, difference.half);
            let (s, e) = (sockets.mean, emulated.mean);
            let _ = writeln!(text, "{name:<18}{measure:<15}{s:>10.4}{e:>10.4}{d:>20}");
            let value = json!({
                "sockets": figures(&sockets), "emulated": figures(&emulated), "difference": figures(&difference),
            });
            fields.insert(measure.into(), value);
        }
        out.push(json!({
            "day": name, "runs": both.len(), "measures": fields,
            "rules_broken": {"sockets": broken(|b| &b.sockets), "emulated": broken(|b| &b.emulated)},
        }));
    };
    for (day, both) in plan.days.iter().zip(all.chunks(plan.seeds as usize)) {
        compare(&day.name, both, &mut text);
    }
    compare("all", &all, &mut text);
    Ok((text, json!({"seeds": plan.seeds, "days": out})))
}
