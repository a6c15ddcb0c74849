//! Rounds of the decision library written down as they happen, and the same rounds put to the library again.
//!
//! A record is one line of JSON with settings and seed, then one for each round. Replayed on another text of the
//! library it shows the first round in which that decides otherwise.

use anyhow::{bail, Context};
use linnetcart::{Action, Dispatcher, Event, Settings, Time};
use linnetcart_edge::core::DecisionPolicy;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// The policy that a courier is started with when its rounds are recorded; a folder follows.
pub const POLICY: &str = "recorded:";
/// A line of a record is no longer than this.
const LINE: u64 = 64 << 20;

static FOLDER: OnceLock<PathBuf> = OnceLock::new();

#[derive(Debug, Serialize, Deserialize)]
struct Head {
    settings: Settings,
    seed: u64,
}

/// One decision cycle as it is written.
#[derive(Debug, Serialize)]
struct Round {
    now: Time,
    events: Vec<Event>,
    actions: Vec<Action>,
}

/// One decision cycle as it is read: the actions stay text, to be compared byte for byte.
#[derive(Debug, Deserialize)]
struct RecordedRound {
    now: Time,
    events: Vec<Event>,
    actions: Box<RawValue>,
}

/// Where this process's records go.
pub fn into(folder: &Path) -> anyhow::Result<()> {
    std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    let _ = FOLDER.set(folder.to_owned());
    Ok(())
}

/// The library, with a record of all it is told and decides.
pub fn recorded(settings: Settings, seed: u64) -> Box<dyn DecisionPolicy> {
    let file = FOLDER.get().and_then(|folder| {
        let path = folder.join(format!("{}-{}.rounds", settings.courier_index, std::process::id()));
        File::options().create(true).append(true).open(path).ok()
    });
    let courier = Dispatcher::new(settings.clone(), seed);
    let mut recorded = Recorded { courier, file: file.map(BufWriter::new) };
    recorded.line(&Head { settings, seed });
    Box::new(recorded)
}

#[derive(Debug)]
struct Recorded {
    courier: Dispatcher,
    file: Option<BufWriter<File>>,
}

impl Recorded {
    /// A record that cannot be written ends; the courier goes on.
    fn line(&mut self, line: &impl Serialize) {
        let Some(file) = &mut self.file else { return };
        let written = serde_json::to_writer(&mut *file, line).map_err(std::io::Error::from);
        if written.and_then(|()| file.write_all(b"\n")).and_then(|()| file.flush()).is_err() {
            self.file = None;
        }
    }
}

impl DecisionPolicy for Recorded {
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        let actions = self.courier.decide(now, events.clone());
        let round = Round { now, events, actions };
        self.line(&round);
        round.actions
    }
}

/// What a replay came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    /// Rounds that were decided as recorded.
    pub rounds: u64,
    /// Their events.
    pub events: u64,
    /// Their actions.
    pub actions: u64,
}

/// Puts a record's rounds to the library and compares byte for byte; an error names the first that differs. A
/// last line that was cut short, as a killed courier leaves it, is left out.
pub fn replay(path: &Path) -> anyhow::Result<Replayed> {
    let name = path.display();
    let mut file = BufReader::new(File::open(path).with_context(|| name.to_string())?);
    let mut courier: Option<Dispatcher> = None;
    let mut done = Replayed::default();
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        std::io::Read::take(&mut file, LINE).read_until(b'\n', &mut line)?;
        if line.last() != Some(&b'\n') {
            if line.len() as u64 >= LINE {
                bail!("{name}, line {number}: longer than {LINE} bytes");
            }
            break;
        }
        if line.starts_with(b"{\"settings\"") {
            let head: Head =
                serde_json::from_slice(&line).with_context(|| format!("{name}, line {number}"))?;
            courier = Some(Dispatcher::new(head.settings, head.seed));
            continue;
        }
        let round: RecordedRound =
            serde_json::from_slice(&line).with_context(|| format!("{name}, line {number}"))?;
        let Some(courier) = &mut courier else {
            bail!("{name}, line {number}: a round before any settings; is this a record of rounds?")
        };
        done.events += round.events.len() as u64;
        let now = courier.decide(round.now, round.events);
        let was = round.actions.get();
        let is = serde_json::to_string(&now)?;
        if was != is {
            bail!(
                "{name}, line {number}, at {} ns: decided otherwise\n  recorded {was}\n  now      {is}",
                round.now
            );
        }
        done.rounds += 1;
        done.actions += now.len() as u64;
    }
    Ok(done)
}

#[cfg(test)]
mod tests {
    use super::*;
    use linnetcart::{AcceptedMessage, Class, DestinationKind, Endpoint, EndpointStatus, Idempotency};

    fn record(folder: &Path) -> PathBuf {
        into(folder).expect("a folder");
        let class = Class {
            latency_objective: 1_000_000_000,
            deadline: 5_000_000_000,
            priority_weight: 1.0,
            late_weight: 0.3,
            idempotency: Idempotency::Idempotent,
            ordered: false,
        };
        let settings = Settings {
            courier_count: 1,
            max_in_flight_calls: 4,
            max_in_flight_messages: 20,
            max_attempts: 3,
            classes: vec![class],
            kinds: vec![DestinationKind { independent_routes: false, max_messages_per_call: 1 }],
            ..Settings::default()
        };
        let mut courier = recorded(settings, 7);
        let entry = Endpoint {
            id: 70,
            destination: 3,
            kind: 0,
            zone: 0,
            rate: 0.1 + 0.2,
            status: EndpointStatus::Ready,
        };
        courier.decide(5, vec![Event::EndpointList { complete: true, entries: vec![entry] }]);
        for id in 1..9 {
            let taken = AcceptedMessage {
                id,
                destination: 3,
                class: 0,
                time_remaining: 5_000_000_000,
                ordering_key: u64::MAX,
                tenant: 0,
            };
            courier.decide(u64::from(id) * 1_000_000, vec![Event::Accepted(taken)]);
        }
        folder.join(format!("0-{}.rounds", std::process::id()))
    }

    #[test]
    fn a_record_replays_to_the_same_and_tells_where_it_does_not() {
        let folder = std::env::temp_dir().join(format!("linnetcart-record-{}", std::process::id()));
        let path = record(&folder);
        assert_eq!(replay(&path).expect("the same").rounds, 9);
        let text = std::fs::read_to_string(&path).expect("a record");
        std::fs::write(&path, &text[..text.len() - 4]).expect("cut");
        assert_eq!(replay(&path).expect("the same but for what is cut").rounds, 8);
        std::fs::write(&path, text.replacen("\"endpoint\":70", "\"endpoint\":71", 1)).expect("changed");
        let error = replay(&path).expect_err("it differs").to_string();
        assert!(error.contains("line 3") && error.contains("decided otherwise"), "{error}");
        let _ = std::fs::remove_dir_all(&folder);
    }
}
