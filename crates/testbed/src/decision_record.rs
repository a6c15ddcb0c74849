//! Records the decision cycles of the library, and replays a record through another version of the library to
//! detect changes of behaviour.
//!
//! A record is a file of JSON lines: a header with the settings and the seed, then a line for each decision
//! cycle; each start of the policy appends a header. A replay finds the first cycle in which the library
//! decides differently. Recording never changes a decision: if a record cannot be written, it ends, and the
//! courier continues.

use anyhow::{bail, ensure, Context};
use linnetcart::{Action, Dispatcher, Event, Settings, Time};
use linnetcart_edge::core::DecisionPolicy;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

#[cfg(test)]
mod tests;

/// The prefix of the recording policy's name; the path of the folder for the records follows it.
pub const POLICY_PREFIX: &str = "recorded:";
/// Maximum length of a line in a record.
const MAX_LINE_BYTES: u64 = 64 << 20;
/// The start of a header line, which distinguishes it from decision cycles.
const HEADER_START: &[u8] = b"{\"settings\"";

/// The folder for this process's records.
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// A header line.
#[derive(Debug, Serialize, Deserialize)]
struct Header {
    settings: Settings,
    seed: u64,
}

/// A decision cycle as it is written: the clock, and the events and actions of one call of the library.
#[derive(Debug, Serialize)]
struct Cycle {
    now: Time,
    events: Vec<Event>,
    actions: Vec<Action>,
}

/// A decision cycle as it is read. The actions stay JSON text, to be compared byte for byte.
#[derive(Debug, Deserialize)]
struct RecordedCycle {
    now: Time,
    events: Vec<Event>,
    actions: Box<RawValue>,
}

/// Creates a folder, and sets it as the folder for this process's records. Only the first call in a process
/// sets the folder; later calls create theirs without effect on the records.
///
/// # Errors
/// Fails if the folder cannot be created.
pub fn set_folder(folder: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    let _ = FOLDER.set(folder.to_owned());
    Ok(())
}

/// Creates a policy that decides as the library does and records its events and actions.
pub fn recording_policy(settings: Settings, seed: u64) -> Box<dyn DecisionPolicy> {
    let file = open_record(settings.courier_index);
    let dispatcher = Dispatcher::new(settings.clone(), seed);
    let mut policy = RecordingPolicy { dispatcher, file };
    policy.write_line(&Header { settings, seed });
    Box::new(policy)
}

/// Opens the record of a courier; `None` if no folder is set or the file cannot be opened.
fn open_record(courier: impl std::fmt::Display) -> Option<BufWriter<File>> {
    let path = FOLDER.get()?.join(format!("{courier}-{}.rounds", std::process::id()));
    let file = File::options().create(true).append(true).open(path).ok()?;
    Some(BufWriter::new(file))
}

#[derive(Debug)]
struct RecordingPolicy {
    dispatcher: Dispatcher,
    file: Option<BufWriter<File>>,
}

impl RecordingPolicy {
    /// Appends a line and flushes it. The first error ends the record.
    fn write_line(&mut self, line: &impl Serialize) {
        let Some(file) = &mut self.file else { return };
        if write_json_line(file, line).is_err() {
            self.file = None;
        }
    }
}

fn write_json_line(file: &mut BufWriter<File>, line: &impl Serialize) -> std::io::Result<()> {
    serde_json::to_writer(&mut *file, line)?;
    file.write_all(b"\n")?;
    file.flush()
}

impl DecisionPolicy for RecordingPolicy {
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        let actions = self.dispatcher.decide(now, events.clone());
        let cycle = Cycle { now, events, actions };
        self.write_line(&cycle);
        cycle.actions
    }
}

/// The totals of a replayed record in which every decision was the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    /// Number of decision cycles in the record.
    pub cycles: u64,
    /// Number of events that the library received, over all cycles.
    pub events: u64,
    /// Number of actions that the library returned, over all cycles.
    pub actions: u64,
}

/// Replays a record and compares the decisions byte for byte. An incomplete last line, as a killed courier
/// leaves it, is skipped.
///
/// # Errors
/// Fails if the record cannot be read, or at the first cycle that is decided differently; the error names the
/// line of this cycle.
pub fn replay(path: &Path) -> anyhow::Result<Replayed> {
    let name = path.display();
    let mut file = BufReader::new(File::open(path).with_context(|| name.to_string())?);
    let mut dispatcher: Option<Dispatcher> = None;
    let mut replayed = Replayed::default();
    let mut line = Vec::new();
    for number in 1.. {
        let place = || format!("{name}, line {number}");
        line.clear();
        Read::take(&mut file, MAX_LINE_BYTES).read_until(b'\n', &mut line)?;
        let is_complete = line.last() == Some(&b'\n');
        if !is_complete {
            let is_too_long = line.len() as u64 >= MAX_LINE_BYTES;
            ensure!(!is_too_long, "{}: longer than {MAX_LINE_BYTES} bytes", place());
            break;
        }
        if line.starts_with(HEADER_START) {
            let header: Header = serde_json::from_slice(&line).with_context(place)?;
            dispatcher = Some(Dispatcher::new(header.settings, header.seed));
            continue;
        }
        let cycle: RecordedCycle = serde_json::from_slice(&line).with_context(place)?;
        let Some(dispatcher) = &mut dispatcher else {
            bail!("{}: a decision cycle before the first header; is this file a decision record?", place())
        };
        replay_cycle(dispatcher, cycle, &mut replayed, place)?;
    }
    Ok(replayed)
}

fn replay_cycle(
    dispatcher: &mut Dispatcher,
    cycle: RecordedCycle,
    replayed: &mut Replayed,
    place: impl Fn() -> String,
) -> anyhow::Result<()> {
    replayed.events += cycle.events.len() as u64;
    let actions = dispatcher.decide(cycle.now, cycle.events);
    let recorded = cycle.actions.get();
    let replayed_actions = serde_json::to_string(&actions)?;
    if recorded != replayed_actions {
        bail!(
            "{}, at {} ns: decided otherwise\n  recorded {recorded}\n  replayed {replayed_actions}",
            place(),
            cycle.now
        );
    }
    replayed.cycles += 1;
    replayed.actions += actions.len() as u64;
    Ok(())
}
