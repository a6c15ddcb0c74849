//! What the checks found.

use serde::Serialize;

/// How many broken cases of a rule are described.
const MAX_EXAMPLES: usize = 5;

/// What the check of one rule found.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantResult {
    /// The rule.
    pub rule: &'static str,
    /// Cases in which it was at stake.
    pub checked: u64,
    /// Cases in which it was broken.
    pub broken: u64,
    /// The first of these, in words.
    pub examples: Vec<String>,
}

/// Whether a case kept its rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CaseOutcome {
    Kept,
    Broken,
}

impl CaseOutcome {
    /// The case kept its rule exactly if this holds.
    pub(crate) fn kept_if(condition: bool) -> CaseOutcome {
        if condition {
            CaseOutcome::Kept
        } else {
            CaseOutcome::Broken
        }
    }
}

impl InvariantResult {
    pub(crate) fn new(rule: &'static str) -> Self {
        InvariantResult { rule, checked: 0, broken: 0, examples: Vec::new() }
    }

    /// Counts a case; `describe` says what went wrong if it was broken.
    pub(crate) fn record(&mut self, outcome: CaseOutcome, describe: impl FnOnce() -> String) {
        self.checked += 1;
        if outcome == CaseOutcome::Kept {
            return;
        }
        self.broken += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(describe());
        }
    }
}

/// What became of the messages of a class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassSummary {
    /// The class.
    pub class: String,
    /// Messages, retries by clients not counted.
    pub messages: u64,
    /// Served within the latency objective, counted from the first submission.
    pub in_aim: u64,
    /// Served later.
    pub late: u64,
    /// Last answer: rejected.
    pub refused: u64,
    /// Last answer: failed.
    pub failed: u64,
    /// No answer, though a second execution does no harm: its time went by.
    pub lost: u64,
    /// No answer, and the client may not submit it again: nobody can say what became of it.
    pub unknown: u64,
    /// Submissions, first ones counted.
    pub tries: u64,
    /// Messages that reached an endpoint, counted each time.
    pub attempts: u64,
    /// Weight asked for.
    pub asked: f64,
    /// Weight delivered.
    pub worth: f64,
}

/// Rules and classes.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The six rules.
    pub rules: Vec<InvariantResult>,
    /// The classes.
    pub classes: Vec<ClassSummary>,
    /// Weight delivered over weight asked for.
    pub service: f64,
    /// The same for the ten seconds of first submissions in which it was lowest.
    pub worst_stretch: f64,
    /// Calls that were rejected.
    pub calls_refused: u64,
    /// Calls that reached an endpoint.
    pub calls: u64,
}

impl Report {
    /// No rule was broken.
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|result| result.broken == 0)
    }
}
