//! The trace of one message: every step of its client, of the couriers that accepted it and of the endpoints,
//! in time order.

use super::{Recipe, UncheckedRun};
use anyhow::bail;
use linnetcart_conformance::{Arrival, EndpointVerdict, Records, Stall, Submission, Time};
use linnetcart_delivery_events::{DeliveryEvent, FinalAnswer};
use linnetcart_emulator::trace::{DeliveryTrace, TracedEvent};
use linnetcart_scenario::fleet::{Fleet, PlannedMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// The origin of a line. Lines of the same instant are listed in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Actor {
    ClientSubmits,
    StalledCourier,
    Courier,
    EndpointReceives,
    EndpointAnswers,
    ClientIsAnswered,
}

/// One line of the trace.
#[derive(Debug)]
struct TraceLine {
    at: Time,
    actor: Actor,
    text: String,
}

/// One incarnation of a courier process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CourierIncarnation {
    courier: u32,
    incarnation: u32,
}

/// The attempts of the message by one incarnation of a courier so far, from which the reason of the next one
/// is derived.
#[derive(Debug)]
struct AttemptHistory {
    /// When the last attempt started, in nanoseconds since the start of the scenario.
    last_started: Time,
    /// The description of the last attempt that has finished, if any.
    last_finished: Option<String>,
}

/// The lines collected so far, in any order.
#[derive(Debug, Default)]
struct TraceLines {
    lines: Vec<TraceLine>,
    histories: BTreeMap<CourierIncarnation, AttemptHistory>,
}

fn milliseconds(span: Time) -> f64 {
    span as f64 / 1e6
}

/// Repeats a run and describes the lifecycle of one message, every attempt with its reason. Each line has the
/// time since the start of the scenario and the time since the message was due for submission, both in
/// milliseconds.
///
/// # Errors
/// Fails if the run cannot be repeated or has no message of this number.
pub fn trace_message(recipe: &Recipe, message: u64) -> anyhow::Result<String> {
    let UncheckedRun { fleet, run } = recipe.run(Some(DeliveryTrace::of_message(message)))?;
    let Some(planned) = fleet.messages.get(message as usize) else {
        bail!("message {message}: the run has 0 to {}", fleet.messages.len().saturating_sub(1));
    };
    let records = &run.records.records;
    let mut lines = TraceLines::default();
    lines.add_records(records, message);
    for traced in run.trace.into_iter().flat_map(|trace| trace.events) {
        lines.add_event(&traced);
    }
    Ok(heading(&fleet, message, planned) + &lines.into_text(planned.at))
}

fn heading(fleet: &Fleet, message: u64, planned: &PlannedMessage) -> String {
    let class = &fleet.scenario.class[usize::from(planned.class)];
    let destination = planned.destination;
    let kind = fleet.destinations[destination as usize].kind;
    format!(
        "message {message}: {} for destination {destination} ({}), key {:?}, \
         latency objective {:.0} ms, deadline {:.0} ms\n",
        class.name,
        fleet.scenario.kind[kind].name,
        planned.key,
        class.latency_objective_s * 1e3,
        class.deadline_s * 1e3
    )
}

impl TraceLines {
    fn add(&mut self, at: Time, actor: Actor, text: String) {
        self.lines.push(TraceLine { at, actor, text });
    }

    /// Adds the records of clients and endpoints about the message, and the stalls of the couriers that it
    /// was submitted to.
    fn add_records(&mut self, records: &Records, message: u64) {
        let mut couriers = BTreeSet::new();
        for submission in records.submissions.iter().filter(|submission| submission.message == message) {
            let Submission { courier, incarnation, .. } = *submission;
            couriers.insert(CourierIncarnation { courier, incarnation });
            self.add_submission(submission);
        }
        for arrival in records.arrivals.iter().filter(|arrival| arrival.message == message) {
            self.add_arrival(arrival);
        }
        for stall in &records.stalls {
            let Stall { courier, incarnation, .. } = *stall;
            if couriers.contains(&CourierIncarnation { courier, incarnation }) {
                self.add_stall(stall);
            }
        }
    }

    fn add_submission(&mut self, submission: &Submission) {
        let courier = submission.courier;
        let incarnation = submission.incarnation;
        let remaining = milliseconds(submission.deadline - submission.at);
        let text = format!(
            "client: handed to courier {courier} (incarnation {incarnation}), {remaining:.0} ms left"
        );
        self.add(submission.at, Actor::ClientSubmits, text);
        for client_answer in &submission.answers {
            let answer = client_answer.answer;
            let text = format!("client: answered {answer:?} by courier {courier}");
            self.add(client_answer.at, Actor::ClientIsAnswered, text);
        }
        if let Some(at) = submission.orphaned {
            let text = format!("client: its connection to courier {courier} broke");
            self.add(at, Actor::ClientIsAnswered, text);
        }
    }

