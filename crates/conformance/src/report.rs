//! The outcome of the conformance checks.

use serde::Serialize;

/// How many violations of a rule are described in words; further ones are only counted.
const MAX_EXAMPLES: usize = 5;

/// The outcome of the check of one rule.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantResult {
    /// The number and title of the rule.
    pub rule: &'static str,
    /// How many cases the rule applied to. A rule without cases was not tested.
    pub checked: u64,
    /// How many of these cases violated the rule.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

/// Whether one case satisfied its rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CaseOutcome {
    Satisfied,
    Violated,
}

impl CaseOutcome {
    /// Returns `Satisfied` exactly if `condition` holds.
    pub(crate) fn satisfied_if(condition: bool) -> CaseOutcome {
        if condition {
            CaseOutcome::Satisfied
        } else {
            CaseOutcome::Violated
        }
    }
}

impl InvariantResult {
    pub(crate) fn new(rule: &'static str) -> Self {
        InvariantResult { rule, checked: 0, violations: 0, examples: Vec::new() }
    }

    /// Counts a case. `describe` is called only for a violation that becomes an example.
    pub(crate) fn record(&mut self, outcome: CaseOutcome, describe: impl FnOnce() -> String) {
        self.checked += 1;
        if outcome == CaseOutcome::Satisfied {
            return;
        }
        self.violations += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(describe());
        }
    }
}

/// How the messages of one class ended. Each message counts once, however often its client submitted it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassSummary {
    /// The name of the class.
    pub class: String,
    /// Messages, not counting retries by clients.
    pub messages: u64,
    /// Messages served within the latency objective, counted from the first submission.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Messages served after the latency objective.
    pub late: u64,
    /// Messages whose last answer was a rejection.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Messages whose last answer was a failure.
    pub failed: u64,
    /// Idempotent messages without an answer: the client could have submitted them again, and their time ran
    /// out.
    pub lost: u64,
    /// Other messages without an answer: the client must not submit them again, and whether they were
    /// executed is unknown.
    pub unknown: u64,
    /// Submissions, including retries by clients.
    #[serde(rename = "tries")]
    pub submissions: u64,
    /// Arrivals at endpoints; a message that arrived several times counts each time.
    pub attempts: u64,
    /// Sum of the priority weights of all messages.
    #[serde(rename = "asked")]
    pub requested_weight: f64,
    /// Sum of the weights that messages had when they were served.
    #[serde(rename = "worth")]
    pub delivered_weight: f64,
}

/// The outcome of all checks of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The results of the six rules, in order.
    pub rules: Vec<InvariantResult>,
    /// The summaries of the classes, by class number.
    pub classes: Vec<ClassSummary>,
    /// Delivered weight divided by requested weight, over all classes.
    pub service: f64,
    /// The lowest such ratio over the messages first submitted within one ten-second interval.
    pub worst_stretch: f64,
    /// Calls that endpoints rejected.
    #[serde(rename = "calls_refused")]
    pub rejected_calls: u64,
    /// Calls that reached an endpoint.
    pub calls: u64,
}

impl Report {
    /// Returns whether no rule was violated.
    pub fn is_conformant(&self) -> bool {
        self.rules.iter().all(|result| result.violations == 0)
    }
}
