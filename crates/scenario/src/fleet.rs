//! A fleet drawn from a day and a seed: members, settings, messages. The same seed draws the same.

use crate::day::{Class, FaultKind, IdempotencyKind, Scenario};
use linnetcart_conformance::{self as rules, Idempotency, Invariants, Time};
use linnetcart_endpoint_model::{
    ClassWork, DestinationKind, EndpointSimulator, RecoveryModel, RetryAfterRange, SimulatedDestination,
    SimulatedEndpoint,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How a day is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timebase {
    /// On sockets: clocks, loops and travel on a machine add to the figures of the rules.
    Sockets,
    /// In virtual time: they add what the emulated network and hosts take, and no more.
    Emulated,
}

impl Timebase {
    fn travel(self) -> Time {
        match self {
            Timebase::Sockets => 60_000_000,
            Timebase::Emulated => 8_000_000,
        }
    }
}

/// A message that is to be handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMessage {
    /// When.
    pub at: Time,
    /// Its class.
    pub class: u8,
    /// Its destination.
    pub destination: u32,
    /// Its key.
    pub key: Option<u64>,
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The day that it was drawn from.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// Destinations.
    pub destinations: Vec<SimulatedDestination>,
    /// Messages in the order of their times.
    pub messages: Vec<PlannedMessage>,
    /// Calls a second that all limits let through.
    pub full_load: f64,
}

/// Seconds as nanoseconds.
pub fn seconds(s: f64) -> Time {
    (s * 1e9) as Time
}

/// Milliseconds as nanoseconds.
pub fn millis(ms: f64) -> Time {
    (ms * 1e6) as Time
}

fn draw(rng: &mut ChaCha8Rng, [least, most]: [f64; 2]) -> f64 {
    least + rng.random::<f64>() * (most - least)
}

fn repeat(c: &Class) -> Idempotency {
    match c.repeat {
        IdempotencyKind::Idempotent => Idempotency::Idempotent,
        IdempotencyKind::Keyed => {
            Idempotency::Keyed { dedup_window: seconds(c.window_s), per_zone: c.by_zone }
        }
        IdempotencyKind::NotIdempotent => Idempotency::NotIdempotent,
    }
}

