//! The command line of `linnetcart-testbed`.

use crate::baselines;
use crate::emulated::{trace, Recipe};
use crate::experiment;
use crate::experiment::plan::{set, setting, Plan};
use crate::faithful;
use crate::floor::Parts;
use crate::hunt::{self, Hunt, Want};
use crate::receivers::Where;
use crate::rig::{self, Options};
use crate::tail::Tail;
use crate::{bench, record, report};
use anyhow::{anyhow, bail, Context};
use clap::{Parser, Subcommand};
use linnetcart_conformance::{check, Report};
use linnetcart_edge::cli::Args as EdgeArgs;
use linnetcart_emulator::model::Model;
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::{BuiltInScenario, Scenario, BUILT_IN};
use linnetcart_telemetry::settings::Require;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Rounds of a case at a time when the cost of decisions is measured.
const DECISION_ROUNDS: u64 = 400;
/// Couriers in processes of their own at most.
const ON_SOCKETS: u32 = 64;

/// Brings up local stacks of linnetcart, plays scripted days on real sockets and measures.
///
/// Everything stays on loopback, on ports that the system chooses.
///
/// Exit codes: 0 done and every rule kept; 1 a rule was broken, or something failed; 2 the command line is wrong.
#[derive(Debug, Parser)]
#[command(name = "linnetcart-testbed", version)]
pub struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// Start couriers and stand-ins, print one line of JSON when all is ready, stay until a signal
    Up {
        /// The day whose fleet is brought up
        #[arg(long, default_value = "quiet")]
        day: String,
        /// Seed of the fleet
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play a scripted day on sockets and check the six rules from what went over them
    Day(DayArgs),
    /// Play a scripted day in virtual time, with as many couriers as it takes, and check the six rules
    Emulate(EmulateArgs),
    /// Play days on sockets and in virtual time, seed by seed, and say how far they differ
    Faithful(FaithfulArgs),
    /// Run a grid of factors in virtual time and report what it shows
    Experiment(ExperimentArgs),
    /// Look for days in virtual time on which a rule breaks or most is lost, and shrink them to what matters
    Hunt(HuntArgs),
    /// Tell the life of one message of a run in virtual time, every attempt with why
    Trace {
        /// The run's recipe, as `emulate --recipe` writes it
        run: PathBuf,
        /// The message's number
        message: u64,
    },
    /// Measure what a message costs: an edge beside a relay that decides nothing
    Floor {
        /// Seconds of each stretch
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        /// Stretches of edge and relay in turn; medians are given
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Only this part: beside, destinations, held, connections or telemetry
        #[arg(long)]
        part: Option<String>,
        /// Numbers of held messages
        #[arg(long, value_delimiter = ',', default_values_t = [10, 1000, 10_000])]
        held: Vec<usize>,
        /// Numbers of destinations
        #[arg(long, value_delimiter = ',', default_values_t = [1, 10, 100, 1000])]
        destinations: Vec<usize>,
        /// Only what a decision costs, of the library alone and in virtual time
        #[arg(long, conflicts_with_all = ["part", "seconds"])]
        decisions: bool,
        /// Only what reports cost, of the reporting alone and in virtual time
        #[arg(long, conflicts_with_all = ["part", "seconds", "decisions"])]
        reports: bool,
        /// Write the figures to this file
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Draw charts and a table from what `day --json`, `floor --json` and `tail --record` wrote
    Report {
        /// Their files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Where the charts and the table go
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Put recorded rounds to the decision library and compare what it decides, byte for byte
    Replay {
        /// Records, as `day --record` writes them
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Take reports in as Graphite or collectd would, and show them live
    Tail(TailArgs),
    /// List the built-in days
    Days,
    /// Relay and decide nothing; `floor` starts it
    #[command(hide = true)]
    Relay {
        /// Endpoints, by partition
        endpoints: Vec<std::net::SocketAddr>,
    },
    /// Run a courier; days start theirs with this
    #[command(hide = true)]
    Edge {
        /// Who decides
        #[arg(long, default_value = "library")]
        policy: String,
        #[command(flatten)]
        edge: EdgeArgs,
    },
}

#[derive(Debug, clap::Args)]
struct TailArgs {
    /// Listen for Graphite's forms here; port 0 lets the system choose
    #[arg(long, value_name = "ADDR")]
    graphite: Option<std::net::SocketAddr>,
    /// Listen for collectd's packets here
    #[arg(long, value_name = "ADDR")]
    collectd: Option<std::net::SocketAddr>,
    /// A user of collectd's and the key; packets must be secured then
    #[arg(long, value_name = "USER:KEY", requires = "collectd", value_parser = user_key)]
    user: Vec<(String, String)>,
    /// Write each point to this file, a plaintext line each; `report` draws charts from it
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// End after so many seconds
    #[arg(long)]
    seconds: Option<f64>,
}

fn user_key(text: &str) -> Result<(String, String), String> {
    let (user, key) = text.split_once(':').ok_or("USER:KEY is expected")?;
    Ok((user.to_owned(), key.to_owned()))
}

#[derive(Debug, clap::Args)]
struct EmulateArgs {
    /// A built-in day, or a script's file
    #[arg(value_name = "DAY")]
    name: String,
    /// Seed of fleet, traffic, network and decisions
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Play it so many times as fast: spans shrink, rates grow
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Couriers, if not as many as the day says
    #[arg(long)]
    couriers: Option<u32>,
    /// Who decides
    #[arg(long, default_value = "library")]
    policy: String,
    /// Set a factor as an experiment's plan does: destinations=10, traffic.load=0.9, trouble=none
    #[arg(long = "set", value_name = "NAME=LEVEL", value_parser = setting)]
    set: Vec<(String, toml::Value)>,
    /// Write the figures to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write down what the run is drawn from; `trace` and `hunt --replay` read it
    #[arg(long, value_name = "FILE")]
    recipe: Option<PathBuf>,
}

#[derive(Debug, clap::Args)]
struct FaithfulArgs {
    /// Built-in days or scripts' files
    #[arg(required = true)]
    days: Vec<String>,
    /// Seeds of each, from 1 on
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Play them so many times as fast
    #[arg(long, default_value_t = 3.0)]
    speed: f64,
    /// Days on sockets beside each other
    #[arg(long, default_value_t = 1)]
    beside: usize,
    /// Write the figures to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

#[derive(Debug, clap::Args)]
struct ExperimentArgs {
    /// The plan, TOML
    plan: PathBuf,
    /// Where results, charts and the report go; what is there of the same plan and commit is gone on with
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
    /// Runs beside each other; as many as there are cores if not given
    #[arg(long)]
    threads: Option<usize>,
    /// End after so many runs; the same command goes on with the rest
    #[arg(long)]
    at_most: Option<u64>,
}

#[derive(Debug, clap::Args)]
struct HuntArgs {
    /// The day whose fleet and traffic are played, its own troubles included
    #[arg(long, default_value = "quiet")]
    day: String,
    /// Couriers, if not as many as the day says
    #[arg(long)]
    couriers: Option<u32>,
    /// Play it so many times as fast
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Seed of the hunt
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Days tried at most
    #[arg(long, default_value_t = 1000)]
    runs: u64,
    /// Troubles of a day at most
    #[arg(long, default_value_t = 5)]
    troubles: usize,
    /// Who decides
    #[arg(long, default_value = "library")]
    policy: String,
    /// Look for the day on which most is lost against the best baseline, not for broken rules
    #[arg(long)]
    loss: bool,
    /// Only troubles that sockets can play
    #[arg(long)]
    on_sockets: bool,
    /// Do not search: shrink this recipe's day
    #[arg(long, value_name = "FILE")]
    shrink: Option<PathBuf>,
    /// Runs beside each other; as many as there are cores if not given
    #[arg(long)]
    threads: Option<usize>,
    /// Write the day found as a script
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write its recipe, for `trace`
    #[arg(long, value_name = "FILE")]
    recipe: Option<PathBuf>,
}

#[derive(Debug, clap::Args)]
struct DayArgs {
    /// A built-in day, or a script's file
    #[arg(required_unless_present = "bench", value_name = "DAY")]
    name: Option<String>,
    /// A day as the bench draws them; its troubles are played on a fleet of the lab's own
    #[arg(long, value_name = "FILE", conflicts_with = "name")]
    bench: Option<PathBuf>,
    /// Seed of fleet, traffic and decisions
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Play it so many times as fast: spans shrink, rates grow
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Couriers, if not as many as the day says
    #[arg(long)]
    couriers: Option<u32>,
    /// Play it with the baselines too, on the same seed, and compare
    #[arg(long)]
    baselines: bool,
    /// Write the figures to this file
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Keep the couriers' state and logs here
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Write down every round of every courier's decisions here
    #[arg(long, value_name = "DIR")]
    record: Option<PathBuf>,
    /// Couriers report to this Graphite receiver each second; `tail --graphite` is one
    #[arg(long, value_name = "ADDR")]
    graphite: Option<std::net::SocketAddr>,
    /// No progress line
    #[arg(long)]
    quiet: bool,
}

/// Runs the program.
pub fn run(args: Args) -> ExitCode {
    let done = match args.what {
        What::Up { day, seed } => up(&day, seed).map(|()| true),
        What::Day(args) => day(&args),
        What::Emulate(args) => emulate(&args),
        What::Faithful(args) => faithful(&args).map(|()| true),
        What::Experiment(args) => experiment(&args),
        What::Hunt(args) => hunt(&args),
        What::Trace { run, message } => Recipe::read(&run).and_then(|r| trace(&r, message)).map(|text| {
            print!("{text}");
            true
        }),
        What::Report { files, out } => crate::charts::report(&files, &out).map(|()| true),
        What::Tail(args) => tail(args),
        What::Replay { files } => replay(&files).map(|()| true),
        What::Days => {
            for BuiltInScenario { name, text } in BUILT_IN {
                let about = Scenario::parse(text).map(|d| d.about).unwrap_or_default();
                println!("{name:<18}{about}");
            }
            Ok(true)
        }
        What::Floor { rounds, .. } if !(1..=100).contains(&rounds) => Err(anyhow!("--rounds: 1 to 100")),
        What::Floor { rounds, decisions: true, json, .. } => {
            let figures = crate::decisions::run(DECISION_ROUNDS, rounds);
            println!("{figures:#}");
            write_json(json.as_deref(), &figures).map(|()| true)
        }
        What::Floor { rounds, reports: true, json, .. } => {
            let figures = crate::reporting::run(rounds);
            println!("{figures:#}");
            write_json(json.as_deref(), &figures).map(|()| true)
        }
        What::Floor { seconds, rounds, part, held, destinations, json, .. } => {
            let parts = Parts { only: part, held, destinations };
            floor(seconds, rounds, &parts, json.as_deref()).map(|()| true)
        }
        What::Relay { endpoints } => {
            as_child();
            crate::relay::run(&endpoints).map(|()| true)
        }
        What::Edge { policy, edge } => {
            as_child();
            let known = match policy.strip_prefix(record::POLICY).map(|dir| record::into(Path::new(dir))) {
                Some(Ok(())) => Some(record::recorded as linnetcart_edge::core::PolicyFactory),
                Some(Err(e)) => {
                    eprintln!("error: {e:#}");
                    return ExitCode::FAILURE;
                }
                None => baselines::policy(&policy),
            };
            return match known {
                Some(policy) => linnetcart_edge::cli::run_with(edge, policy),
                None => {
                    eprintln!("`{policy}` is no policy; there are {}", baselines::NAMES.join(", "));
                    ExitCode::from(2)
                }
            };
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// A lab that is killed leaves no processes behind, and a measured one stays on its core.
fn as_child() {
    let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    if let Some(core) = std::env::var("LINNETCART_LAB_CORE").ok().and_then(|c| c.parse().ok()) {
        let mut set = rustix::thread::CpuSet::new();
        set.set(core);
        let _ = rustix::thread::sched_setaffinity(None, &set);
    }
}

fn floor(seconds: f64, rounds: usize, parts: &Parts, json: Option<&Path>) -> anyhow::Result<()> {
    if parts.held.iter().any(|n| !(1..=80_000).contains(n)) {
        bail!("--held: 1 to 80000");
    }
    if parts.destinations.iter().any(|n| !(1..=5000).contains(n)) {
        bail!("--destinations: 1 to 5000");
    }
    if !(seconds > 0.0 && seconds <= 600.0) {
        bail!("--seconds: more than 0 and at most 600");
    }
    let folder = Folder::new(None)?;
    let program = std::env::current_exe().context("this program's own path")?;
    let figures = crate::floor::run(&program, &folder.path, (seconds, rounds), parts)?;
    write_json(json, &figures)
}

fn write_json(file: Option<&Path>, figures: &Value) -> anyhow::Result<()> {
    let Some(file) = file else { return Ok(()) };
    std::fs::write(file, serde_json::to_string_pretty(figures)? + "\n")
        .with_context(|| file.display().to_string())
}

/// A folder that is removed at the end unless it is to be kept.
struct Folder {
    path: PathBuf,
    keep: bool,
}

impl Folder {
    fn new(keep: Option<&Path>) -> anyhow::Result<Folder> {
        let path = match keep {
            Some(path) => path.to_owned(),
            None => {
                let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_nanos();
                std::env::temp_dir().join(format!("linnetcart-testbed-{}-{nanos:x}", std::process::id()))
            }
        };
        std::fs::create_dir_all(&path).with_context(|| path.display().to_string())?;
        Ok(Folder { path, keep: keep.is_some() })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.keep {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

fn up(name: &str, seed: u64) -> anyhow::Result<()> {
    let mut day = Scenario::find(name)?;
    day.couriers = 1;
    let fleet = Fleet::draw(day, seed);
    let folder = Folder::new(None)?;
    let program = std::env::current_exe().context("this program's own path")?;
    let options = Options {
        policy: "library".into(),
        program,
        dir: folder.path.clone(),
        graphite: None,
        progress: None,
    };
    rig::stay(&fleet, &options, |ready| {
        println!("{ready}");
        let _ = std::io::stdout().flush();
    })
}

fn tail(args: TailArgs) -> anyhow::Result<bool> {
    if args.seconds.is_some_and(|s| !(s > 0.0 && s <= 1e6)) {
        bail!("--seconds: more than 0 and at most 1000000");
    }
    let mut users: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (user, key) in args.user {
        users.entry(user).or_default().push(key);
    }
    let require = if users.is_empty() { Require::Nothing } else { Require::Signed };
    let at = Where { graphite: args.graphite, collectd: args.collectd, users, require };
    crate::tail::run(Tail { at, record: args.record, seconds: args.seconds })
}

fn replay(files: &[PathBuf]) -> anyhow::Result<()> {
    for file in files {
        let done = record::replay(file)?;
        let (rounds, events, actions) = (done.rounds, done.events, done.actions);
        println!("{}: the same in {rounds} rounds, {events} events, {actions} actions", file.display());
    }
    Ok(())
}

fn progress(at: f64, of: f64, open: usize) {
    eprint!("\r{at:>5.0} of {of:.0} s, {open} messages open   ");
}

fn threads(asked: Option<usize>) -> anyhow::Result<usize> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    match asked.unwrap_or(cores) {
        n @ 1..=256 => Ok(n),
        _ => bail!("--threads: 1 to 256"),
    }
}

fn faithful(args: &FaithfulArgs) -> anyhow::Result<()> {
    if !(1..=1000).contains(&args.seeds) || !(1..=16).contains(&args.beside) {
        bail!("--seeds: 1 to 1000; --beside: 1 to 16");
    }
    let days = args.days.iter().map(|name| Scenario::find(name)?.with(None, args.speed));
    let days = days.collect::<Result<Vec<Scenario>, _>>()?;
    if let Some(day) = days.iter().find(|d| d.couriers > ON_SOCKETS || !d.emulated_only().is_empty()) {
        bail!("sockets of one machine cannot play {}", day.name);
    }
    let folder = Folder::new(None)?;
    let (program, dir) = (std::env::current_exe().context("this program's own path")?, folder.path.clone());
    let plan = faithful::Plan { days, seeds: args.seeds, beside: args.beside, program, dir };
    let show = std::io::stderr().is_terminal();
    let (text, figures) = faithful::run(&plan, &|n, of| {
        if show {
            eprint!("\r{n} of {of} days   ");
        }
    })?;
    println!("{text}");
    write_json(args.json.as_deref(), &figures)
}

fn experiment(args: &ExperimentArgs) -> anyhow::Result<bool> {
    let plan = Plan::read(&args.plan)?;
    let options = experiment::Options {
        threads: threads(args.threads)?,
        at_most: args.at_most,
        show: std::io::stderr().is_terminal(),
        command: format!(
            "linnetcart-testbed experiment {} --out {}",
            args.plan.display(),
            args.out.display()
        ),
    };
    if !experiment::run(plan, &args.out, &options)? {
        println!("not whole yet: the same command goes on with it");
    }
    Ok(true)
}

fn hunt(args: &HuntArgs) -> anyhow::Result<bool> {
    if !(1..=10_000_000).contains(&args.runs) || !(1..=64).contains(&args.troubles) {
        bail!("--runs: 1 to 10000000; --troubles: 1 to 64");
    }
    let show = std::io::stderr().is_terminal();
    let hunt = Hunt {
        base: Scenario::find(&args.day)?.with(args.couriers, args.speed)?,
        seed: args.seed,
        runs: args.runs,
        policy: args.policy.clone(),
        want: if args.loss { Want::Loss } else { Want::Rule },
        troubles: args.troubles,
        on_sockets: args.on_sockets,
        threads: threads(args.threads)?,
    };
    let found = match &args.shrink {
        Some(file) => hunt.shrink_run(Recipe::read(file)?)?,
        None => hunt.run(&|number| {
            if show && number % 16 == 0 {
                eprint!("\r{number} of {} runs   ", args.runs);
            }
        })?,
    };
    if show {
        eprintln!();
    }
    let Some(found) = found else {
        match &args.shrink {
            Some(file) => println!("{} breaks no rule", file.display()),
            None => println!("nothing found in {} runs", args.runs),
        }
        return Ok(true);
    };
    print!("{}", hunt::words(&found)?);
    if let Some(file) = &args.out {
        std::fs::write(file, hunt::script(&found)?).with_context(|| file.display().to_string())?;
    }
    if let Some(file) = &args.recipe {
        found.shrunk.write(file)?;
    }
    Ok(false)
}

fn emulate(args: &EmulateArgs) -> anyhow::Result<bool> {
    let day = Scenario::find(&args.name)?.with(args.couriers, 1.0)?;
    let name = day.name.clone();
    let (seed, policy) = (args.seed, args.policy.clone());
    let mut recipe = Recipe { day, seed, policy, model: Model::default() };
    for (name, level) in &args.set {
        set(&mut recipe, name, level).with_context(|| format!("--set {name}"))?;
    }
    recipe.day = recipe.day.with(None, args.speed)?;
    if let Some(file) = &args.recipe {
        recipe.write(file)?;
    }
    let begun = std::time::Instant::now();
    let (fleet, run) = recipe.play(None)?;
    let took = begun.elapsed().as_secs_f64();
    println!("{name}, seed {seed}: {}", fleet.about());
    let report = check(&run.records.records, &fleet.invariants(Timebase::Emulated));
    println!("\n{}", report::table(&report));
    for overload in &run.records.overloads {
        println!("destination {} fell over at {:.1} s", overload.destination, overload.at as f64 / 1e9);
    }
    let virtual_s = run.virtual_time as f64 / 1e9;
    println!(
        "{virtual_s:.1} s of virtual time in {took:.2} s: {:.1} times real time, {:.0} events a second, {} connections at most",
        virtual_s / took,
        run.events as f64 / took,
        run.peak_connections
    );
    println!("digest {}", run.digest);
    let kept = report.kept();
    write_json(args.json.as_deref(), &report::json(&name, args.seed, &[(args.policy.clone(), report)]))?;
    println!("{}", if kept { "all rules kept" } else { "A RULE WAS BROKEN" });
    Ok(kept)
}

fn day(args: &DayArgs) -> anyhow::Result<bool> {
    let day = match (&args.bench, &args.name) {
        (Some(file), _) => {
            let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
            let (day, cannot) = bench::read(&text).with_context(|| file.display().to_string())?;
            for c in cannot {
                eprintln!("not played: {c}");
            }
            day
        }
        (None, Some(name)) => Scenario::find(name)?,
        (None, None) => bail!("a day's name or --bench is wanted"),
    };
    let day = day.with(args.couriers, args.speed)?;
    if day.couriers > ON_SOCKETS {
        bail!("{} couriers: at most {ON_SOCKETS} on sockets; `emulate` plays more", day.couriers);
    }
    let cannot = day.emulated_only();
    if !cannot.is_empty() {
        bail!("sockets of one machine cannot play {cannot:?}; `emulate` does");
    }
    let name = day.name.clone();
    let fleet = Fleet::draw(day, args.seed);
    let policies: &[&str] = if args.baselines { &baselines::NAMES } else { &baselines::NAMES[..1] };
    println!("{name}, seed {}: {}", args.seed, fleet.about());
    let mut all: Vec<(String, Report)> = Vec::new();
    for policy in policies {
        let keep = args.keep.as_ref().map(|k| k.join(policy));
        let folder = Folder::new(keep.as_deref())?;
        let show = !args.quiet && std::io::stderr().is_terminal();
        let options = Options {
            policy: match &args.record {
                Some(dir) if *policy == "library" => format!("{}{}", record::POLICY, dir.display()),
                _ => (*policy).into(),
            },
            program: std::env::current_exe().context("this program's own path")?,
            dir: folder.path.clone(),
            graphite: args.graphite,
            progress: show.then_some(progress as fn(f64, f64, usize)),
        };
        let played = rig::play(&fleet, &options)?;
        if show {
            eprintln!();
        }
        let report = check(&played.records, &fleet.invariants(Timebase::Sockets));
        if *policy == "library" {
            println!("\n{}", report::table(&report));
            for overload in &played.overloads {
                println!(
                    "destination {} fell over at {:.1} s",
                    overload.destination,
                    overload.at as f64 / 1e9
                );
            }
        }
        all.push(((*policy).to_owned(), report));
    }
    if all.len() > 1 {
        println!("\n{}", report::beside(&all));
    }
    write_json(args.json.as_deref(), &report::json(&name, args.seed, &all))?;
    let kept = all[0].1.kept();
    println!("{}", if kept { "all rules kept" } else { "A RULE WAS BROKEN" });
    Ok(kept)
}
