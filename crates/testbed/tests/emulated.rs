//! Experiments, fault searches and runs in virtual time, as the command line has them.

#[path = "support/work_folder.rs"]
mod work_folder;

use linnetcart_scenario::scenario::Scenario;
use linnetcart_testbed::emulated_run::{trace_message, Recipe};
use linnetcart_testbed::experiment::{self, plan::Plan, Completion};
use linnetcart_testbed::fault_search::{script, FaultSearch, Goal};
use std::path::PathBuf;
use std::process::Command;
use work_folder::work_folder;

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

fn options(threads: usize, max_runs: Option<u64>) -> experiment::Options {
    experiment::Options { threads, max_runs, shows_progress: false, command: "test".into() }
}

#[test]
fn experiment_that_was_stopped_continues_to_the_same_bytes() {
    let (whole, parts) = (work_folder("whole"), work_folder("parts"));
    let plan = || Plan::parse(PLAN).unwrap();
    let run = |out: &PathBuf, options| experiment::run(plan(), out, &options).unwrap();
    assert_eq!(run(&whole, options(1, None)), Completion::Complete);
    assert_eq!(run(&parts, options(2, Some(3))), Completion::Partial);
    // A stop in the middle of a line.
    let lines = parts.join("runs.jsonl");
    let mut text = std::fs::read_to_string(&lines).unwrap();
    assert_eq!(text.lines().count(), 3);
    text.push_str("{\"run\":7,\"se");
    std::fs::write(&lines, text).unwrap();
    assert_eq!(run(&parts, options(2, Some(2))), Completion::Partial);
    assert_eq!(run(&parts, options(3, None)), Completion::Complete);
    for file in ["results.parquet", "report.html", "served_worth.svg"] {
        let read = |dir: &PathBuf| std::fs::read(dir.join(file)).unwrap();
        assert!(read(&whole) == read(&parts), "{file} differs");
    }
    let page = std::fs::read_to_string(whole.join("report.html")).unwrap();
    assert!(page.contains("<svg") && page.contains("Against policy = library") && !page.contains("src="));
    let other = Plan::parse(&PLAN.replace("seeds = 2", "seeds = 3")).unwrap();
    let error = format!("{:#}", experiment::run(other, &parts, &options(1, None)).unwrap_err());
    assert!(error.contains("another plan") && error.contains("--out"), "{error}");
    std::fs::remove_dir_all(whole).unwrap();
    std::fs::remove_dir_all(parts).unwrap();
}

#[test]
fn parquet_results_are_readable_with_plan_and_command() {
    use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
    let dir = work_folder("parquet");
    experiment::run(Plan::parse(PLAN).unwrap(), &dir, &options(2, None)).unwrap();
    let file = std::fs::File::open(dir.join("results.parquet")).unwrap();
    let reader = ParquetRecordBatchReaderBuilder::try_new(file).unwrap();
    let kept = reader.metadata().file_metadata().key_value_metadata().unwrap().clone();
    let value = |key: &str| kept.iter().find(|k| k.key == key).and_then(|k| k.value.clone()).unwrap();
    assert_eq!(Plan::parse(&value("linnetcart.plan")).unwrap(), Plan::parse(PLAN).unwrap());
    assert_eq!(value("linnetcart.command"), "test");
    let batch = reader.build().unwrap().next().unwrap().unwrap();
    assert_eq!(batch.num_rows(), 8);
    for column in ["run", "seed", "couriers", "policy", "served_worth", "digest"] {
        assert!(batch.column_by_name(column).is_some(), "{column}");
    }
    std::fs::remove_dir_all(dir).unwrap();
}

fn emulate(arguments: &[&str]) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_linnetcart-testbed"))
        .arg("emulate")
        .args(arguments)
        .output()
        .unwrap();
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    String::from_utf8(out.stdout).unwrap()
}

#[test]
fn separate_processes_produce_the_same_digest() {
    let digest = |seed: &str| {
        let text = emulate(&["partition", "--speed", "3", "--couriers", "5", "--seed", seed]);
        text.lines().find(|l| l.starts_with("digest ")).unwrap().to_owned()
    };
    let first = digest("3");
    assert_eq!(first, digest("3"));
    assert_ne!(first, digest("4"));
}

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
    let found =
        search("round-robin", 3).run(&|_| {}).unwrap().expect("a policy that heeds nothing breaks a rule");
    let alone = search("round-robin", 1).run(&|_| {}).unwrap().unwrap();
    assert_eq!((found.run, &found.shrunk), (alone.run, &alone.shrunk), "the same on any number of threads");
    assert!(found.shrunk.scenario.trouble.len() <= found.drawn.scenario.trouble.len());
    let text = script(&found).unwrap();
    let again = Recipe { scenario: Scenario::parse(&text).unwrap(), ..found.shrunk.clone() };
    let report = again.run_checked().unwrap().report;
    let broken = report.rules.iter().find(|f| f.violations > 0).expect("the script breaks it too");
    assert!(found.summary.contains(broken.rule));
}

