//! The outcome of the conformance checks.

use serde::Serialize;

/// How many violations of a rule get a description; further ones are only counted.
const MAX_EXAMPLES: usize = 5;

/// The outcome of the check of one rule.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantResult {
    /// The number and title of the rule.
    pub rule: &'static str,
    /// How many cases the rule applied to. With none, the run did not exercise the rule.
    pub checked: u64,
    /// How many of the checked cases violated the rule.
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
    /// Distinct messages; a resubmission by the client is not counted again.
    pub messages: u64,
    /// Messages served within the latency objective, counted from the first submission.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Messages served after the latency objective.
    pub late: u64,
    /// Messages that were never served and whose last answer was a rejection.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Messages that were never served and whose last answer was a failure.
    pub failed: u64,
    /// Idempotent messages that were never answered, though their client was free to submit them again.
    pub lost: u64,
    /// Messages that were never answered and are not idempotent: the client must not submit them again, and
    /// whether they were executed is unknown.
    pub unknown: u64,
    /// Submissions, including resubmissions by clients.
    #[serde(rename = "tries")]
    pub submissions: u64,
    /// Arrivals at endpoints; each arrival of the same message counts.
    pub attempts: u64,
    /// Sum of the priority weights of all messages.
    #[serde(rename = "asked")]
    pub requested_weight: f64,
    /// Sum of the weights that messages had when they were served
    /// ([`Class::weight_at`](crate::Class::weight_at)).
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
    /// The lowest ratio of delivered to requested weight in any interval of 10 s, at most 1. A message
    /// belongs to the interval of its first submission.
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
