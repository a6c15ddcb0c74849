//! Replay: restores the state from a journal's records, and encodes a message's state as records of the
//! snapshot with which a new journal file begins.

use super::clock_reference::shifted;
use super::{ClockReference, CompletedId, FinalOutcome, IdEnd, Message, Record, SentAttempt, UNKNOWN_INDEX};
use linnetcart::Time;
use linnetcart_journal::Record as RawRecord;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a message has its final outcome, and whether the platform still has to acknowledge that outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The message has no final outcome.
    Uncompleted,
    /// The message has a final outcome of which the platform has to be notified.
    AwaitingAcknowledgement(FinalOutcome),
    /// The message has a final outcome that needs no further notification: it was delivered, or the platform
    /// acknowledged the outcome.
    Concluded(FinalOutcome),
}

impl From<FinalOutcome> for Completion {
    fn from(outcome: FinalOutcome) -> Completion {
        match outcome {
            FinalOutcome::Delivered => Completion::Concluded(outcome),
            FinalOutcome::Failed | FinalOutcome::Returned { .. } => {
                Completion::AwaitingAcknowledgement(outcome)
            }
        }
    }
}

impl Completion {
    /// Returns the final outcome, or `None` if the message has none.
    pub fn outcome(self) -> Option<FinalOutcome> {
        match self {
            Completion::Uncompleted => None,
            Completion::AwaitingAcknowledgement(outcome) | Completion::Concluded(outcome) => Some(outcome),
        }
    }

    /// Records that the platform acknowledged the outcome. Has no effect in other states.
    pub fn acknowledge(&mut self) {
        if let Completion::AwaitingAcknowledgement(outcome) = *self {
            *self = Completion::Concluded(outcome);
        }
    }
}

/// An accepted message that is not completed, or whose outcome the platform has not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingMessage {
    /// The message.
    pub message: Message,
    /// Number of attempts begun so far, which is the number of the next one.
    pub attempts: u16,
    /// The sent attempts that an endpoint may have executed: not ended, or ended with an outcome that does
    /// not exclude execution.
    pub possibly_executed: Vec<SentAttempt>,
    /// The final outcome, if any, and the state of its notification.
    pub completion: Completion,
}

impl PendingMessage {
    /// Creates the state of a message without attempts.
    pub fn new(message: Message) -> PendingMessage {
        PendingMessage {
            message,
            attempts: 0,
            possibly_executed: vec![],
            completion: Completion::Uncompleted,
        }
    }

    /// Returns the records from which a replay restores this state: none for a concluded message, which is no
    /// longer pending.
    pub fn records(&self, number: u32) -> Vec<Record> {
        if matches!(self.completion, Completion::Concluded(_)) {
            return vec![];
        }
        let mut records = vec![Record::Accepted { number, message: self.message.clone() }];
        for &attempt in &self.possibly_executed {
            records.push(Record::AttemptSent { message: number, attempt });
        }
        // `attempts` includes attempts that were not executed. A record with the number of the last attempt
        // restores the count.
        if let Some(last) = self.attempts.checked_sub(1) {
            if self.possibly_executed.iter().all(|attempt| attempt.number != last) {
                records.push(Record::NotExecuted { message: number, attempt: last });
            }
        }
        if let Some(outcome) = self.completion.outcome() {
            records.push(Record::Completed { message: number, outcome });
        }
        records
    }

    /// Sets `attempts` to max(`attempts`, `attempt` + 1) and removes the attempt from `possibly_executed`.
    /// The attempt may be counted already: a snapshot counts attempts that still wait for a connection, and
    /// the records of these attempts follow it.
    fn count_attempt(&mut self, attempt: u16) {
        self.attempts = self.attempts.max(attempt.saturating_add(1));
        self.possibly_executed.retain(|sent| sent.number != attempt);
    }
}

/// The state restored from a journal's records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    /// Pending messages by number, in the order of their acceptance.
    pub pending: BTreeMap<u32, PendingMessage>,
    /// The first number for new messages: greater than every number in the records.
    pub next_message: u32,
    /// Number of records that could not be decoded or refer to an unknown message.
    pub unusable_records: usize,
    /// Ids of ended messages that the journal contains.
    pub completed: Vec<CompletedId>,
    /// Shift in nanoseconds that was added to recorded times: the step of the wall clock between the
    /// recording process and this one. If the journal has several clock references, the shift of the last
    /// one.
    pub clock_shift: i64,
    /// End of the cooldown of each ordering key; wall-clock time in nanoseconds.
    pub key_cooldowns: BTreeMap<u64, Time>,
}

impl Replay {
    /// Replays records. Classes and zones are matched by name, so their indexes may differ between the
    /// records and the present settings. Times are converted to `clock`, the reference of this process. A
    /// repeated record of a message or an attempt counts once.
    pub fn from_records(
        records: &[RawRecord],
        classes: &[String],
        zones: &[String],
        clock: ClockReference,
    ) -> Replay {
        let mut replayer = Replayer {
            replay: Replay { next_message: 1, ..Replay::default() },
            concluded: BTreeSet::new(),
            indexes: None,
            classes,
            zones,
            clock,
            shift: 0,
        };
        for raw in records {
            match Record::decode(raw) {
                Some(record) => replayer.apply(record),
                None => replayer.replay.unusable_records += 1,
            }
        }
        replayer.replay
    }
}

