//! Clients: what they submit and how they take the answers. They know what they sent and what they were answered,
//! and nothing of what ran.

use super::{Connection, ScenarioRunner, Timer, Token, Transport, MAX_FRAME_BYTES};
use crate::error::ScenarioError;
use crate::fleet::PlannedMessage;
use crate::scenario::{Class, IdempotencyKind};
use crate::units::{millis, seconds};
use bytes::Bytes;
use linnetcart_conformance::{Answer, ClientAnswer, ConnectionPosition, Submission, Time};
use linnetcart_kafka::{client, codes, Frames, Record, RecordHeader};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// The client id in the requests of the simulated producers. It is on the wire and in the digests of runs, so it
/// keeps the name that the program had first.
const CLIENT_ID: &str = "linnetcart-lab";
/// The version of Produce that the clients speak.
const PRODUCE_VERSION: i16 = 9;
/// Acks of a Produce request: an answer when the message is delivered.
const ACKS_ALL: i16 = -1;
/// The value of every message.
const MESSAGE_VALUE: [u8; 120] = [b'x'; 120];
/// How long a client waits if no courier is running.
const NO_COURIER_DELAY: Time = 200_000_000;
/// How long a client waits if it has no connection.
const NO_CONNECTION_DELAY: Time = 100_000_000;
const NANOS_PER_MILLI: u64 = 1_000_000;
/// Parts the randomness of clients, and that of their clocks, from that of the fleet.
const CLIENT_SALT: u64 = 0x1ab;
const CLOCK_SALT: u64 = 0xc11c;

/// A connection from a client to a courier.
pub(super) struct ClientConnection {
    pub(super) courier: u32,
    pub(super) incarnation: u32,
    pub(super) connected: bool,
    /// Requests from before it was connected.
    pub(super) backlog: Vec<Bytes>,
    frames: Frames,
    last_correlation: i32,
    /// Submissions that wait for an answer, by the correlation of their requests.
    waiting: BTreeMap<i32, usize>,
    /// The place of the last message on the connection.
    last_sequence: u64,
    /// How far the client's clock is ahead, less where it is behind.
    clock_offset: i64,
}

/// One courier gets more messages than the others.
#[derive(Clone, Copy, Debug)]
pub(super) struct FavouredCourier {
    pub(super) courier: u32,
    /// Its share of all messages.
    pub(super) share: f64,
}

/// What all clients know together.
pub(super) struct ClientState {
    pub(super) submissions: Vec<Submission>,
    /// Messages that wait for an answer.
    pub(super) awaiting_answer: usize,
    /// Answers to requests that had one already, or were never made.
    pub(super) stray_answers: u64,
    /// One courier gets more messages than the others.
    pub(super) favoured_courier: Option<FavouredCourier>,
    /// Submissions that are scheduled.
    scheduled: usize,
    /// The last attempt at each message that was submitted.
    attempts: BTreeMap<usize, u32>,
    /// The courier to which a message's connection broke: the message goes to another.
    avoided_couriers: BTreeMap<usize, u32>,
    /// How often the messages of an ordering key migrated to another courier for that.
    key_migrations: BTreeMap<u64, usize>,
    rng: ChaCha8Rng,
    /// For the clients' clocks alone, so that they change nothing else.
    clock_rng: ChaCha8Rng,
}

/// A message that a client submits now.
struct OutgoingMessage<'a> {
    number: usize,
    planned: &'a PlannedMessage,
    class: &'a Class,
    time_left_ms: u64,
    /// The client's wall clock would say this if it were right.
    wall_clock: Time,
}

impl ClientState {
    pub(super) fn new(seed: u64) -> Self {
        ClientState {
            submissions: Vec::new(),
            awaiting_answer: 0,
            stray_answers: 0,
            favoured_courier: None,
            scheduled: 0,
            attempts: BTreeMap::new(),
            avoided_couriers: BTreeMap::new(),
            key_migrations: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ CLIENT_SALT),
            clock_rng: ChaCha8Rng::seed_from_u64(seed ^ CLOCK_SALT),
        }
    }

    /// Nothing is scheduled and nothing waits for an answer.
    pub(super) fn is_idle(&self) -> bool {
        self.awaiting_answer == 0 && self.scheduled == 0
    }

    fn last_attempt(&self, message: usize) -> u32 {
        self.attempts.get(&message).copied().unwrap_or(0)
    }

    /// The courier for a message, out of those that are running; there is at least one.
    fn choose_courier(&mut self, message: usize, key: Option<u64>, running: &[u32]) -> u32 {
        if let Some(key) = key {
            let migrations = self.key_migrations.get(&key).copied().unwrap_or(0);
            return running[(key as usize + migrations) % running.len()];
        }
        if let Some(&avoided) = self.avoided_couriers.get(&message) {
            let others: Vec<u32> = running.iter().copied().filter(|&courier| courier != avoided).collect();
            if !others.is_empty() {
                return others[self.rng.random_range(0..others.len())];
            }
        }
        if let Some(favoured) = self.favoured_courier {
            let drawn = self.rng.random::<f64>() < favoured.share;
            if drawn && running.contains(&favoured.courier) {
                return favoured.courier;
            }
        }
        running[self.rng.random_range(0..running.len())]
    }

    /// How long a client waits before it submits a message again.
    fn draw_retry_delay(&mut self, [shortest, longest]: [f64; 2]) -> Time {
        millis(shortest + self.rng.random::<f64>() * (longest - shortest))
    }
}

