//! The in-flight table: messages from their submission until they are settled, that is, completed,
//! acknowledged by the platform (if their outcome needs a notification) and without attempts in flight.
//!
//! The table owns each message's state and its end, decides whether it may still be sent, numbers its attempts and
//! accounts for the bytes that all messages take in the journal. It reads no clock.

use super::attempts::AttemptId;
use crate::records::{Completion, FinalOutcome, Message, PendingMessage, SentAttempt};
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::memory_budget::MemoryAccount;
use linnetcart_courier_common::MessageNumbers;
use std::collections::{BTreeMap, HashMap};

/// Messages in flight may take 1 / `CAPACITY_DIVISOR` of the journal's capacity in bytes. The rest is needed
/// while the old journal file, its replacement and the records appended meanwhile exist side by side.
const CAPACITY_DIVISOR: u64 = 5;
/// Bytes reserved for a message's records in addition to its id, idempotency key and body: fixed fields,
/// attempts and completion.
const RECORD_OVERHEAD_BYTES: usize = 512;

/// Memory reserved for a message in addition to [`COPIES`] times its id, idempotency key and body: its entries in the
/// tables of the core and of the decision library, its attempts and its notification.
const MEMORY_OVERHEAD_BYTES: usize = 1536;
/// Copies of a message that may be held at a time: the message, and an encoded attempt that waits to be written, once
/// in the outputs and once in a send queue.
const COPIES: usize = 3;

/// A message in flight: it has no final outcome, has attempts in flight, or has an outcome that the platform
/// has not acknowledged.
#[derive(Debug)]
pub struct InFlightMessage {
    /// The message's state that the journal restores after a restart.
    pub pending: PendingMessage,
    /// The message's deadline, in nanoseconds of monotonic time, unlike [`Message::wall_deadline`].
    pub deadline: Time,
    /// The message's share of [`InFlightTable::size_bytes`].
    size_bytes: u64,
    /// Number of attempts that were begun and have not ended.
    attempts_in_flight: u16,
}

impl InFlightMessage {
    /// Returns the message.
    pub fn message(&self) -> &Message {
        &self.pending.message
    }

    /// Whether the message has its final outcome.
    pub fn is_completed(&self) -> bool {
        self.pending.completion != Completion::Uncompleted
    }

    /// Whether the message was returned to its sender and no attempt is in flight.
    pub fn is_returned_whole(&self) -> bool {
        let is_returned = matches!(self.pending.completion.outcome(), Some(FinalOutcome::Returned { .. }));
        is_returned && self.attempts_in_flight == 0
    }

    /// Whether the message is completed, its outcome needs no further notification and no attempt is in
    /// flight.
    fn is_settled(&self) -> bool {
        matches!(self.pending.completion, Completion::Concluded(_)) && self.attempts_in_flight == 0
    }
}

/// Why a message is not open any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// The message has its final outcome, or is no longer in the table.
    Completed,
    /// The message's deadline has passed.
    DeadlinePassed,
}

/// A new attempt of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewAttempt {
    /// The message's number and the number of the attempt.
    pub id: AttemptId,
    /// The message's deadline, in nanoseconds of monotonic time.
    pub message_deadline: Time,
}

/// What the end of an attempt means for its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEffect {
    /// The message's ordering key.
    pub ordering_key: u64,
    /// Whether the message had its final outcome before the attempt ended.
    pub was_completed: bool,
    /// Whether the attempt was recorded as sent but its outcome excludes execution, so that
    /// [`Record::NotExecuted`](crate::records::Record::NotExecuted) has to be written.
    pub retracts_sent: bool,
}

/// The in-flight table.
#[derive(Debug)]
pub struct InFlightTable {
    messages: BTreeMap<u32, InFlightMessage>,
    /// Numbers of all messages of the table, by id.
    by_id: HashMap<Vec<u8>, u32>,
    /// Number of messages without a final outcome.
    uncompleted: usize,
    /// Estimate of the bytes that all messages of the table take in the journal: sum of [`stored_size`].
    size_bytes: u64,
    max_size_bytes: u64,
    /// Estimate of the memory that all messages of the table take: sum of [`held_size`].
    memory: MemoryAccount,
    numbers: MessageNumbers,
}

impl InFlightTable {
    /// Creates an empty table. Its messages may take `journal_capacity_bytes / CAPACITY_DIVISOR` bytes of the
    /// journal, and `memory_bytes` of memory. Message numbers start at `next_number`.
    pub fn new(journal_capacity_bytes: u64, memory_bytes: usize, next_number: u32) -> InFlightTable {
        InFlightTable {
            messages: BTreeMap::new(),
            by_id: HashMap::new(),
            uncompleted: 0,
            size_bytes: 0,
            max_size_bytes: journal_capacity_bytes / CAPACITY_DIVISOR,
            memory: MemoryAccount::new(memory_bytes),
            numbers: MessageNumbers::starting_at(next_number),
        }
    }

    /// Returns the number of messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns the number of messages without a final outcome.
    pub fn uncompleted_len(&self) -> usize {
        self.uncompleted
    }

