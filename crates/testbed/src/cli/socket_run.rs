//! `day`: runs a scenario on sockets and checks the six rules on the recorded traffic.

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
    /// Name of a built-in scenario, or path of a scenario script
    #[arg(required_unless_present = "bench", value_name = "DAY")]
    name: Option<String>,
    /// Scenario file of the bench; its faults are injected into the fleet of a built-in scenario
    #[arg(long, value_name = "FILE", conflicts_with = "name")]
    bench: Option<PathBuf>,
    /// Seed of the random numbers of fleet, traffic and decisions
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Speed-up factor: the scenario's durations are divided and its rates multiplied by it
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Number of couriers; replaces the scenario's
    #[arg(long)]
    couriers: Option<u32>,
    /// Also run the baseline policies with the same seed, and compare
    #[arg(long)]
    baselines: bool,
    /// Write the reports of the checks as JSON to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Keep the couriers' state and logs in this folder, in a subfolder for each policy
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Record every decision cycle of every courier in this folder
    #[arg(long, value_name = "DIR")]
    record: Option<PathBuf>,
    /// Have the couriers send their metrics to this Graphite receiver every second, such as `tail --graphite`
    #[arg(long, value_name = "ADDR")]
    graphite: Option<SocketAddr>,
    /// Do not show the progress line
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
    let library = &reports[0].report;
    print_verdict(library);
    Ok(Outcome::of_report(library))
}

fn find_scenario(args: &Args) -> anyhow::Result<Scenario> {
    match (&args.bench, &args.name) {
        (Some(file), _) => read_bench_scenario(file),
        (None, Some(name)) => Ok(Scenario::find(name)?),
        (None, None) => bail!("give DAY or --bench"),
    }
}

fn read_bench_scenario(file: &Path) -> anyhow::Result<Scenario> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let converted = bench_scenario::convert(&text).with_context(|| file.display().to_string())?;
    for fault in converted.unsupported {
        eprintln!("fault left out: {fault}");
    }
    Ok(converted.scenario)
}

fn ensure_runs_on_sockets(scenario: &Scenario) -> anyhow::Result<()> {
    if scenario.couriers > MAX_COURIERS_ON_SOCKETS {
        let couriers = scenario.couriers;
        bail!("{couriers} couriers: at most {MAX_COURIERS_ON_SOCKETS} run on sockets; use `emulate`");
    }
    let unsupported = scenario.emulated_only();
    if !unsupported.is_empty() {
        bail!("faults that cannot be injected on sockets: {unsupported:?}; use `emulate`");
    }
    Ok(())
}

/// Runs the fleet with a policy and checks the recorded traffic. The report is printed for the library only.
fn run_policy(args: &Args, fleet: &Fleet, policy: &str) -> anyhow::Result<Report> {
    let folder = match &args.keep {
        Some(folder) => WorkFolder::persistent(folder.join(policy))?,
        None => WorkFolder::temporary()?,
    };
    let shows_progress = !args.quiet && std::io::stderr().is_terminal();
    let options = StackOptions {
        policy: policy_argument(args, policy),
        graphite: args.graphite,
        progress: shows_progress.then_some(print_progress),
        ..StackOptions::new(this_program()?, folder.path.clone())
    };
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

/// The value of the couriers' `--policy`. With `--record`, the library is replaced by the recording policy.
fn policy_argument(args: &Args, policy: &str) -> String {
    match &args.record {
        Some(folder) if policy == LIBRARY => {
            format!("{}{}", decision_record::POLICY_PREFIX, folder.display())
        }
        _ => policy.into(),
    }
}

fn print_progress(progress: socket_run::Progress) {
    let socket_run::Progress { seconds, of_seconds, open_messages } = progress;
    eprint!("\r{seconds:>5.0} of {of_seconds:.0} s, {open_messages} open messages   ");
}