impl ClientConnection {
    /// Submissions that wait for an answer.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The Produce request of a message, which is number `submission` among all submissions.
    fn produce_request(
        &mut self,
        message: &OutgoingMessage<'_>,
        submission: usize,
    ) -> Result<Bytes, ScenarioError> {
        let created = message.wall_clock.saturating_add_signed(self.clock_offset);
        let record = Record {
            key: message.planned.key.map(|key| Bytes::copy_from_slice(&key.to_be_bytes())),
            value: Some(Bytes::from_static(&MESSAGE_VALUE)),
            headers: vec![
                RecordHeader::new("message-id", message.number.to_string()),
                RecordHeader::new("deadline-ms", message.time_left_ms.to_string()),
            ],
            timestamp: (created / NANOS_PER_MILLI) as i64,
        };
        let target = client::ProduceTarget {
            topic: &message.class.name,
            partition: message.planned.destination as i32,
            records: std::slice::from_ref(&record),
        };
        self.last_correlation += 1;
        self.last_sequence += 1;
        let timeout_ms = i32::try_from(message.time_left_ms).unwrap_or(i32::MAX);
        let required = client::RequiredAcks { acks: ACKS_ALL, timeout_ms };
        let correlation = self.last_correlation;
        let request = client::produce(correlation, CLIENT_ID, PRODUCE_VERSION, required, &[target])?;
        self.waiting.insert(correlation, submission);
        Ok(request)
    }
}

