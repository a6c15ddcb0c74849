//! Renders the reports of the conformance checks as tables for the terminal and as JSON.

use linnetcart_conformance::{ClassSummary, InvariantResult, Report};
use serde_json::{json, Value};
use std::fmt::Write;

/// The report of a run, and the decision policy of its couriers.
#[derive(Debug)]
pub struct PolicyReport {
    /// The name of the policy.
    pub policy: String,
    /// The results of the conformance checks.
    pub report: Report,
}

/// A table with the outcomes of each class, and one with the checked and broken cases of each rule.
pub fn table(report: &Report) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<18}{:>9}{:>9}{:>7}{:>9}{:>8}{:>7}{:>9}{:>9}{:>10}",
        "class", "messages", "in aim", "late", "refused", "failed", "lost", "unknown", "attempts", "worth"
    );
    for class in &report.classes {
        write_class(&mut text, class);
    }
    let _ = writeln!(
        text,
        "served worth (delivered / requested priority weight) {:.3}, worst ten seconds {:.3}; \
         {} calls reached endpoints, {} of them refused",
        report.service, report.worst_stretch, report.calls, report.rejected_calls
    );
    let _ = writeln!(text, "\n{:<54}{:>10}{:>8}", "rule", "checked", "broken");
    for invariant in &report.rules {
        write_invariant(&mut text, invariant);
    }
    text
}

/// Writes the row of a class. Its last cell is delivered / requested priority weight in percent.
fn write_class(text: &mut String, class: &ClassSummary) {
    let _ = writeln!(
        text,
        "{:<18}{:>9}{:>9}{:>7}{:>9}{:>8}{:>7}{:>9}{:>9}{:>9.1}%",
        class.class,
        class.messages,
        class.within_objective,
        class.late,
        class.rejected,
        class.failed,
        class.lost,
        class.unknown,
        class.attempts,
        100.0 * class.delivered_weight / class.requested_weight.max(1e-9)
    );
}

/// Writes the row of a rule, and below it examples of its broken cases.
fn write_invariant(text: &mut String, invariant: &InvariantResult) {
    let _ = writeln!(text, "{:<54}{:>10}{:>8}", invariant.rule, invariant.checked, invariant.violations);
    for example in &invariant.examples {
        let _ = writeln!(text, "    {example}");
    }
}

/// A table with a row for each policy, to compare runs of the same scenario and seed.
pub fn comparison(reports: &[PolicyReport]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<14}{:>14}{:>12}{:>10}{:>10}{:>14}",
        "policy", "served worth", "worst 10 s", "calls", "refused", "rules broken"
    );
    for PolicyReport { policy, report } in reports {
        let broken = broken_rules(report);
        let _ = writeln!(
            text,
            "{policy:<14}{:>14.3}{:>12.3}{:>10}{:>10}{broken:>14}",
            report.service, report.worst_stretch, report.calls, report.rejected_calls
        );
    }
    text
}

/// The numbers of the broken rules, or `none`. The title of a rule begins with its number.
fn broken_rules(report: &Report) -> String {
    let broken = report.rules.iter().filter(|invariant| invariant.violations > 0);
    let numbers: Vec<&str> = broken.map(|invariant| invariant.rule.split(' ').next().unwrap_or("")).collect();
    if numbers.is_empty() {
        return "none".into();
    }
    numbers.join(" ")
}

/// The reports of several policies on the same scenario and seed as JSON.
pub fn json(scenario: &str, seed: u64, reports: &[PolicyReport]) -> Value {
    let mut runs = Vec::new();
    for PolicyReport { policy, report } in reports {
        runs.push(json!({"policy": policy, "report": report}));
    }
    json!({"day": scenario, "seed": seed, "runs": runs})
}
