//! A random world around one courier, in virtual time: clients, destinations with their troubles, a list that
//! changes, clocks that stand still. The same seed gives the same world as long as the courier acts the same.

use linnetcart::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const MS: Time = 1_000_000;
const S: Time = 1_000 * MS;

/// How an endpoint behaves for a while.
#[derive(Clone, Copy, Debug)]
enum Mood {
    Serves(Time),
    Errs,
    Full(Time),
    Hangs,
    Resets,
    Refuses,
}

struct Site {
    entry: Endpoint,
    mood: Mood,
    reports: bool,
}

#[derive(Default)]
struct Held {
    live: BTreeSet<u16>,
    attempts: u16,
    over: bool,
    due: Time,
}

/// The world, with what it has under way.
pub struct World {
    random: StdRng,
    pub settings: Settings,
    pub now: Time,
    sites: BTreeMap<u32, Site>,
    dests: u32,
    held: BTreeMap<u32, Held>,
    /// Outcomes under way: when, message, attempt.
    coming: BTreeSet<(Time, u32, u16)>,
    endings: BTreeMap<(u32, u16), (u32, Time, AttemptOutcome)>,
    wake: Time,
    next: u32,
    rate: f64,
    keys: u64,
    trouble: f64,
    /// Sends, cancels, refusals and failures seen.
    pub seen: [u64; 4],
    pub most_held: usize,
    pub most_out: usize,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut random = StdRng::seed_from_u64(seed);
        let r = &mut random;
        let mut class = |repeat, ordered| Class {
            latency_objective: r.random_range(200 * MS..4 * S),
            deadline: r.random_range(4 * S..30 * S),
            priority_weight: r.random_range(1..5).into(),
            late_weight: r.random_range(0.0..0.9),
            idempotency: repeat,
            ordered,
        };
        let classes = vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::Keyed { dedup_window: 8 * S, per_zone: false }, false),
            class(Idempotency::NotIdempotent, false),
            class(Idempotency::Idempotent, true),
            class(Idempotency::Keyed { dedup_window: 5 * S, per_zone: true }, false),
            class(Idempotency::Keyed { dedup_window: 6 * S, per_zone: false }, true),
        ];
        let rates =
            [RateAccuracy::Unspecified, RateAccuracy::Approximate, RateAccuracy::Exact][r.random_range(0..3)];
        let dests = [1, 3, 12, 60][r.random_range(0..4)];
        let settings = Settings {
            courier_count: [1, 3, 40, 500][r.random_range(0..4)],
            classes,
            kinds: vec![
                DestinationKind { independent_routes: false, max_messages_per_call: 1 },
                DestinationKind { independent_routes: true, max_messages_per_call: 1 },
                DestinationKind { independent_routes: false, max_messages_per_call: 3 },
            ],
            weight_halves: r.random(),
            max_in_flight_calls: [2, 16, 100, 1000][r.random_range(0..4)],
            max_in_flight_messages: [30, 1000, 5000][r.random_range(0..3)],
            max_attempts: r.random_range(1..8),
            cancellation_allowed: r.random_bool(0.8),
            hedging_allowed: r.random_bool(0.8),
            max_retry_after: 3 * S,
            calls_per_connection: 1,
            idle_timeout: 10 * S,
            connect_timeout: S,
            slow_start_ratio: 0.2,
            slow_start_duration: 10 * S,
            overload_ratio: 2.0,
            overload_window: r.random_range(S / 2..4 * S),
            key_cooldown: [0, 100 * MS, 2 * S][r.random_range(0..3)],
            endpoint_list_polled: r.random(),
            max_poll_interval: 10 * S,
            rate_accuracy: rates,
            tick: [MS / 5, 5 * MS][r.random_range(0..2)],
            route_fees: vec![0.0, 0.3],
            ..Settings::default()
        };
        let mut world = World {
            rate: [5.0, 40.0, 200.0, 1500.0][r.random_range(0..4)],
            keys: [1, 5, 200][r.random_range(0..3)],
            trouble: [0.0, 0.005, 0.05][r.random_range(0..3)],
            random,
            settings,
            now: S,
            sites: BTreeMap::new(),
            dests,
            held: BTreeMap::new(),
            coming: BTreeSet::new(),
            endings: BTreeMap::new(),
            wake: 0,
            next: 1,
            seen: [0; 4],
            most_held: 0,
            most_out: 0,
        };
        for dest in 0..dests {
            for n in 0..world.random.random_range(1..5) {
                world.site(dest, dest * 10 + n);
            }
        }
        world
    }

    fn site(&mut self, dest: u32, id: u32) {
        let r = &mut self.random;
        let entry = Endpoint {
            id,
            destination: dest,
            kind: (dest % 3) as u8,
            zone: r.random_range(0..2),
            rate: r.random_range(0.0..200.0),
            status: EndpointStatus::Ready,
        };
        let usual = r.random_range(2 * MS..200 * MS);
        self.sites.insert(id, Site { entry, mood: Mood::Serves(usual), reports: r.random_bool(0.3) });
    }

    fn entries(&self) -> Vec<Endpoint> {
        self.sites.values().map(|s| s.entry.clone()).collect()
    }

    /// Some endpoints change their ways, now and then with their destination's others.
    fn moods(&mut self) {
        let r = &mut self.random;
        if !r.random_bool(self.trouble) {
            return;
        }
        let (dest, whole) = (r.random_range(0..self.dests), r.random_bool(0.4));
        let mood = match r.random_range(0..9) {
            0 => Mood::Errs,
            1 => Mood::Full(0),
            2 => Mood::Full(r.random_range(10 * MS..5 * S)),
            3 => Mood::Hangs,
            4 => Mood::Resets,
            5 => Mood::Refuses,
            _ => Mood::Serves(r.random_range(2 * MS..S / 2)),
        };
        for site in self.sites.values_mut().filter(|s| s.entry.destination == dest) {
            if whole || r.random_bool(0.3) {
                site.mood = mood;
            }
        }
    }

    fn list(&mut self, events: &mut Vec<Event>) {
        let r = &mut self.random;
        match r.random_range(0..400) {
            0 => events.push(Event::EndpointList { complete: true, entries: self.entries() }),
            1 => events.push(Event::EndpointListFailed),
            2 | 3 => {
                let nth = r.random_range(0..self.sites.len());
                let Some(site) = self.sites.values_mut().nth(nth) else { return };
                site.entry.status =
                    [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Removed]
                        [r.random_range(0..3)];
                events.push(Event::EndpointList { complete: false, entries: vec![site.entry.clone()] });
            }
            _ => {}
        }
    }

    /// What happens until the next round.
    pub fn events(&mut self) -> Vec<Event> {
        let begins = self.next == 1;
        let r = &mut self.random;
        let step = match r.random_range(0..100) {
            0 if self.trouble > 0.0 => r.random_range(S / 2..3 * S),
            0..60 => r.random_range(self.settings.tick..8 * MS.max(self.settings.tick)),
            _ => self.wake.saturating_sub(self.now).clamp(self.settings.tick, 50 * MS),
        };
        self.now += step;
        let now = self.now;
        let mut events = Vec::new();
        if begins {
            events.push(Event::EndpointList { complete: true, entries: self.entries() });
            self.next += 1;
        }
        self.moods();
        self.list(&mut events);
        while let Some((_, message, attempt)) = self.coming.first().copied().filter(|c| c.0 <= now) {
            self.coming.pop_first();
            let Some((endpoint, sent, ending)) = self.endings.remove(&(message, attempt)) else { continue };
            let Some(held) = self.held.get_mut(&message) else { continue };
            held.live.remove(&attempt);
            held.over |= ending == AttemptOutcome::Served;
            let over = held.over;
            if over && held.live.is_empty() {
                self.held.remove(&message);
            }
            let reports = self.sites.get(&endpoint).is_some_and(|s| s.reports);
            let left = reports.then(|| self.random.random_range(0.0..1.0));
            let limit = reports.then_some(80.0);
            let took = now - sent;
            events.push(Event::AttemptFinished(AttemptResult {
                message,
                attempt,
                endpoint,
                outcome: ending,
                elapsed: took,
                completed: over,
                capacity_left: left,
                rate_limit: limit,
            }));
        }
        let r = &mut self.random;
        let mean = self.rate * step as f64 / S as f64;
        let mut count = mean as u32 + u32::from(r.random_bool(mean.fract()));
        if r.random_bool(0.002) {
            count += r.random_range(1..400);
        }
        for _ in 0..count {
            let class = r.random_range(0..self.settings.classes.len());
            let deadline = self.settings.classes[class].deadline;
            let time_left = if r.random_bool(0.1) { r.random_range(0..deadline) } else { deadline };
            let destination = r.random_range(0..self.dests + 1).min(self.dests);
            let key = r.random_range(0..=self.keys);
            let id = self.next;
            self.next += 1;
            self.held.insert(id, Held { due: now + time_left, ..Held::default() });
            events.push(Event::Accepted(AcceptedMessage {
                id,
                destination,
                class: class as u8,
                time_remaining: time_left,
                ordering_key: key,
                tenant: 0,
            }));
        }
        if r.random_bool(0.02) {
            let open: Vec<u32> = self.held.iter().filter(|(_, h)| !h.over).map(|h| *h.0).collect();
            if !open.is_empty() {
                let message = open[r.random_range(0..open.len())];
                self.close(message);
                events.push(Event::ClientCancelled { message });
            }
        }
        events
    }

    fn close(&mut self, message: u32) {
        let Some(held) = self.held.get_mut(&message) else { return };
        held.over = true;
        if held.live.is_empty() {
            self.held.remove(&message);
        }
    }

    /// The courier's actions, carried out.
    pub fn act(&mut self, actions: &[Action]) {
        let now = self.now;
        for action in actions {
            match *action {
                Action::Send { message, endpoint, .. } => {
                    self.seen[0] += 1;
                    let held = self.held.get_mut(&message).expect("sent for a message that is not held");
                    let attempt = held.attempts;
                    held.attempts += 1;
                    held.live.insert(attempt);
                    let r = &mut self.random;
                    let listed = self.sites.get(&endpoint);
                    let (after, ending) = match listed.map_or(Mood::Refuses, |s| s.mood) {
                        _ if r.random_bool(0.001) => (0, AttemptOutcome::NotSent { no_capacity: r.random() }),
                        Mood::Serves(usual) if r.random_bool(0.01) => (usual * 6, AttemptOutcome::Served),
                        Mood::Serves(usual) => (usual * r.random_range(5..20) / 10, AttemptOutcome::Served),
                        Mood::Errs => (3 * MS, AttemptOutcome::Error),
                        Mood::Full(wait) => (2 * MS, AttemptOutcome::Rejected { retry_after: wait }),
                        Mood::Hangs => (held.due.saturating_sub(now), AttemptOutcome::TimedOut),
                        Mood::Resets => (30 * MS, AttemptOutcome::Reset),
                        Mood::Refuses => (MS, AttemptOutcome::NoConnection),
                    };
                    self.coming.insert((now + after, message, attempt));
                    self.endings.insert((message, attempt), (endpoint, now, ending));
                }
                Action::Cancel { message, attempt } => {
                    self.seen[1] += 1;
                    if let Some(e) = self.endings.get_mut(&(message, attempt)) {
                        e.2 = AttemptOutcome::Cancelled;
                        self.coming.retain(|c| (c.1, c.2) != (message, attempt));
                        self.coming.insert((now + MS, message, attempt));
                    }
                }
                Action::Reject { message, .. } => {
                    self.seen[2] += 1;
                    self.close(message);
                }
                Action::Fail { message } => {
                    self.seen[3] += 1;
                    self.close(message);
                }
                Action::WakeUp { at } => self.wake = at,
                _ => {}
            }
        }
        self.most_held = self.most_held.max(self.held.len());
        self.most_out = self.most_out.max(self.endings.len());
    }
}