/// Maps each index of a class or zone in the journal (position in the list) to the index in the present
/// settings (value).
struct IndexMap {
    classes: Vec<u8>,
    zones: Vec<u8>,
}

/// Returns the index of each name in the settings; [`UNKNOWN_INDEX`] for names that they do not contain.
fn indexes_of(names: &[String], settings: &[String]) -> Vec<u8> {
    let index_of = |name: &String| {
        let index = settings.iter().position(|other| other == name);
        index.map_or(UNKNOWN_INDEX, |index| index as u8)
    };
    names.iter().map(index_of).collect()
}

fn translate(indexes: &[u8], index: u8) -> u8 {
    indexes.get(usize::from(index)).copied().unwrap_or(UNKNOWN_INDEX)
}

struct Replayer<'a> {
    replay: Replay,
    /// Numbers of messages that were pending and are concluded.
    concluded: BTreeSet<u32>,
    /// `None` until a names record is read. Files without one were written while the order of classes and
    /// zones in the settings was fixed, so their indexes are still valid.
    indexes: Option<IndexMap>,
    classes: &'a [String],
    zones: &'a [String],
    clock: ClockReference,
    /// Added to the times of the following records, in nanoseconds; 0 until a clock reference is read. Files
    /// of versions without clock references contain plain wall-clock times.
    shift: i64,
}

impl Replayer<'_> {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Names { classes, zones } => {
                self.indexes = Some(IndexMap {
                    classes: indexes_of(&classes, self.classes),
                    zones: indexes_of(&zones, self.zones),
                });
            }
            Record::ClockReference(recorded) => {
                self.shift = self.clock.shift_from(recorded);
                self.replay.clock_shift = self.shift;
            }
            Record::CompletedId(mut completed) => {
                completed.expires_at = shifted(completed.expires_at, self.shift);
                self.replay.completed.push(completed);
            }
            Record::KeyCooldown { ordering_key, until } => {
                let latest = self.replay.key_cooldowns.entry(ordering_key).or_default();
                *latest = (*latest).max(shifted(until, self.shift));
            }
            Record::Accepted { number, message } => self.accepted(number, message),
            Record::AttemptSent { message, attempt } => self.attempt_sent(message, attempt),
            Record::NotExecuted { message, attempt } => {
                if let Some(pending) = self.pending_mut(message) {
                    pending.count_attempt(attempt);
                }
            }
            Record::Completed { message, outcome: FinalOutcome::Delivered }
            | Record::Notified { message } => {
                self.remove_concluded(message);
            }
            Record::Completed { message, outcome } => {
                if let Some(pending) = self.pending_mut(message) {
                    pending.completion = Completion::from(outcome);
                }
            }
        }
    }

    fn accepted(&mut self, number: u32, mut message: Message) {
        if let Some(indexes) = &self.indexes {
            message.class = translate(&indexes.classes, message.class);
        }
        message.wall_deadline = shifted(message.wall_deadline, self.shift);
        self.reserve_number(number);
        if !self.concluded.contains(&number) {
            self.replay.pending.entry(number).or_insert(PendingMessage::new(message));
        }
    }

    fn attempt_sent(&mut self, message: u32, mut attempt: SentAttempt) {
        if let Some(indexes) = &self.indexes {
            attempt.zone = translate(&indexes.zones, attempt.zone);
        }
        attempt.sent_at = shifted(attempt.sent_at, self.shift);
        if let Some(pending) = self.pending_mut(message) {
            pending.count_attempt(attempt.number);
            pending.possibly_executed.push(attempt);
        }
    }

    /// Removes a message whose outcome needs no further notification. Its id is kept for deduplication.
    fn remove_concluded(&mut self, message: u32) {
        if self.pending_mut(message).is_none() {
            return;
        }
        if let Some(pending) = self.replay.pending.remove(&message) {
            let end = pending.completion.outcome().map_or(IdEnd::Completed, FinalOutcome::id_end);
            self.replay.completed.push(pending.message.completed_id(end));
        }
        self.concluded.insert(message);
    }

    /// Returns the pending message that a record refers to. Counts the record as unusable if the message was
    /// never accepted.
    fn pending_mut(&mut self, message: u32) -> Option<&mut PendingMessage> {
        self.reserve_number(message);
        let pending = self.replay.pending.get_mut(&message);
        if pending.is_none() && !self.concluded.contains(&message) {
            self.replay.unusable_records += 1;
        }
        pending
    }

    /// Keeps the numbers of new messages above `number`.
    fn reserve_number(&mut self, number: u32) {
        self.replay.next_message = self.replay.next_message.max(number.saturating_add(1));
    }
}
