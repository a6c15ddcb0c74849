//! Runs in virtual time: experiments, fault searches, message traces, and comparison with a run on sockets.

#[path = "support/work_folder.rs"]
mod work_folder;

use linnetcart_emulator::EmulatedRun;
use linnetcart_scenario::fleet::Fleet;
use linnetcart_scenario::scenario::Scenario;
use linnetcart_testbed::decision_record;
use linnetcart_testbed::emulated_run::{trace_message, Recipe};
use linnetcart_testbed::experiment::{self, plan::Plan, Completion};
use linnetcart_testbed::fault_search::{script, FaultSearch, Goal};
use linnetcart_testbed::socket_run::{self, StackOptions};
use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Command;
use work_folder::work_folder;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnetcart-testbed");

const PLAN: &str = r#"
name = "test"
about = "A test."
day = "quiet"
speed = 6.0
seeds = 2
show = ["served_worth", "p95_ms"]
compare = { factor = "policy", base = "library" }
[[factor]]
name = "couriers"
levels = [1, 4]
[[factor]]
name = "policy"
levels = ["library", "one-try"]
"#;

/// Options for an experiment. With `max_runs` the call stops after this many runs, before the experiment is
/// complete.
fn options(threads: usize, max_runs: Option<u64>) -> experiment::Options {
    experiment::Options {
        threads,
        max_runs,
        shows_progress: false,
        command: "test".into(),
        commit: "test-commit".into(),
    }
}

fn run_experiment(out: &Path, options: experiment::Options) -> Completion {
    experiment::run(Plan::parse(PLAN).unwrap(), out, &options).unwrap()
}

/// Appends an incomplete line, as a process that is killed during a write leaves it.
fn append_incomplete_line(lines: &Path) {
    let mut text = std::fs::read_to_string(lines).unwrap();
    text.push_str("{\"run\":7,\"se");
    std::fs::write(lines, text).unwrap();
}

/// An experiment that is stopped twice, once within a line, ends with the same files as an uninterrupted one,
/// on any number of threads. It cannot be continued with another plan or commit.
#[test]
fn stopped_experiment_continues_to_the_same_bytes() {
    let (uninterrupted, stopped) = (work_folder("uninterrupted"), work_folder("stopped"));
    assert_eq!(run_experiment(&uninterrupted, options(1, None)), Completion::Complete);
    assert_eq!(run_experiment(&stopped, options(2, Some(3))), Completion::Partial);
    let lines = stopped.join("runs.jsonl");
    assert_eq!(std::fs::read_to_string(&lines).unwrap().lines().count(), 3);
    append_incomplete_line(&lines);
    assert_eq!(run_experiment(&stopped, options(2, Some(2))), Completion::Partial);
    assert_eq!(run_experiment(&stopped, options(3, None)), Completion::Complete);
    for file in ["results.parquet", "report.html", "served_worth.svg"] {
        let read = |dir: &Path| std::fs::read(dir.join(file)).unwrap();
        assert!(read(&uninterrupted) == read(&stopped), "{file} differs");
    }
    let page = std::fs::read_to_string(uninterrupted.join("report.html")).unwrap();
    assert!(page.contains("<svg") && page.contains("Against policy = library") && !page.contains("src="));
    let other_plan = Plan::parse(&PLAN.replace("seeds = 2", "seeds = 3")).unwrap();
    let error = experiment::run(other_plan, &stopped, &options(1, None)).unwrap_err();
    let error = format!("{error:#}");
    assert!(error.contains("another plan") && error.contains("--out"), "{error}");
    let other_commit = experiment::Options { commit: "other-commit".into(), ..options(1, None) };
    let error = experiment::run(Plan::parse(PLAN).unwrap(), &stopped, &other_commit).unwrap_err();
    let error = format!("{error:#}");
    assert!(error.contains("another commit") && error.contains("--out"), "{error}");
    std::fs::remove_dir_all(uninterrupted).unwrap();
    std::fs::remove_dir_all(stopped).unwrap();
}

#[test]
fn commit_is_an_id_or_unknown() {
    let commit = experiment::commit();
    let id = commit.strip_suffix(" and changes").unwrap_or(&commit);
    let is_id = id.len() >= 12 && id.chars().all(|character| character.is_ascii_hexdigit());
    assert!(is_id || commit == "unknown", "{commit}");
}