impl<T: Transport> ScenarioRunner<'_, T> {
    pub(super) fn submit_at(&mut self, at: Time, message: usize, attempt: u32) {
        self.clients.scheduled += 1;
        self.timers.schedule(at, Timer::Submit { message, attempt });
    }

    /// A further connection of a client to a courier.
    pub(super) fn connect_client(&mut self, courier: u32) -> Token {
        let token = self.transport.connect(courier);
        let process = &mut self.couriers[courier as usize];
        let connection = ClientConnection {
            courier,
            incarnation: process.incarnation,
            connected: false,
            backlog: Vec::new(),
            frames: Frames::new(MAX_FRAME_BYTES),
            last_correlation: 0,
            waiting: BTreeMap::new(),
            last_sequence: 0,
            clock_offset: self.fleet.clock_off(&mut self.clients.clock_rng),
        };
        self.connections.insert(token, Connection::Client(connection));
        process.connections.push(token);
        token
    }

    /// A client submits a message, if there is time left for it.
    pub(super) fn submit(&mut self, message: usize, attempt: u32) -> Result<(), ScenarioError> {
        self.clients.scheduled -= 1;
        let fleet = self.fleet;
        let planned = &fleet.messages[message];
        let class = &fleet.scenario.class[usize::from(planned.class)];
        let time_left_ms = self.time_left_ms(message, planned, class);
        if time_left_ms == 0 {
            return Ok(());
        }
        let running = self.running_couriers();
        if running.is_empty() {
            self.submit_at(self.now + NO_COURIER_DELAY, message, attempt);
            return Ok(());
        }
        let courier = self.clients.choose_courier(message, planned.key, &running);
        let Some(token) = self.connection_for(courier, planned.key) else {
            self.submit_at(self.now + NO_CONNECTION_DELAY, message, attempt);
            return Ok(());
        };
        let wall_clock = self.transport.wall();
        let outgoing = OutgoingMessage { number: message, planned, class, time_left_ms, wall_clock };
        if !self.send_message(token, &outgoing)? {
            self.submit_at(self.now + NO_CONNECTION_DELAY, message, attempt);
            return Ok(());
        }
        self.clients.attempts.insert(message, attempt);
        self.clients.awaiting_answer += 1;
        Ok(())
    }

    /// How long a message may still be served.
    fn time_left_ms(&self, message: usize, planned: &PlannedMessage, class: &Class) -> u64 {
        let mut deadline = planned.at + seconds(class.deadline_s);
        if self.clients.attempts.contains_key(&message) && class.repeat == IdempotencyKind::Keyed {
            // An earlier attempt may have run: endpoints drop a second one for this long after the first, which ran
            // after it was submitted.
            deadline = deadline.min(planned.at + seconds(class.window_s));
        }
        deadline.saturating_sub(self.now) / NANOS_PER_MILLI
    }

    /// Sends a message and records it; false if there is no such connection.
    fn send_message(&mut self, token: Token, message: &OutgoingMessage<'_>) -> Result<bool, ScenarioError> {
        let Some(Connection::Client(connection)) = self.connections.get_mut(&token) else {
            return Ok(false);
        };
        let submission = self.clients.submissions.len();
        let request = connection.produce_request(message, submission)?;
        self.clients.submissions.push(Submission {
            message: message.number as u64,
            courier: connection.courier,
            incarnation: connection.incarnation,
            position: ConnectionPosition { connection: token, sequence: connection.last_sequence },
            class: message.planned.class,
            destination: message.planned.destination,
            key: message.planned.key,
            at: self.now,
            deadline: self.now + message.time_left_ms * NANOS_PER_MILLI,
            answers: Vec::new(),
            answer_travelled: 0,
            orphaned: None,
        });
        if connection.connected {
            self.transport.send(token, &request);
        } else {
            connection.backlog.push(request);
        }
        let patience = seconds(self.fleet.scenario.clients.patience_s);
        if patience > 0 {
            self.schedule_after(patience, Timer::LosePatience { submission });
        }
        Ok(true)
    }

    pub(super) fn received_at_client(&mut self, token: Token, bytes: &[u8]) {
        if let Some(Connection::Client(connection)) = self.connections.get_mut(&token) {
            connection.frames.push(bytes);
        }
        while let Some(Connection::Client(connection)) = self.connections.get_mut(&token) {
            match connection.frames.next_frame() {
                Ok(Some(frame)) => self.answered(token, &frame),
                Ok(None) | Err(_) => return,
            }
        }
    }

    fn answered(&mut self, token: Token, frame: &Bytes) {
        let Some(Connection::Client(connection)) = self.connections.get_mut(&token) else { return };
        let Ok(reply) = client::read_produced(frame, PRODUCE_VERSION) else {
            self.clients.stray_answers += 1;
            return;
        };
        let Some(position) = connection.waiting.remove(&reply.correlation) else {
            self.clients.stray_answers += 1;
            return;
        };
        let answer = match reply.parts.first().map(|part| part.code) {
            Some(codes::NONE) => Answer::Served,
            Some(codes::NOT_ENOUGH_REPLICAS) => Answer::Rejected,
            _ => Answer::Failed,
        };
        let submission = &mut self.clients.submissions[position];
        submission.answer_travelled = self.transport.travelled(token);
        if submission.answers.is_empty() {
            self.clients.awaiting_answer -= 1;
        }
        submission.answers.push(ClientAnswer { at: self.now, answer });
        if answer == Answer::Rejected {
            let message = submission.message as usize;
            let retry_after = u64::try_from(reply.throttle_ms).unwrap_or(0) * NANOS_PER_MILLI;
            self.retry_rejected(message, retry_after);
        }
    }

    fn retry_rejected(&mut self, message: usize, retry_after: Time) {
        let clients = &self.fleet.scenario.clients;
        let attempt = self.clients.last_attempt(message);
        let delay = self.clients.draw_retry_delay(clients.again_ms).max(retry_after);
        if attempt < clients.retries {
            self.submit_at(self.now + delay, message, attempt + 1);
        }
    }

    /// A client has waited long enough for an answer: it breaks the connection.
    pub(super) fn lose_patience(&mut self, submission: usize) {
        let submission = &self.clients.submissions[submission];
        let token = submission.position.connection;
        let is_over = !submission.answers.is_empty() || submission.orphaned.is_some();
        if is_over || !self.connections.contains_key(&token) {
            return;
        }
        self.transport.close(token);
        self.disconnected(token);
    }

    /// A client's connection broke. What never left it may go anywhere. Of the rest nobody can say whether it has run
    /// or will: an idempotent message goes to another courier, a keyed one in its window where all endpoints know its
    /// key, and one that is not idempotent nowhere.
    pub(super) fn orphan_submissions(&mut self, connection: ClientConnection) {
        self.migrate_keys(&connection);
        for &position in connection.waiting.values() {
            let submission = &mut self.clients.submissions[position];
            if !submission.answers.is_empty() {
                continue;
            }
            submission.orphaned = Some(self.now);
            let message = submission.message as usize;
            let class = &self.fleet.scenario.class[usize::from(submission.class)];
            self.clients.awaiting_answer -= 1;
            if !connection.connected || may_be_repeated_anywhere(class) {
                let delay = self.clients.draw_retry_delay(self.fleet.scenario.clients.again_ms);
                let attempt = self.clients.last_attempt(message);
                self.clients.avoided_couriers.insert(message, connection.courier);
                self.submit_at(self.now + delay, message, attempt);
            }
        }
    }

    /// Messages of one ordering key go to another courier together.
    fn migrate_keys(&mut self, connection: &ClientConnection) {
        let positions = connection.waiting.values();
        let keys: BTreeSet<u64> =
            positions.filter_map(|&position| self.clients.submissions[position].key).collect();
        for key in keys {
            *self.clients.key_migrations.entry(key).or_default() += 1;
        }
    }
}

/// Another courier may send the message again though it may have run.
fn may_be_repeated_anywhere(class: &Class) -> bool {
    match class.repeat {
        IdempotencyKind::Idempotent => true,
        IdempotencyKind::Keyed => !class.by_zone,
        IdempotencyKind::NotIdempotent => false,
    }
}