    fn add_arrival(&mut self, arrival: &Arrival) {
        let verdict = match arrival.verdict {
            EndpointVerdict::Served => "will serve it".into(),
            EndpointVerdict::Error => "will answer an error".into(),
            EndpointVerdict::Unanswered => "will not answer".into(),
            EndpointVerdict::Rejected { retry_after } => {
                format!("will reject it, Retry-After {:.0} ms", milliseconds(retry_after))
            }
        };
        let effect = if arrival.effect { ", it takes effect" } else { "" };
        let Arrival { endpoint, call, courier, .. } = arrival;
        let text = format!("endpoint {endpoint}: call {call} of courier {courier}: {verdict}{effect}");
        self.add(arrival.at, Actor::EndpointReceives, text);
        if let Some(at) = arrival.answered {
            let text = format!("endpoint {endpoint}: call {call} answered");
            self.add(at, Actor::EndpointAnswers, text);
        }
    }

    fn add_stall(&mut self, stall: &Stall) {
        let duration = milliseconds(stall.until - stall.from);
        let text = format!("courier {}: stalled for {duration:.0} ms", stall.courier);
        self.add(stall.from, Actor::StalledCourier, text);
    }

    fn add_event(&mut self, traced: &TracedEvent) {
        let key = CourierIncarnation { courier: traced.courier, incarnation: traced.incarnation };
        let new_history = AttemptHistory { last_started: traced.at, last_finished: None };
        let history = self.histories.entry(key).or_insert(new_history);
        if let Some(text) = history.describe(traced) {
            self.add(traced.at, Actor::Courier, format!("courier {}: {text}", traced.courier));
        }
    }

    fn into_text(mut self, planned_at: Time) -> String {
        self.lines.sort_by_key(|line| (line.at, line.actor));
        let mut text = String::new();
        for line in self.lines {
            let since_planned = (line.at as f64 - planned_at as f64) / 1e6;
            let _ =
                writeln!(text, "{:>11.3} ms {since_planned:>+11.3}  {}", milliseconds(line.at), line.text);
        }
        text
    }
}

impl AttemptHistory {
    /// Describes a courier's event and updates the history. Returns `None` for events that are not about a
    /// message.
    fn describe(&mut self, traced: &TracedEvent) -> Option<String> {
        match &traced.event {
            DeliveryEvent::Accepted { .. } => Some("taken".into()),
            DeliveryEvent::AttemptStarted { attempt, endpoint, hedge, .. } => {
                let reason = if *hedge { self.hedge_reason(traced.at) } else { self.retry_reason(*attempt) };
                self.last_started = traced.at;
                Some(format!("attempt {attempt} to endpoint {endpoint} ({reason})"))
            }
            DeliveryEvent::AttemptFinished { attempt, endpoint, outcome, elapsed, .. } => {
                let text = format!("attempt {attempt} to endpoint {endpoint} ended {outcome:?}");
                self.last_finished = Some(text.clone());
                Some(format!("{text} after {:.0} ms", milliseconds(*elapsed)))
            }
            DeliveryEvent::Completed { answer, elapsed, .. } => Some(describe_answer(answer, *elapsed)),
            DeliveryEvent::ClientCancelled { .. } => Some("cancelled: its client disconnected".into()),
            _ => None,
        }
    }

    fn hedge_reason(&self, now: Time) -> String {
        let in_flight = milliseconds(now - self.last_started);
        format!("hedge: the last attempt has been in flight for {in_flight:.0} ms")
    }

    /// Returns the reason of an attempt that is not a hedge; attempt 0 is the first one.
    fn retry_reason(&self, attempt: u16) -> String {
        if attempt == 0 {
            return "the first".into();
        }
        match &self.last_finished {
            Some(last) => format!("again, after {last}"),
            None => "again".into(),
        }
    }
}

fn describe_answer(answer: &FinalAnswer, elapsed: Time) -> String {
    let elapsed = milliseconds(elapsed);
    match answer {
        FinalAnswer::Rejected { retry_after } if *retry_after > 0 => {
            let retry_after = milliseconds(*retry_after);
            format!("rejected after {elapsed:.0} ms, Retry-After {retry_after:.0} ms")
        }
        answer => format!("{answer:?} after {elapsed:.0} ms"),
    }
}
