//! Clients: what they hand in and how they take the answers. They know what they sent and what they were told,
//! and nothing of what ran.

use super::*;
use crate::day::IdempotencyKind;

/// The client id in the requests of the simulated producers. It is on the wire and in the digests of runs, so it
/// keeps the name that the program had first.
const CLIENT_ID: &str = "linnetcart-lab";

impl<W: Transport> ScenarioRunner<'_, W> {
    pub(super) fn hand(&mut self, number: usize, attempt: u32) -> anyhow::Result<()> {
        let planned = &self.fleet.messages[number];
        let class = &self.fleet.scenario.class[usize::from(planned.class)];
        let mut due = planned.at + seconds(class.deadline_s);
        if self.tries.contains_key(&number) && class.repeat == IdempotencyKind::Keyed {
            // An earlier try may have run: endpoints drop a second one for so long after the first, which ran
            // after it was handed in.
            due = due.min(planned.at + seconds(class.window_s));
        }
        let left_ms = due.saturating_sub(self.now) / 1_000_000;
        if left_ms == 0 {
            return Ok(());
        }
        let alive: Vec<u32> = (0..self.posts.len() as u32).filter(|&n| self.posts[n as usize].up).collect();
        if alive.is_empty() {
            self.hand_at(self.now + 200_000_000, number, attempt);
            return Ok(());
        }
        let left = self.left.get(&number).copied();
        let others: Vec<u32> = alive.iter().copied().filter(|&n| Some(n) != left).collect();
        let courier = match (planned.key, self.uneven) {
            (Some(key), _) => {
                let moved = self.moved.get(&key).copied().unwrap_or(0);
                alive[(key as usize + moved) % alive.len()]
            }
            (None, _) if left.is_some() && !others.is_empty() => {
                others[self.rng.random_range(0..others.len())]
            }
            (None, Some((one, share))) if self.rng.random::<f64>() < share && alive.contains(&one) => one,
            _ => alive[self.rng.random_range(0..alive.len())],
        };
        let token = self.producer(courier, planned.key);
        let Some(token) = token else {
            self.hand_at(self.now + 100_000_000, number, attempt);
            return Ok(());
        };
        let wall = self.transport.wall();
        let Some(Role::Producer(p)) = self.roles.get_mut(&token) else {
            self.hand_at(self.now + 100_000_000, number, attempt);
            return Ok(());
        };
        let made = wall.saturating_add_signed(p.off);
        let header = |name: &str, value: String| (name.to_owned(), Some(Bytes::from(value)));
        let record = Record {
            key: planned.key.map(|k| Bytes::copy_from_slice(&k.to_be_bytes())),
            value: Some(Bytes::from(vec![b'x'; 120])),
            headers: vec![
                header("message-id", number.to_string()),
                header("deadline-ms", left_ms.to_string()),
            ],
            timestamp: (made / 1_000_000) as i64,
        };
        p.correlation += 1;
        p.order += 1;
        let to = [client::ProduceTarget {
            topic: &class.name,
            partition: planned.destination as i32,
            records: std::slice::from_ref(&record),
        }];
        let timeout = i32::try_from(left_ms).unwrap_or(i32::MAX);
        let request = client::produce(p.correlation, CLIENT_ID, PRODUCE, (-1, timeout), &to)?;
        p.waiting.insert(p.correlation, self.handed.len());
        let (position, life) = (ConnectionPosition { connection: token, sequence: p.order }, p.life);
        if p.up {
            self.transport.send(token, &request);
        } else {
            p.backlog.push(request);
        }
        self.handed.push(Submission {
            message: number as u64,
            courier,
            incarnation: life,
            position,
            class: planned.class,
            destination: planned.destination,
            key: planned.key,
            at: self.now,
            deadline: self.now + left_ms * 1_000_000,
            answers: Vec::new(),
            answer_travelled: 0,
            orphaned: None,
        });
        let patience = seconds(self.fleet.scenario.clients.patience_s);
        if patience > 0 {
            self.at(self.now + patience, Timer::Patience(self.handed.len() - 1));
        }
        self.tries.insert(number, attempt);
        self.open += 1;
        Ok(())
    }

    pub(super) fn answered(&mut self, token: Token, frame: &Bytes) {
        let Some(Role::Producer(p)) = self.roles.get_mut(&token) else { return };
        let Ok(produced) = client::read_produced(frame, PRODUCE) else {
            self.stray += 1;
            return;
        };
        let Some(at) = p.waiting.remove(&produced.correlation) else {
            self.stray += 1;
            return;
        };
        let answer = match produced.parts.first().map(|p| p.code) {
            Some(codes::NONE) => Answer::Served,
            Some(codes::NOT_ENOUGH_REPLICAS) => Answer::Rejected,
            _ => Answer::Failed,
        };
        let trip = self.transport.travelled(token);
        let h = &mut self.handed[at];
        h.answer_travelled = trip;
        if h.answers.is_empty() {
            self.open -= 1;
        }
        h.answers.push(ClientAnswer { at: self.now, answer });
        if answer == Answer::Rejected {
            let number = h.message as usize;
            let attempt = self.tries.get(&number).copied().unwrap_or(0);
            let wait = self.again();
            let wait = wait.max(u64::try_from(produced.throttle_ms).unwrap_or(0) * 1_000_000);
            if attempt < self.fleet.scenario.clients.retries {
                self.hand_at(self.now + wait, number, attempt + 1);
            }
        }
    }

    /// How long a client waits before it hands a message in again.
    fn again(&mut self) -> Time {
        let [least, most] = self.fleet.scenario.clients.again_ms;
        millis(least + self.rng.random::<f64>() * (most - least))
    }

    /// A client has waited long enough for what it handed in: it breaks the connection.
    pub(super) fn impatient(&mut self, at: usize) {
        let h = &self.handed[at];
        let token = h.position.connection;
        if !h.answers.is_empty() || h.orphaned.is_some() || !self.roles.contains_key(&token) {
            return;
        }
        self.transport.close(token);
        self.disconnected(token);
    }

    /// A client's connection broke. What never left it may go anywhere. Of the rest nobody can say whether it has
    /// run or will: a safe message goes to another courier, a keyed one in its window where all endpoints know
    /// its key, and an unsafe one nowhere.
    pub(super) fn orphan(&mut self, p: Producer) {
        // A key's messages go elsewhere together.
        let keys: BTreeSet<u64> = p.waiting.values().filter_map(|&at| self.handed[at].key).collect();
        keys.into_iter().for_each(|key| *self.moved.entry(key).or_default() += 1);
        for at in p.waiting.into_values() {
            let h = &mut self.handed[at];
            if !h.answers.is_empty() {
                continue;
            }
            h.orphaned = Some(self.now);
            self.open -= 1;
            let (number, class) = (h.message as usize, &self.fleet.scenario.class[usize::from(h.class)]);
            let harmless = match class.repeat {
                IdempotencyKind::Idempotent => true,
                IdempotencyKind::Keyed => !class.by_zone,
                IdempotencyKind::NotIdempotent => false,
            };
            if harmless || !p.up {
                let wait = self.again();
                let attempt = self.tries.get(&number).copied().unwrap_or(0);
                self.left.insert(number, p.courier);
                self.hand_at(self.now + wait, number, attempt);
            }
        }
    }
}
