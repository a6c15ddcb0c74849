//! `day`: a scenario on sockets, checked from what went over them.

use super::common::{
    print_overloads, print_verdict, this_program, write_json, Outcome, WorkFolder, MAX_COURIERS_ON_SOCKETS,
};
use crate::run_report::{self, PolicyReport};
use crate::socket_run::{self, StackOptions};
use crate::{baselines, bench_scenario, decision_record};
use anyhow::{bail, Context};
use linnetcart_conformance::{check, Report};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::Scenario;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const LIBRARY: &str = baselines::NAMES[0];

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// A built-in scenario, or a script's file
    #[arg(required_unless_present = "bench", value_name = "DAY")]
    name: Option<String>,
    /// A day as the bench draws them; its faults are caused on a fleet of the testbed's own
    #[arg(long, value_name = "FILE", conflicts_with = "name")]
    bench: Option<PathBuf>,
    /// Seed of fleet, traffic and decisions
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run it so many times as fast: spans shrink, rates grow
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Couriers, if not as many as the scenario says
    #[arg(long)]
    couriers: Option<u32>,
    /// Run it with the baselines too, on the same seed, and compare
    #[arg(long)]
    baselines: bool,
    /// Write the figures to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Keep the couriers' state and logs here
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Record every decision cycle of every courier here
    #[arg(long, value_name = "DIR")]
    record: Option<PathBuf>,
    /// Couriers report to this Graphite receiver each second; `tail --graphite` is one
    #[arg(long, value_name = "ADDR")]
    graphite: Option<SocketAddr>,
    /// No progress line
    #[arg(long)]
    quiet: bool,
}

pub(super) fn run(args: &Args) -> anyhow::Result<Outcome> {
    let scenario = find_scenario(args)?.with(args.couriers, args.speed)?;
    ensure_runs_on_sockets(&scenario)?;
    let name = scenario.name.clone();
    let fleet = Fleet::draw(scenario, args.seed);
    println!("{name}, seed {}: {}", args.seed, fleet.about());
    let policies: &[&str] = if args.baselines { &baselines::NAMES } else { &[LIBRARY] };
    let mut reports = Vec::new();
    for policy in policies {
        let report = run_policy(args, &fleet, policy)?;
        reports.push(PolicyReport { policy: (*policy).to_owned(), report });
    }
    if reports.len() > 1 {
        println!("\n{}", run_report::comparison(&reports));
    }
    write_json(args.json.as_deref(), &run_report::json(&name, args.seed, &reports))?;
    let library = &reports[0];
    let rules_kept = library.report.is_conformant();
    print_verdict(rules_kept);
    Ok(Outcome::of_check(rules_kept))
}

fn find_scenario(args: &Args) -> anyhow::Result<Scenario> {
    match (&args.bench, &args.name) {
        (Some(file), _) => read_bench_scenario(file),
        (None, Some(name)) => Ok(Scenario::find(name)?),
        (None, None) => bail!("a day's name or --bench is wanted"),
    }
}

fn read_bench_scenario(file: &Path) -> anyhow::Result<Scenario> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let converted = bench_scenario::convert(&text).with_context(|| file.display().to_string())?;
    for fault in converted.unsupported {
        eprintln!("not played: {fault}");
    }
    Ok(converted.scenario)
}

fn ensure_runs_on_sockets(scenario: &Scenario) -> anyhow::Result<()> {
    if scenario.couriers > MAX_COURIERS_ON_SOCKETS {
        let couriers = scenario.couriers;
        bail!("{couriers} couriers: at most {MAX_COURIERS_ON_SOCKETS} on sockets; `emulate` plays more");
    }
    let unsupported = scenario.emulated_only();
    if !unsupported.is_empty() {
        bail!("sockets of one machine cannot play {unsupported:?}; `emulate` does");
    }
    Ok(())
}

fn run_policy(args: &Args, fleet: &Fleet, policy: &str) -> anyhow::Result<Report> {
    let folder = match &args.keep {
        Some(folder) => WorkFolder::kept(folder.join(policy))?,
        None => WorkFolder::temporary()?,
    };
    let mut options = StackOptions::new(this_program()?, folder.path.clone());
    options.policy = match &args.record {
        Some(records) if policy == LIBRARY => {
            format!("{}{}", decision_record::POLICY_PREFIX, records.display())
        }
        _ => policy.into(),
    };
    options.graphite = args.graphite;
    let shows_progress = !args.quiet && std::io::stderr().is_terminal();
    if shows_progress {
        options.progress = Some(print_progress);
    }
    let records = socket_run::run(fleet, &options)?;
    if shows_progress {
        eprintln!();
    }
    let report = check(&records.records, &fleet.invariants(Timebase::Sockets));
    if policy == LIBRARY {
        println!("\n{}", run_report::table(&report));
        print_overloads(&records);
    }
    Ok(report)
}

fn print_progress(progress: socket_run::Progress) {
    let socket_run::Progress { seconds, of_seconds, open_messages } = progress;
    eprint!("\r{seconds:>5.0} of {of_seconds:.0} s, {open_messages} messages open   ");
}