impl Fleet {
    /// Draws a fleet.
    pub fn draw(day: Scenario, seed: u64) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut members = Vec::new();
        let mut endpoint = 0;
        for (kind, k) in day.kind.iter().enumerate() {
            for _ in 0..k.destinations {
                let count = rng.random_range(k.endpoints[0]..=k.endpoints[1]);
                let endpoints = (0..count).map(|_| {
                    endpoint += 1;
                    SimulatedEndpoint { endpoint, zone: rng.random_range(0..day.zones.len()) as u8 }
                });
                let endpoints = endpoints.collect();
                let rate = draw(&mut rng, k.rate);
                let pace = LogNormal::new(0.0, 0.3).map_or(1.0, |d| d.sample(&mut rng));
                members.push(SimulatedDestination {
                    destination: members.len() as u32,
                    kind,
                    rate,
                    endpoints,
                    service_time_factor: pace,
                });
            }
        }
        let mut fleet =
            Fleet { scenario: day, seed, destinations: members, messages: Vec::new(), full_load: 0.0 };
        fleet.full_load = fleet.destinations.iter().map(|m| fleet.limit(m)).sum();
        fleet.messages = fleet.traffic(&mut rng);
        fleet
    }

    /// Calls a second that a destination takes over all its routes.
    fn limit(&self, m: &SimulatedDestination) -> f64 {
        let routes = if self.scenario.kind[m.kind].routes_apart { m.endpoints.len() } else { 1 };
        m.rate * routes as f64
    }

    /// Messages: at random times, with clumps, sudden load and hot destinations as the day has them.
    fn traffic(&self, rng: &mut ChaCha8Rng) -> Vec<PlannedMessage> {
        let day = &self.scenario;
        let mut all = Vec::new();
        let weights: Vec<f64> =
            self.destinations.iter().map(|m| self.limit(m) * draw(rng, [0.7, 1.3])).collect();
        let sum: f64 = weights.iter().sum();
        let mut large: Vec<usize> = (0..weights.len()).collect();
        large.sort_by(|&a, &b| weights[b].total_cmp(&weights[a]));
        let rate = self.full_load * day.traffic.load;
        let pick = |rng: &mut ChaCha8Rng| {
            let mut at = rng.random::<f64>() * sum;
            weights.iter().position(|w| {
                at -= w;
                at < 0.0
            })
        };
        let mut push = |rng: &mut ChaCha8Rng, at: f64, destination: usize| {
            let mut share = rng.random::<f64>() * day.class.iter().map(|c| c.share).sum::<f64>();
            let class = day.class.iter().position(|c| {
                share -= c.share;
                share < 0.0
            });
            let class = class.unwrap_or(0);
            let ordered = day.class[class].ordered && day.traffic.keys > 0;
            let key = ordered.then(|| u64::from(rng.random_range(0..day.traffic.keys)) + 1);
            all.push(PlannedMessage {
                at: seconds(at),
                class: class as u8,
                destination: destination as u32,
                key,
            });
        };
        // Exponential distances at the highest rate, thinned to the rate of the moment.
        let factor = |at: f64| -> f64 {
            let now = |t: &&crate::day::FaultSpec| {
                t.what == FaultKind::SuddenLoad && at >= t.at && at < t.at + t.lasts
            };
            day.trouble.iter().filter(now).map(|t| t.size).product()
        };
        let most = day
            .trouble
            .iter()
            .filter(|t| t.what == FaultKind::SuddenLoad)
            .map(|t| t.size.max(1.0))
            .product::<f64>();
        let clumped = day.traffic.clumps.clamp(0.0, 0.95);
        if let Ok(gap) = Exp::new((rate * most).max(1e-9)) {
            let mut at = gap.sample(rng);
            while at < day.seconds {
                if rng.random::<f64>() * most < factor(at) * (1.0 - clumped) {
                    let hot = |t: &&crate::day::FaultSpec| {
                        t.what == FaultKind::HotDestinations && at >= t.at && at < t.at + t.lasts
                    };
                    let hot = day.trouble.iter().find(hot);
                    let destination = match hot {
                        Some(t) if rng.random::<f64>() < t.size => {
                            let among = (t.extra.max(1.0) as usize).min(large.len());
                            Some(large[rng.random_range(0..among)])
                        }
                        _ => pick(rng),
                    };
                    push(rng, at, destination.unwrap_or(0));
                }
                at += gap.sample(rng);
            }
        }
        // Clumps: each as large as its destination takes in some seconds.
        let mut left = rate * day.seconds * clumped;
        while left >= 1.0 {
            let destination = pick(rng).unwrap_or(0);
            let size = (self.limit(&self.destinations[destination]) * day.traffic.clump_s).max(1.0);
            let at = rng.random::<f64>() * day.seconds;
            for _ in 0..(size.min(left).max(1.0) as usize) {
                let later = rng.random::<f64>() * day.traffic.clump_s * 0.05;
                push(rng, (at + later).min(day.seconds), destination);
            }
            left -= size.max(1.0);
        }
        all.sort_by_key(|m| m.at);
        all
    }

    /// Destinations that together get about this share of the traffic, drawn by `salt`.
    pub fn struck(&self, part: f64, salt: u64) -> Vec<u32> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut order: Vec<usize> = (0..self.destinations.len()).collect();
        order.shuffle(&mut rng);
        let mut got = 0.0;
        let mut out = Vec::new();
        for n in order {
            if got >= part * self.full_load {
                break;
            }
            got += self.limit(&self.destinations[n]);
            out.push(self.destinations[n].destination);
        }
        out
    }

    /// The figures of the rules and classes for the checks.
    pub fn invariants(&self, way: Timebase) -> Invariants {
        let r = &self.scenario.rules;
        let slow = |t: &crate::day::FaultSpec| (t.what == FaultKind::LinksSlow).then(|| millis(t.size));
        let slow: Time = self.scenario.trouble.iter().filter_map(slow).sum();
        let class = |c: &Class| rules::Class {
            name: c.name.clone(),
            latency_objective: seconds(c.aim_s),
            deadline: seconds(c.deadline_s),
            priority_weight: c.worth,
            late_weight: c.late_worth,
            idempotency: repeat(c),
            ordered: c.ordered,
        };
        Invariants {
            classes: self.scenario.class.iter().map(class).collect(),
            halves: false,
            answer_grace: millis(r.answer_slack_ms),
            drain_grace: millis(r.drain_grace_ms),
            key_cooldown: millis(r.key_rest_ms),
            overload_ratio: r.fall_multiple,
            overload_window: seconds(r.fall_span_s),
            timing_tolerance: way.travel(),
            extra_link_delay: slow,
        }
    }

    /// The members as a model.
    pub fn endpoint_simulator(&self) -> EndpointSimulator {
        let kind = |k: &crate::day::Kind| DestinationKind {
            name: k.name.clone(),
            limit: k.limit,
            rejected_calls_count: k.refused_count,
            retry_after_probability: k.tells_wait,
            retry_after: RetryAfterRange { shortest: millis(k.wait_ms[0]), longest: millis(k.wait_ms[1]) },
            capacity_ratio: k.spare,
            longest_queue: millis(k.depth_ms),
            service_time_variation: k.cv,
            max_connections: k.connections,
            independent_routes: k.routes_apart,
            max_messages_per_call: k.per_call as usize,
            additional_message_work: k.item_cost,
            load_report_interval: millis(k.report_ms),
        };
        let class = |c: &Class| ClassWork { service_time: millis(c.service_ms), idempotency: repeat(c) };
        let r = &self.scenario.rules;
        // A courier is told less than a destination takes: the model is somewhat stronger than the contract.
        let returns = RecoveryModel {
            slow_start_ratio: r.cold_share * 1.1,
            slow_start_duration: seconds(r.warm_after_s),
            overload_ratio: r.fall_multiple,
            overload_window: seconds(r.fall_span_s),
        };
        EndpointSimulator::new(
            self.scenario.kind.iter().map(kind).collect(),
            self.scenario.class.iter().map(class).collect(),
            returns,
            self.destinations.clone(),
            self.seed ^ 0x5eed,
        )
    }

    /// The settings of a courier.
    pub fn settings(&self, me: u32) -> Value {
        let day = &self.scenario;
        let (c, r) = (&day.courier, &day.rules);
        let part = self.full_load / f64::from(day.couriers);
        let share: f64 = day.class.iter().map(|c| c.share).sum();
        let service: f64 = day.class.iter().map(|c| c.share / share * c.service_ms / 1e3).sum();
        let slots = ((part * service * c.slots_room).ceil() as u32).max(c.least_slots);
        let held = ((part * c.hold_s).ceil() as u32).max(c.least_held);
        let class = |c: &Class| {
            let repeat = match c.repeat {
                IdempotencyKind::Idempotent => json!("safe"),
                IdempotencyKind::NotIdempotent => json!("unsafe"),
                IdempotencyKind::Keyed => {
                    json!({"keyed": {"window_ms": (c.window_s * 1e3) as u64, "by_zone": c.by_zone}})
                }
            };
            json!({
                "name": c.name, "aim_ms": (c.aim_s * 1e3) as u64, "deadline_ms": (c.deadline_s * 1e3) as u64,
                "worth": c.worth, "late_worth": c.late_worth, "repeat": repeat, "ordered": c.ordered,
            })
        };
        let kind = |k: &crate::day::Kind| json!({"name": k.name, "routes_apart": k.routes_apart, "per_call": k.per_call});
        json!({
            "deployment": day.name,
            "courier": {"me": me, "of": day.couriers, "zone": day.zones[me as usize % day.zones.len()]},
            "zones": day.zones,
            "classes": day.class.iter().map(class).collect::<Vec<_>>(),
            "kinds": day.kind.iter().map(kind).collect::<Vec<_>>(),
            "limits": {"slots": slots, "held": held, "attempts": c.attempts},
            "allow": {"come_back_ms": 3000},
            "connections": {
                "calls": 1, "idle_ms": ((c.idle_s * 1e3) as u64).max(1), "connect_timeout_ms": c.connect_ms as u64,
            },
            "rules": {
                "answer_slack_ms": r.answer_slack_ms as u64, "cold_share": r.cold_share,
                "warm_after_ms": (r.warm_after_s * 1e3) as u64, "fall_multiple": r.fall_multiple,
                "fall_span_ms": (r.fall_span_s * 1e3) as u64, "key_rest_ms": r.key_rest_ms as u64,
            },
            "clocks": {"apart_ms": day.clients.clocks_ms.ceil() as u64},
            "rates": if day.list.rates { "exact" } else { "untold" },
            "tick_us": (c.tick_ms * 1e3) as u64,
        })
    }

    /// What there is of everything, in a line.
    pub fn about(&self) -> String {
        let endpoints: usize = self.destinations.iter().map(|m| m.endpoints.len()).sum();
        format!(
            "{} couriers, {} destinations with {endpoints} endpoints, {} messages, {} troubles",
            self.scenario.couriers,
            self.destinations.len(),
            self.messages.len(),
            self.scenario.trouble.len()
        )
    }

    /// The seed of a courier's decisions, in one of its lives.
    pub fn courier_seed(&self, courier: u32, life: u32) -> u64 {
        self.seed ^ (u64::from(courier) << 32) ^ u64::from(life)
    }

    /// How far a wall clock is ahead of the right time, less where it is behind: any two differ by no more than
    /// the day says.
    pub fn clock_off(&self, rng: &mut impl Rng) -> i64 {
        let most = millis(self.scenario.clients.clocks_ms / 2.0) as i64;
        rng.random_range(-most..=most)
    }

    /// The topics, by class.
    pub fn topics(&self) -> Vec<String> {
        self.scenario.class.iter().map(|c| c.name.clone()).collect()
    }

    /// For each destination its kind's name and rate, as the list tells them.
    pub fn listed(&self) -> BTreeMap<u32, (String, f64)> {
        let each =
            |m: &SimulatedDestination| (m.destination, (self.scenario.kind[m.kind].name.clone(), m.rate));
        self.destinations.iter().map(each).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_draws_the_same_and_another_does_not() {
        let draw = |seed| {
            let f = Fleet::draw(Scenario::find("bad-day").unwrap(), seed);
            (f.destinations, f.messages)
        };
        assert_eq!(draw(3), draw(3));
        assert_ne!(draw(3), draw(4));
    }

    #[test]
    fn traffic_is_as_heavy_as_the_day_says() {
        let fleet = Fleet::draw(Scenario::find("quiet").unwrap(), 1);
        let asked = fleet.full_load * fleet.scenario.traffic.load * fleet.scenario.seconds;
        let got = fleet.messages.len() as f64;
        assert!((got / asked - 1.0).abs() < 0.15, "{got} of {asked}");
        assert!(fleet.messages.windows(2).all(|w| w[0].at <= w[1].at));
    }

    #[test]
    fn the_settings_are_taken_by_the_edge() {
        for (name, _) in crate::day::BUILT_IN {
            for speed in [1.0, 4.0] {
                let fleet = Fleet::draw(Scenario::find(name).unwrap().faster(speed), 1);
                let settings =
                    linnetcart_edge::settings::Settings::parse(fleet.settings(0).to_string().as_bytes());
                settings.unwrap_or_else(|e| panic!("{name} at {speed}: {e}"));
            }
        }
    }
}
