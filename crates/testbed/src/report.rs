//! Tables for the terminal and JSON for files.

use linnetcart_conformance::Report;
use serde_json::{json, Value};
use std::fmt::Write;

/// What became of the classes, and the rules.
pub fn table(report: &Report) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<18}{:>9}{:>9}{:>7}{:>9}{:>8}{:>7}{:>9}{:>9}{:>10}",
        "class", "messages", "in aim", "late", "refused", "failed", "lost", "unknown", "attempts", "worth"
    );
    for r in &report.classes {
        let _ = writeln!(
            out,
            "{:<18}{:>9}{:>9}{:>7}{:>9}{:>8}{:>7}{:>9}{:>9}{:>9.1}%",
            r.class,
            r.messages,
            r.in_aim,
            r.late,
            r.refused,
            r.failed,
            r.lost,
            r.unknown,
            r.attempts,
            100.0 * r.worth / r.asked.max(1e-9)
        );
    }
    let _ = writeln!(
        out,
        "served worth {:.3}, worst ten seconds {:.3}; {} calls reached endpoints, {} of them refused",
        report.service, report.worst_stretch, report.calls, report.calls_refused
    );
    let _ = writeln!(out, "\n{:<54}{:>10}{:>8}", "rule", "checked", "broken");
    for f in &report.rules {
        let _ = writeln!(out, "{:<54}{:>10}{:>8}", f.rule, f.checked, f.broken);
        for e in &f.examples {
            let _ = writeln!(out, "    {e}");
        }
    }
    out
}

/// Several policies beside each other.
pub fn beside(all: &[(String, Report)]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<14}{:>14}{:>12}{:>10}{:>10}{:>14}",
        "policy", "served worth", "worst 10 s", "calls", "refused", "rules broken"
    );
    for (name, r) in all {
        let broken: Vec<&str> =
            r.rules.iter().filter(|f| f.broken > 0).map(|f| f.rule.split(' ').next().unwrap_or("")).collect();
        let broken = if broken.is_empty() { "none".into() } else { broken.join(" ") };
        let _ = writeln!(
            out,
            "{name:<14}{:>14.3}{:>12.3}{:>10}{:>10}{broken:>14}",
            r.service, r.worst_stretch, r.calls, r.calls_refused
        );
    }
    out
}

/// As JSON.
pub fn json(day: &str, seed: u64, all: &[(String, Report)]) -> Value {
    let each: Vec<Value> = all.iter().map(|(policy, r)| json!({"policy": policy, "report": r})).collect();
    json!({"day": day, "seed": seed, "runs": each})
}
