//! Renders a finding: as a script that can be run again, and as text for the terminal.

use super::Finding;
use crate::run_report;
use linnetcart_scenario::scenario::FaultSpec;
use std::fmt::Write;

/// Returns the shrunk scenario as a script (TOML). Comments at the top give the finding and the commands that
/// run the script.
///
/// # Errors
/// Fails if the scenario cannot be encoded as TOML.
pub fn script(finding: &Finding) -> anyhow::Result<String> {
    let recipe = &finding.shrunk;
    let seed = recipe.seed;
    let mut text = String::new();
    let _ = writeln!(text, "# {}", finding.summary);
    let _ = writeln!(text, "# In virtual time: linnetcart-testbed emulate FILE --seed {seed}");
    if recipe.scenario.emulated_only().is_empty() {
        let _ = writeln!(text, "# On sockets:      linnetcart-testbed day FILE --seed {seed}");
    }
    text.push_str(&toml::to_string(&recipe.scenario)?);
    Ok(text)
}

/// Describes the finding, followed by the report of the conformance checks of the shrunk scenario. Runs that
/// scenario once more for the report.
///
/// # Errors
/// Fails if the run fails.
pub fn describe(finding: &Finding) -> anyhow::Result<String> {
    let drawn = &finding.drawn.scenario;
    let shrunk = &finding.shrunk.scenario;
    let mut text = String::new();
    let _ = writeln!(text, "run {}: {}", finding.run, finding.summary);
    let _ = writeln!(
        text,
        "shrunk in {} runs: faults {} -> {}, seconds {:.0} -> {:.0}, couriers {} -> {}",
        finding.shrink_runs,
        drawn.faults.len(),
        shrunk.faults.len(),
        drawn.seconds,
        shrunk.seconds,
        drawn.couriers,
        shrunk.couriers
    );
    for fault in &shrunk.faults {
        write_fault(&mut text, fault);
    }
    let report = finding.shrunk.run_checked()?.report;
    text.push('\n');
    text.push_str(&run_report::table(&report));
    Ok(text)
}

fn write_fault(text: &mut String, fault: &FaultSpec) {
    let FaultSpec { what, at, lasts, part, size, extra, hard } = fault;
    let hard = if *hard { ", hard" } else { "" };
    let _ = writeln!(
        text,
        "  {what:?} at {at:.1} s for {lasts:.1} s, part {part:.2}, size {size:.2}, extra {extra:.2}{hard}"
    );
}
