//! Days of a bench as scripts: its troubles, their times, parts and sizes, on a fleet of this program's own.

use anyhow::{ensure, Context};
use linnetcart_scenario::scenario::{FaultKind, FaultSpec, Scenario};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct BenchDay {
    length: u64,
    servers: Vec<serde::de::IgnoredAny>,
    balancers: Vec<serde::de::IgnoredAny>,
    troubles: Vec<BenchTrouble>,
}

#[derive(Debug, Deserialize)]
struct BenchTrouble {
    kind: String,
    at: u64,
    len: u64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    extra: f64,
    #[serde(default)]
    on: Vec<u32>,
    #[serde(default)]
    which: u32,
    #[serde(default)]
    how: Option<String>,
}

/// The day, and what of it cannot be played, in words.
pub fn read(text: &str) -> anyhow::Result<(Scenario, Vec<String>)> {
    let bench: BenchDay = serde_json::from_str(text).context("this is no day as the bench draws them")?;
    ensure!(
        !bench.servers.is_empty() && !bench.balancers.is_empty(),
        "the day has no servers or no couriers"
    );
    let mut day = Scenario::find("quiet")?;
    day.name = "bench".into();
    day.about = "Troubles of a bench day.".into();
    day.seconds = bench.length as f64 / 1e6;
    let mut cannot = Vec::new();
    for t in &bench.troubles {
        let share = |of: usize| (t.on.len() as f64 / of.max(1) as f64).clamp(0.0, 1.0);
        let hard = matches!(t.how.as_deref(), Some("silence" | "reset"));
        let of_servers = share(bench.servers.len());
        let of_couriers = share(bench.balancers.len());
        let (what, part, size, extra) = match t.kind.as_str() {
            "fast_errors" if t.extra >= 1.0 => (FaultKind::Shut, of_servers, 0.0, 0.0),
            "fast_errors" => (FaultKind::Errors, of_servers, t.size, 0.0),
            "crash" => (FaultKind::Down, of_servers, 0.0, 0.0),
            "vanish" => (FaultKind::Vanish, of_servers, 0.0, 0.0),
            "hang" => (FaultKind::Silent, of_servers, 0.0, 0.0),
            "slow" => (FaultKind::Slow, of_servers, t.size, 0.0),
            "shared_slow" => (FaultKind::SharedSlow, 1.0, t.size, 0.0),
            "pauses" => (FaultKind::Pauses, of_servers, t.size / 1e3, t.extra.max(1.0)),
            "answer_lost" => (FaultKind::AnswersLost, of_servers, t.size, 0.0),
            "throttle" => (FaultKind::Throttle, of_servers, t.size, 0.0),
            "class_fail" => (FaultKind::ClassFails, of_servers, t.size, f64::from(t.which.min(2))),
            "idle_reap" => (FaultKind::IdleDropped, of_servers, t.size, 0.0),
            "handshake_slow" => {
                (FaultKind::SlowConnect, of_servers, if t.size > 1e3 { t.size / 1e3 } else { t.size }, 0.0)
            }
            "deploy" => {
                (FaultKind::Drains, of_servers.max(0.3), t.size.clamp(0.05, 0.5), t.extra.clamp(1.0, 10.0))
            }
            "preempt" => (FaultKind::Drains, of_servers.max(0.15), 0.25, t.size.clamp(0.3, 4.0)),
            "burst" => (FaultKind::SuddenLoad, 1.0, t.size, 0.0),
            "hot_key" => (FaultKind::HotDestinations, 1.0, t.size, t.extra.max(1.0)),
            "hot_caller" => (FaultKind::UnevenCouriers, of_couriers, (t.size + 1.0 / 3.0).min(1.0), 0.0),
            "discovery_down" => (FaultKind::ListOut, 1.0, 0.0, 0.0),
            "discovery_stale" => {
                (FaultKind::ListLate, 1.0, if t.size > 1e3 { t.size / 1e6 } else { t.size }, 0.0)
            }
            "balancer_crash" => (FaultKind::CouriersKilled, of_couriers, t.len as f64 / 1e6, 0.0),
            "balancer_roll" => (FaultKind::CouriersRolled, of_couriers.max(0.34), t.extra.max(0.5), 0.0),
            "balancer_stall" => {
                let ms = if t.size > 1e4 { t.size / 1e3 } else { t.size };
                (FaultKind::CouriersStall, of_couriers, ms, t.extra.clamp(1.0, 10.0))
            }
            other => {
                cannot.push(format!(
                    "{other} at {:.1} s: there is no such trouble on sockets",
                    t.at as f64 / 1e6
                ));
                continue;
            }
        };
        let (at, lasts) = (t.at as f64 / 1e6, t.len as f64 / 1e6);
        day.trouble.push(FaultSpec { what, at, lasts, part, size, extra, hard });
    }
    day.check()?;
    Ok((day, cannot))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn troubles_keep_their_times_and_parts_and_unknown_ones_are_named() {
        let text = r#"{"length": 50000000, "servers": [1, 2, 3, 4], "balancers": [1, 2], "more": 1, "troubles": [
            {"kind": "hang", "at": 5000000, "len": 8000000, "on": [0, 3]},
            {"kind": "comet", "at": 7000000, "len": 1},
            {"kind": "balancer_crash", "at": 9000000, "len": 3000000, "on": [1]}]}"#;
        let (day, cannot) = read(text).unwrap();
        assert_eq!((day.seconds, day.trouble.len()), (50.0, 2));
        let t = &day.trouble[0];
        assert_eq!((t.what, t.at, t.lasts, t.part), (FaultKind::Silent, 5.0, 8.0, 0.5));
        assert_eq!((day.trouble[1].what, day.trouble[1].size), (FaultKind::CouriersKilled, 3.0));
        assert_eq!(cannot.len(), 1);
        assert!(cannot[0].starts_with("comet at 7.0 s"), "{cannot:?}");
    }
}