    /// Returns an estimate of the memory that all messages take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.memory.held()
    }

    /// Whether a further message fits into the memory that messages in flight may take.
    pub fn has_memory_for(&self, message: &Message) -> bool {
        self.memory.has_room_for(held_size(message))
    }

    /// Whether a further message fits into the part of the journal that messages in flight may take.
    pub fn has_capacity_for(&self, message: &Message) -> bool {
        self.size_bytes + stored_size(message) <= self.max_size_bytes
    }

    /// Returns the message with this number, or `None` if no message in flight has it.
    pub fn get(&self, number: u32) -> Option<&InFlightMessage> {
        self.messages.get(&number)
    }

    /// Returns the message with this number if it is open at `now`, in nanoseconds of monotonic time: it has no final
    /// outcome, and its deadline has not passed.
    ///
    /// # Errors
    ///
    /// If the message has ended.
    pub fn get_open(&self, number: u32, now: Time) -> Result<&InFlightMessage, MessageEnd> {
        let message = self.messages.get(&number).ok_or(MessageEnd::Completed)?;
        if message.is_completed() {
            Err(MessageEnd::Completed)
        } else if message.deadline <= now {
            Err(MessageEnd::DeadlinePassed)
        } else {
            Ok(message)
        }
    }

    /// Iterates over all messages in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &InFlightMessage)> {
        self.messages.iter().map(|(&number, message)| (number, message))
    }

    /// Returns the number of the message that has this id, completed or not; `None` if no message of the table
    /// has it.
    pub fn find(&self, id: &[u8]) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Allocates a number that no message in flight has.
    pub fn allocate_number(&mut self) -> u32 {
        let messages = &self.messages;
        self.numbers.allocate(|number| messages.contains_key(&number))
    }

    /// Adds a message. `deadline` is the message's deadline in nanoseconds of monotonic time.
    pub fn insert(&mut self, number: u32, pending: PendingMessage, deadline: Time) {
        let size_bytes = stored_size(&pending.message);
        self.size_bytes += size_bytes;
        self.memory.resize(0, held_size(&pending.message));
        let message = InFlightMessage { pending, deadline, size_bytes, attempts_in_flight: 0 };
        self.uncompleted += usize::from(!message.is_completed());
        self.by_id.insert(message.message().id.clone(), number);
        self.messages.insert(number, message);
    }

    /// Begins a new attempt of a message. Returns `None` if there is no such message.
    pub fn begin_attempt(&mut self, number: u32) -> Option<NewAttempt> {
        let message = self.messages.get_mut(&number)?;
        let id = AttemptId { message: number, number: message.pending.attempts };
        message.pending.attempts += 1;
        message.attempts_in_flight += 1;
        Some(NewAttempt { id, message_deadline: message.deadline })
    }

    /// Records that an attempt was sent: from now on, the endpoint may have executed the message.
    pub fn attempt_sent(&mut self, number: u32, attempt: SentAttempt) {
        if let Some(message) = self.messages.get_mut(&number) {
            message.pending.possibly_executed.push(attempt);
        }
    }

    /// Records that an attempt ended. If the outcome excludes execution, the attempt no longer counts as
    /// possibly executed. Returns `None` if there is no such message.
    pub fn attempt_ended(&mut self, id: AttemptId, outcome: AttemptOutcome) -> Option<AttemptEffect> {
        let message = self.messages.get_mut(&id.message)?;
        message.attempts_in_flight -= 1;
        let sent = &mut message.pending.possibly_executed;
        let retracts_sent = outcome.not_executed() && sent.iter().any(|attempt| attempt.number == id.number);
        if retracts_sent {
            sent.retain(|attempt| attempt.number != id.number);
        }
        Some(AttemptEffect {
            ordering_key: message.message().ordering_key,
            was_completed: message.is_completed(),
            retracts_sent,
        })
    }

    /// Sets the final outcome of a message. Returns `false` if there is no such message or it had an outcome
    /// already.
    pub fn complete(&mut self, number: u32, outcome: FinalOutcome) -> bool {
        let Some(message) = self.messages.get_mut(&number) else { return false };
        if message.is_completed() {
            return false;
        }
        message.pending.completion = Completion::from(outcome);
        self.uncompleted -= 1;
        true
    }

    /// Changes the outcome of a completed message that is not acknowledged to a failure, before anybody was notified
    /// of it. Returns `None` if there is no such message.
    pub fn fail_unrecorded(&mut self, number: u32) -> Option<&Message> {
        let message = self.messages.get_mut(&number)?;
        if !matches!(message.pending.completion, Completion::AwaitingAcknowledgement(_)) {
            return None;
        }
        message.pending.completion = Completion::AwaitingAcknowledgement(FinalOutcome::Failed);
        Some(message.message())
    }

    /// Records that the platform acknowledged the outcome of a message. Returns `None` if there is no such
    /// message.
    pub fn acknowledge(&mut self, number: u32) -> Option<&Message> {
        let message = self.messages.get_mut(&number)?;
        message.pending.completion.acknowledge();
        Some(message.message())
    }

    /// Removes and returns a message if it is settled: completed, acknowledged and without attempts in
    /// flight.
    pub fn remove_if_settled(&mut self, number: u32) -> Option<InFlightMessage> {
        if self.messages.get(&number)?.is_settled() {
            self.remove(number)
        } else {
            None
        }
    }

    /// Removes and returns the message with this number; `None` if there is no such message.
    pub fn remove(&mut self, number: u32) -> Option<InFlightMessage> {
        let message = self.messages.remove(&number)?;
        self.size_bytes -= message.size_bytes;
        self.memory.resize(held_size(message.message()), 0);
        self.uncompleted -= usize::from(!message.is_completed());
        if self.by_id.get(&message.pending.message.id) == Some(&number) {
            self.by_id.remove(&message.pending.message.id);
        }
        Some(message)
    }
}

/// Returns an estimate of the bytes that a message takes in the journal.
fn stored_size(message: &Message) -> u64 {
    (content_size(message) + RECORD_OVERHEAD_BYTES) as u64
}

/// Returns an estimate of the memory that a message takes, in bytes.
fn held_size(message: &Message) -> usize {
    COPIES * content_size(message) + MEMORY_OVERHEAD_BYTES
}

fn content_size(message: &Message) -> usize {
    let key_length = message.idempotency_key.as_ref().map_or(0, Vec::len);
    message.id.len() + key_length + message.body.len()
}

#[cfg(test)]
mod tests;
