//! Runs in virtual time as files: what a run was drawn from, so that it can be played again, and the life of one
//! of its messages.

use crate::baselines;
use anyhow::{bail, Context};
use linnetcart_conformance::{check, ClientAnswer, EndpointVerdict, Report, Time};
use linnetcart_edge::delivery_events::{DeliveryEvent, FinalAnswer};
use linnetcart_emulator::model::Model;
use linnetcart_emulator::trace::DeliveryTrace;
use linnetcart_emulator::{EmulatedRun, Options};
use linnetcart_scenario::fleet::{Fleet, Timebase};
use linnetcart_scenario::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// What a run is drawn from; nothing else goes into it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recipe {
    /// The whole script, as it was played.
    pub day: Scenario,
    /// The seed of fleet, traffic, network and decisions.
    pub seed: u64,
    /// Who decides.
    pub policy: String,
    /// Hosts and network.
    #[serde(default)]
    pub model: Model,
}

impl Recipe {
    /// Plays it.
    pub fn play(&self, trace: Option<DeliveryTrace>) -> anyhow::Result<(Fleet, EmulatedRun)> {
        let policy = baselines::policy(&self.policy).with_context(|| {
            format!("`{}` is no policy; there are {}", self.policy, baselines::NAMES.join(", "))
        })?;
        let fleet = Fleet::draw(self.day.clone(), self.seed);
        let run = linnetcart_emulator::run(&fleet, Options { policy, model: self.model, trace })?;
        Ok((fleet, run))
    }

    /// Plays it and checks the rules.
    pub fn report(&self) -> anyhow::Result<(Report, EmulatedRun)> {
        self.judged().map(|(_, run, report)| (report, run))
    }

    /// The same, with the fleet that was drawn.
    pub fn judged(&self) -> anyhow::Result<(Fleet, EmulatedRun, Report)> {
        let (fleet, run) = self.play(None)?;
        let report = check(&run.records.records, &fleet.invariants(Timebase::Emulated));
        Ok((fleet, run, report))
    }

    /// Reads one that `emulate --recipe` or `hunt` wrote.
    pub fn read(file: &Path) -> anyhow::Result<Recipe> {
        let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
        let recipe: Recipe = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
        recipe.day.check().with_context(|| file.display().to_string())?;
        Ok(recipe)
    }

    /// Writes it down.
    pub fn write(&self, file: &Path) -> anyhow::Result<()> {
        std::fs::write(file, serde_json::to_string_pretty(self)? + "\n")
            .with_context(|| file.display().to_string())
    }
}

fn ms(t: Time) -> f64 {
    t as f64 / 1e6
}

/// Plays a run again and tells the life of one message: what its client, the couriers that held it and the
/// endpoints did with it, every attempt with why.
pub fn trace(recipe: &Recipe, message: u64) -> anyhow::Result<String> {
    let (fleet, run) = recipe.play(Some(DeliveryTrace::of_message(message)))?;
    let Some(planned) = fleet.messages.get(message as usize) else {
        bail!("message {message}: the run has 0 to {}", fleet.messages.len().saturating_sub(1));
    };
    let class = &fleet.scenario.class[usize::from(planned.class)];
    let mut lines: Vec<(Time, u8, String)> = Vec::new();
    let records = &run.records.records;
    for h in records.submissions.iter().filter(|h| h.message == message) {
        let left = ms(h.deadline - h.at);
        let text =
            format!("client: handed to courier {} (life {}), {left:.0} ms left", h.courier, h.incarnation);
        lines.push((h.at, 0, text));
        for ClientAnswer { at, answer } in &h.answers {
            lines.push((*at, 5, format!("client: answered {answer:?} by courier {}", h.courier)));
        }
        if let Some(at) = h.orphaned {
            lines.push((at, 5, format!("client: its connection to courier {} broke", h.courier)));
        }
    }
    for a in records.arrivals.iter().filter(|a| a.message == message) {
        let what = match a.verdict {
            EndpointVerdict::Served => "will serve it".into(),
            EndpointVerdict::Error => "will answer an error".into(),
            EndpointVerdict::Unanswered => "will not answer".into(),
            EndpointVerdict::Rejected { retry_after: wait } => {
                format!("turns it away, wait {:.0} ms", ms(wait))
            }
        };
        let effect = if a.effect { ", it takes effect" } else { "" };
        lines.push((
            a.at,
            3,
            format!("endpoint {}: call {} of courier {}: {what}{effect}", a.endpoint, a.call, a.courier),
        ));
        if let Some(at) = a.answered {
            lines.push((at, 4, format!("endpoint {}: call {} answered", a.endpoint, a.call)));
        }
    }
    // For each holder: when its attempts left, and how the last that ended did.
    let mut out: BTreeMap<(u32, u32), (Time, Option<String>)> = BTreeMap::new();
    for t in run.trace.into_iter().flat_map(|trace| trace.events) {
        let known = out.entry((t.courier, t.incarnation)).or_insert((t.at, None));
        let text = match t.event {
            DeliveryEvent::Accepted { .. } => "taken".into(),
            DeliveryEvent::AttemptStarted { attempt, endpoint, hedge: copy, .. } => {
                let why = match (copy, attempt, &known.1) {
                    (true, ..) => format!("a copy: the last is out for {:.0} ms", ms(t.at - known.0)),
                    (false, 0, _) => "the first".into(),
                    (false, _, Some(last)) => format!("again, after {last}"),
                    (false, _, None) => "again".into(),
                };
                known.0 = t.at;
                format!("attempt {attempt} to endpoint {endpoint} ({why})")
            }
            DeliveryEvent::AttemptFinished { attempt, endpoint, outcome: ending, elapsed: took, .. } => {
                let text = format!("attempt {attempt} to endpoint {endpoint} ended {ending:?}");
                known.1 = Some(text.clone());
                format!("{text} after {:.0} ms", ms(took))
            }
            DeliveryEvent::Completed { answer, elapsed: after, .. } => match answer {
                FinalAnswer::Rejected { retry_after: come_back } if come_back > 0 => {
                    format!("refused after {:.0} ms, come back in {:.0}", ms(after), ms(come_back))
                }
                answer => format!("{answer:?} after {:.0} ms", ms(after)),
            },
            DeliveryEvent::ClientCancelled { .. } => "withdrawn: its client is gone".into(),
            _ => continue,
        };
        lines.push((t.at, 2, format!("courier {}: {text}", t.courier)));
    }
    for s in &records.stalls {
        if records
            .submissions
            .iter()
            .any(|h| h.message == message && (h.courier, h.incarnation) == (s.courier, s.incarnation))
        {
            lines.push((
                s.from,
                1,
                format!("courier {}: stands still for {:.0} ms", s.courier, ms(s.until - s.from)),
            ));
        }
    }
    lines.sort_by_key(|l| (l.0, l.1));
    let (first, destination) = (planned.at, planned.destination);
    let mut text = format!(
        "message {message}: {} for destination {destination} ({}), key {:?}, aim {:.0} ms, deadline {:.0} ms\n",
        class.name,
        fleet.scenario.kind[fleet.destinations[destination as usize].kind].name,
        planned.key,
        class.aim_s * 1e3,
        class.deadline_s * 1e3
    );
    for (at, _, line) in lines {
        let since = (at as f64 - first as f64) / 1e6;
        let _ = writeln!(text, "{:>11.3} ms {since:>+11.3}  {line}", ms(at));
    }
    Ok(text)
}
