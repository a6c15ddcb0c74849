//! Policies to compare with: what a courier without the decision library would do. They are no part of the
//! product.

use linnetcart::{Action, AttemptOutcome, EndpointStatus, Event, Idempotency, Settings, Time};
use linnetcart_edge::core::{library, DecisionPolicy, PolicyFactory};
use std::collections::{BTreeMap, BTreeSet};

/// Names of the policies, the library's first.
pub const NAMES: [&str; 3] = ["library", "one-try", "round-robin"];

/// The policy of this name.
pub fn policy(name: &str) -> Option<PolicyFactory> {
    Some(match name {
        "library" => library,
        "one-try" => |set, _| Box::new(Plain::new(set, false)),
        "round-robin" => |set, _| Box::new(Plain::new(set, true)),
        _ => return None,
    })
}

/// First distance of two tries; it doubles with each.
const BACKOFF: Time = 100_000_000;

#[derive(Debug)]
struct Msg {
    destination: u32,
    class: usize,
    due: Time,
    attempts: u32,
    /// Since when it may have run.
    ran: Option<Time>,
    live: bool,
    not_before: Time,
    key: u64,
}

/// Sends each message round robin over the endpoints of its destination, first come first served, one attempt
/// at a time; with `again`, further tries as its class allows.
#[derive(Debug)]
struct Plain {
    set: Settings,
    again: bool,
    endpoints: BTreeMap<u32, (u32, EndpointStatus)>,
    turn: BTreeMap<u32, usize>,
    msgs: BTreeMap<u32, Msg>,
    queue: BTreeSet<(u64, u32)>,
    places: BTreeMap<u32, u64>,
    busy: BTreeMap<u64, u32>,
    seq: u64,
    out: u32,
}

impl Plain {
    fn new(set: Settings, again: bool) -> Self {
        Plain {
            set,
            again,
            endpoints: BTreeMap::new(),
            turn: BTreeMap::new(),
            msgs: BTreeMap::new(),
            queue: BTreeSet::new(),
            places: BTreeMap::new(),
            busy: BTreeMap::new(),
            seq: 0,
            out: 0,
        }
    }

    fn forget(&mut self, id: u32) {
        if let Some(m) = self.msgs.remove(&id) {
            if self.busy.get(&m.key) == Some(&id) {
                self.busy.remove(&m.key);
            }
        }
        if let Some(place) = self.places.remove(&id) {
            self.queue.remove(&(place, id));
        }
    }

    fn give_up(&mut self, id: u32, actions: &mut Vec<Action>) {
        let Some(m) = self.msgs.get(&id) else { return };
        let repeat = self.set.classes[m.class].idempotency;
        let harmless = matches!(repeat, Idempotency::Idempotent | Idempotency::Keyed { per_zone: false, .. });
        actions.push(match harmless || (m.ran.is_none() && !m.live) {
            true => Action::Reject { message: id, retry_after: 0 },
            false => Action::Fail { message: id },
        });
        self.forget(id);
    }

    fn may_again(&self, m: &Msg, now: Time) -> bool {
        let allowed = match (self.set.classes[m.class].idempotency, m.ran) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::Keyed { dedup_window: window, per_zone: by_zone }, Some(at)) => {
                !by_zone && now + self.set.connect_timeout + m.not_before.saturating_sub(now) < at + window
            }
            (Idempotency::NotIdempotent, Some(_)) => false,
        };
        self.again && allowed && m.attempts < self.set.max_attempts
    }

    fn ended(&mut self, o: linnetcart::AttemptResult, now: Time, actions: &mut Vec<Action>) {
        self.out = self.out.saturating_sub(1);
        let Some(m) = self.msgs.get_mut(&o.message) else { return };
        m.live = false;
        let never = o.outcome.not_executed();
        if !never && m.ran.is_none() {
            m.ran = Some(now);
        }
        let wait = if let AttemptOutcome::Rejected { retry_after: wait } = o.outcome { wait } else { 0 };
        m.not_before = now + (BACKOFF << m.attempts.min(6)).max(wait);
        let m = &self.msgs[&o.message];
        if o.completed {
            self.forget(o.message);
        } else if self.may_again(m, now) {
            let place = self.places[&o.message];
            self.queue.insert((place, o.message));
        } else {
            self.give_up(o.message, actions);
        }
    }
}

impl DecisionPolicy for Plain {
    fn decide(&mut self, now: Time, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        for event in events {
            match event {
                Event::EndpointList { complete: whole, entries } => {
                    if whole {
                        self.endpoints.values_mut().for_each(|e| e.1 = EndpointStatus::Removed);
                    }
                    for e in entries {
                        self.endpoints.insert(e.id, (e.destination, e.status));
                    }
                }
                Event::Accepted(t) => {
                    self.seq += 1;
                    let class = usize::from(t.class);
                    let key = if self.set.classes[class].ordered { t.ordering_key } else { 0 };
                    let due = now + t.time_remaining;
                    let m = Msg {
                        destination: t.destination,
                        class,
                        due,
                        attempts: 0,
                        ran: None,
                        live: false,
                        not_before: 0,
                        key,
                    };
                    self.msgs.insert(t.id, m);
                    self.places.insert(t.id, self.seq);
                    self.queue.insert((self.seq, t.id));
                }
                Event::ClientCancelled { message } => self.forget(message),
                Event::AttemptFinished(o) => self.ended(o, now, &mut actions),
                _ => {}
            }
        }
        let late = |m: &Msg| m.due <= now + 2 * self.set.tick;
        let late: Vec<u32> = self.msgs.iter().filter(|(_, m)| late(m)).map(|(&id, _)| id).collect();
        late.into_iter().for_each(|id| self.give_up(id, &mut actions));
        for (place, id) in self.queue.clone() {
            if self.out >= self.set.max_in_flight_calls {
                break;
            }
            let Some(m) = self.msgs.get(&id) else { continue };
            let key = m.key;
            if m.not_before > now || (key != 0 && self.busy.get(&key).is_some_and(|&x| x != id)) {
                continue;
            }
            let destination = m.destination;
            let of =
                |e: &(&u32, &(u32, EndpointStatus))| e.1 .0 == destination && e.1 .1 == EndpointStatus::Ready;
            let ready: Vec<u32> = self.endpoints.iter().filter(of).map(|(&id, _)| id).collect();
            if ready.is_empty() {
                continue;
            }
            let turn = self.turn.entry(destination).or_default();
            *turn += 1;
            let endpoint = ready[*turn % ready.len()];
            if let Some(m) = self.msgs.get_mut(&id) {
                m.attempts += 1;
                m.live = true;
            }
            if key != 0 {
                self.busy.insert(key, id);
            }
            self.queue.remove(&(place, id));
            self.out += 1;
            actions.push(Action::Send { message: id, endpoint, until: 0 });
        }
        let dues = self.msgs.values().map(|m| m.due - 2 * self.set.tick);
        let tries = self.queue.iter().filter_map(|(_, id)| self.msgs.get(id)).map(|m| m.not_before);
        if let Some(at) = dues.chain(tries.filter(|&t| t > now)).min() {
            actions.push(Action::WakeUp { at: at.max(now + 1) });
        }
        actions
    }
}