#[test]
fn parquet_results_are_readable_with_plan_and_command() {
    let dir = work_folder("parquet");
    run_experiment(&dir, options(2, None));
    let file = std::fs::File::open(dir.join("results.parquet")).unwrap();
    let reader = ParquetRecordBatchReaderBuilder::try_new(file).unwrap();
    let metadata = reader.metadata().file_metadata().key_value_metadata().unwrap().clone();
    let value = |key: &str| {
        let entry = metadata.iter().find(|entry| entry.key == key).unwrap();
        entry.value.clone().unwrap()
    };
    assert_eq!(Plan::parse(&value("linnetcart.plan")).unwrap(), Plan::parse(PLAN).unwrap());
    assert_eq!(value("linnetcart.command"), "test");
    let batch = reader.build().unwrap().next().unwrap().unwrap();
    assert_eq!(batch.num_rows(), 8);
    for column in ["run", "seed", "couriers", "policy", "served_worth", "digest"] {
        assert!(batch.column_by_name(column).is_some(), "{column}");
    }
    std::fs::remove_dir_all(dir).unwrap();
}

/// Runs the `emulate` command and returns its standard output.
fn emulate(arguments: &[&str]) -> String {
    let output = Command::new(PROGRAM).arg("emulate").args(arguments).output().unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn separate_processes_produce_the_same_digest() {
    let digest = |seed: &str| {
        let text = emulate(&["partition", "--speed", "3", "--couriers", "5", "--seed", seed]);
        text.lines().find(|line| line.starts_with("digest ")).unwrap().to_owned()
    };
    let first = digest("3");
    assert_eq!(first, digest("3"));
    assert_ne!(first, digest("4"));
}

/// A search for a broken invariant in the `quiet` scenario, over 20 runs.
fn search(policy: &str, threads: usize) -> FaultSearch {
    FaultSearch {
        base: Scenario::find("quiet").unwrap().with(Some(2), 6.0).unwrap(),
        seed: 1,
        runs: 20,
        policy: policy.into(),
        goal: Goal::BrokenInvariant,
        max_faults: 3,
        sockets_only: false,
        threads,
    }
}

#[test]
fn fault_search_finds_a_broken_invariant_and_its_script_breaks_it_again() {
    let finding = search("round-robin", 3).run(&|_| {}).unwrap();
    let finding = finding.expect("round-robin respects no limits, so that it breaks an invariant");
    let by_one_thread = search("round-robin", 1).run(&|_| {}).unwrap().unwrap();
    assert_eq!(
        (finding.run, &finding.shrunk),
        (by_one_thread.run, &by_one_thread.shrunk),
        "the finding depends on the number of threads"
    );
    assert!(finding.shrunk.scenario.faults.len() <= finding.drawn.scenario.faults.len());
    let scenario = Scenario::parse(&script(&finding).unwrap()).unwrap();
    let report = Recipe { scenario, ..finding.shrunk.clone() }.run_checked().unwrap().report;
    let broken = report.rules.iter().find(|invariant| invariant.violations > 0);
    let broken = broken.expect("the script breaks an invariant");
    assert!(finding.summary.contains(broken.rule));
}

/// The message with the most calls that arrived at endpoints.
struct MostCalled {
    message: u64,
    calls: usize,
}

fn most_called_message(run: &EmulatedRun) -> MostCalled {
    let mut calls_by_message: BTreeMap<u64, usize> = BTreeMap::new();
    for arrival in &run.records.records.arrivals {
        *calls_by_message.entry(arrival.message).or_default() += 1;
    }
    let (message, calls) = calls_by_message.into_iter().max_by_key(|(_, calls)| *calls).unwrap();
    MostCalled { message, calls }
}

#[test]
fn trace_has_every_attempt_with_its_reason() {
    let scenario = Scenario::find("answers-lost").unwrap().with(Some(2), 4.0).unwrap();
    let recipe = Recipe::new(scenario, 1);
    let run = recipe.run(None).unwrap().run;
    let MostCalled { message, calls } = most_called_message(&run);
    assert!(calls > 1);
    let text = trace_message(&recipe, message).unwrap();
    assert_eq!(text.matches(": call ").count() - text.matches(" answered\n").count(), calls, "{text}");
    assert!(text.contains("(the first)") && text.contains("client: handed to courier"), "{text}");
    assert!(text.contains("(hedge: ") || text.contains("(again, after "), "{text}");
    let unknown_message = 1 << 40;
    let error = trace_message(&recipe, unknown_message).unwrap_err().to_string();
    assert!(error.contains("the run has 0 to"), "{error}");
}

/// Names of the events and actions that are not compared, because their number and order depend on timing.
const TIMED_ITEMS: [&str; 4] = ["List", "Wake", "Close", "Log"];
/// Names of the fields of events and actions that are compared; the values do not depend on clocks.
const COMPARED_FIELDS: [&str; 6] = ["id", "message", "attempt", "destination", "endpoint", "ending"];

/// Describes an event or action of a decision record by its compared fields; `None` if it is not compared.
fn describe_item(kind: &str, item: &Value) -> Option<String> {
    let (name, fields) = item.as_object()?.iter().next()?;
    if TIMED_ITEMS.contains(&name.as_str()) {
        return None;
    }
    let mut text = format!("{kind} {name}");
    for field in COMPARED_FIELDS {
        if let Some(value) = fields.get(field) {
            text += &format!(" {field}={value}");
        }
    }
    Some(text)
}

/// The compared events and actions of the only decision record in a folder, in order.
fn events_and_actions(dir: &Path) -> Vec<String> {
    let file = std::fs::read_dir(dir).unwrap().next().expect("a record").unwrap().path();
    let text = std::fs::read_to_string(file).unwrap();
    let mut described = Vec::new();
    for line in text.lines().skip(1) {
        let cycle: Value = serde_json::from_str(line).unwrap();
        let events = cycle["events"].as_array().unwrap().iter();
        let actions = cycle["actions"].as_array().unwrap().iter();
        described.extend(events.filter_map(|event| describe_item("event", event)));
        described.extend(actions.filter_map(|action| describe_item("action", action)));
    }
    described
}

#[test]
fn single_message_on_sockets_and_in_virtual_time_has_the_same_events() {
    let dir = work_folder("single");
    let scenario = Scenario::find("quiet").unwrap().with(Some(1), 4.0).unwrap();
    let mut fleet = Fleet::draw(scenario, 5);
    fleet.messages.truncate(1);
    let policy = format!("{}{}", decision_record::POLICY_PREFIX, dir.join("sockets").display());
    let options = StackOptions { policy, ..StackOptions::new(PathBuf::from(PROGRAM), dir.join("couriers")) };
    socket_run::run(&fleet, &options).unwrap();
    decision_record::set_folder(&dir.join("emulated")).unwrap();
    let policy = decision_record::recording_policy;
    let options = linnetcart_emulator::Options { policy, ..Default::default() };
    linnetcart_emulator::run(&fleet, options).unwrap();
    let on_sockets = events_and_actions(&dir.join("sockets"));
    let emulated = events_and_actions(&dir.join("emulated"));
    assert_eq!(on_sockets, emulated);
    assert_eq!(on_sockets.len(), 3, "accepted, sent, served: {on_sockets:?}");
    std::fs::remove_dir_all(dir).unwrap();
}

/// A scenario with which a fault search broke an invariant, before the defect in the code was fixed.
struct FoundScenario {
    name: &'static str,
    script: &'static str,
}

/// Regression cases: each scenario breaks an invariant again when the fix of the defect is removed.
const FOUND: [FoundScenario; 8] = [
    FoundScenario { name: "turned-away", script: include_str!("finds/turned-away.toml") },
    FoundScenario { name: "late-wait", script: include_str!("finds/late-wait.toml") },
    FoundScenario { name: "handed-on-rolled", script: include_str!("finds/handed-on-rolled.toml") },
    FoundScenario { name: "other-route", script: include_str!("finds/other-route.toml") },
    FoundScenario { name: "two-cuts", script: include_str!("finds/two-cuts.toml") },
    FoundScenario { name: "long-way", script: include_str!("finds/long-way.toml") },
    FoundScenario { name: "slow-links", script: include_str!("finds/slow-links.toml") },
    FoundScenario { name: "handed-on-disk", script: include_str!("finds/handed-on-disk.toml") },
];

/// The seed in the comment of a script that gives the command to run it in virtual time.
fn seed_of_script(script: &str) -> Option<u64> {
    script.lines().find_map(|line| line.split_once("emulate FILE --seed ")?.1.parse().ok())
}

#[test]
fn scenarios_that_once_broke_an_invariant_keep_it() {
    for FoundScenario { name, script } in FOUND {
        let seed = seed_of_script(script).expect("the second line has the seed");
        let scenario = Scenario::parse(script).unwrap();
        let report = Recipe::new(scenario, seed).run_checked().unwrap().report;
        for invariant in &report.rules {
            assert_eq!(invariant.violations, 0, "{name}: {}: {:?}", invariant.rule, invariant.examples);
        }
    }
}