#[test]
fn trace_has_every_attempt_with_its_reason() {
    let day = Scenario::find("answers-lost").unwrap().with(Some(2), 4.0).unwrap();
    let recipe = Recipe::new(day, 1);
    let (_, run) = recipe.run(None).unwrap();
    let mut sent: std::collections::BTreeMap<u64, usize> = Default::default();
    run.records.records.arrivals.iter().for_each(|a| *sent.entry(a.message).or_default() += 1);
    let (message, times) = sent.into_iter().max_by_key(|m| m.1).unwrap();
    assert!(times > 1);
    let text = trace_message(&recipe, message).unwrap();
    assert_eq!(text.matches(": call ").count() - text.matches(" answered\n").count(), times, "{text}");
    assert!(text.contains("(the first)") && text.contains("client: handed to courier"), "{text}");
    assert!(text.contains("(a copy: ") || text.contains("(again, after "), "{text}");
    assert!(trace_message(&recipe, 1 << 40).unwrap_err().to_string().contains("the run has 0 to"));
}

/// What a courier's library was told and decided, cycle by cycle, without clocks: from a record.
fn events_and_actions(dir: &std::path::Path) -> Vec<String> {
    let file = std::fs::read_dir(dir).unwrap().next().expect("a record").unwrap().path();
    let text = std::fs::read_to_string(file).unwrap();
    let mut all = Vec::new();
    for line in text.lines().skip(1) {
        let cycle: serde_json::Value = serde_json::from_str(line).unwrap();
        let items_of = |key: &str| cycle[key].as_array().unwrap().clone();
        let events = items_of("events").into_iter().map(|event| ("told", event));
        let actions = items_of("actions").into_iter().map(|action| ("decides", action));
        for (kind, item) in events.chain(actions) {
            let Some((name, fields)) = item.as_object().and_then(|o| o.iter().next()) else { continue };
            if ["List", "Wake", "Close", "Log"].contains(&name.as_str()) {
                continue;
            }
            let field = |f: &str| fields.get(f).map(|v| format!(" {f}={v}")).unwrap_or_default();
            let fields: String =
                ["id", "message", "attempt", "destination", "endpoint", "ending"].map(field).concat();
            all.push(format!("{kind} {name}{fields}"));
        }
    }
    all
}

#[test]
fn single_message_on_sockets_and_in_virtual_time_has_the_same_events() {
    use linnetcart_scenario::fleet::Fleet;
    use linnetcart_testbed::decision_record;
    use linnetcart_testbed::socket_run::{self, StackOptions};
    let dir = work_folder("single");
    let mut fleet = Fleet::draw(Scenario::find("quiet").unwrap().with(Some(1), 4.0).unwrap(), 5);
    fleet.messages.truncate(1);
    let program = PathBuf::from(env!("CARGO_BIN_EXE_linnetcart-testbed"));
    let mut options = StackOptions::new(program, dir.join("couriers"));
    options.policy = format!("{}{}", decision_record::POLICY_PREFIX, dir.join("sockets").display());
    socket_run::run(&fleet, &options).unwrap();
    decision_record::set_folder(&dir.join("emulated")).unwrap();
    let how =
        linnetcart_emulator::Options { policy: decision_record::recording_policy, ..Default::default() };
    linnetcart_emulator::run(&fleet, how).unwrap();
    let (sockets, emulated) =
        (events_and_actions(&dir.join("sockets")), events_and_actions(&dir.join("emulated")));
    assert_eq!(sockets, emulated);
    assert_eq!(sockets.len(), 3, "taken, sent, served: {sockets:?}");
    std::fs::remove_dir_all(dir).unwrap();
}

/// Scenarios that fault searches found while an invariant was broken on them. Each breaks it again where its fix is
/// taken out.
const FOUND: [(&str, &str); 8] = [
    ("turned-away", include_str!("finds/turned-away.toml")),
    ("late-wait", include_str!("finds/late-wait.toml")),
    ("handed-on-rolled", include_str!("finds/handed-on-rolled.toml")),
    ("other-route", include_str!("finds/other-route.toml")),
    ("two-cuts", include_str!("finds/two-cuts.toml")),
    ("long-way", include_str!("finds/long-way.toml")),
    ("slow-links", include_str!("finds/slow-links.toml")),
    ("handed-on-disk", include_str!("finds/handed-on-disk.toml")),
];

#[test]
fn scenarios_that_once_broke_an_invariant_keep_it() {
    for (name, text) in FOUND {
        let seed = text.lines().find_map(|l| l.split_once("emulate FILE --seed ")?.1.parse().ok());
        let (day, seed) = (Scenario::parse(text).unwrap(), seed.expect("the second line has the seed"));
        let report = Recipe::new(day, seed).run_checked().unwrap().report;
        for invariant in &report.rules {
            assert_eq!(invariant.violations, 0, "{name}: {}: {:?}", invariant.rule, invariant.examples);
        }
    }
}
