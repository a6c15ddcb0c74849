//! The in-flight table: accepted messages that have no final answer yet or still have attempts in flight.
//!
//! The table owns the messages and their numbers. It never decides on a message's attempts or final answer.

use super::clients::RecordPosition;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::MessageNumbers;
use linnetcart_kafka::Record;
use std::collections::BTreeMap;

/// An accepted message: the record to deliver, where it came from and where it goes.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) position: RecordPosition,
    pub(crate) class: u8,
    pub(crate) destination: u32,
    /// The record to deliver. It is empty once the message is completed.
    pub(crate) record: Record,
    /// When the message was accepted, by the monotonic clock.
    pub(crate) accepted_at: Time,
    /// When the message must have its final answer, by the monotonic clock.
    pub(crate) deadline: Time,
}

/// A message of the table with its attempts and its state.
#[derive(Debug)]
pub(crate) struct InFlightMessage {
    pub(crate) message: Message,
    /// Whether a finished attempt was executed or may have been.
    pub(crate) possibly_executed: bool,
    /// Whether the message has its final answer, or needs none because its client disconnected.
    completed: bool,
    /// The size of the record when the message was accepted, in bytes.
    bytes: usize,
    /// How many attempts were begun, including those that were not sent.
    attempts: u16,
    attempts_in_flight: u16,
}

/// An attempt that [`InFlightTable::begin_attempt`] has numbered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BegunAttempt {
    /// The number of the attempt among those of the message, counted from 0.
    pub(crate) number: u16,
    /// Whether another attempt of the message is in flight.
    pub(crate) hedge: bool,
    /// Whether the message is completed, so that the attempt must not be sent.
    pub(crate) message_completed: bool,
}

/// Whether a message still needs a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageState {
    /// The message has no final answer yet.
    Open,
    /// The message has its final answer or needs none, or it is no longer in the table.
    Completed,
}

/// The messages in flight and their bytes, by which load is shed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// The number of messages without a final answer.
    pub(crate) messages: usize,
    /// The size of the records of these messages when they were accepted, in bytes.
    pub(crate) bytes: usize,
}

/// Memory of a message in addition to [`COPIES`] times its record: its entries in the tables of the core and of the
/// decision library, and its attempts.
const MEMORY_OVERHEAD_BYTES: usize = 1536;
/// Copies of a record that may be held at a time: the record, and an encoded call that waits to be written, once in the
/// outputs and once in a send queue.
const COPIES: usize = 3;

impl Usage {
    /// Returns an estimate of the memory that the messages take, in bytes.
    pub(crate) fn held_bytes(self) -> usize {
        COPIES * self.bytes + MEMORY_OVERHEAD_BYTES * self.messages
    }
}

/// The in-flight table: messages by number, and their usage of the limits.
#[derive(Debug)]
pub(crate) struct InFlightTable {
    messages: BTreeMap<u32, InFlightMessage>,
    numbers: MessageNumbers,
    usage: Usage,
}

impl InFlightTable {
    /// Creates an empty table whose first message gets the number `first_number`.
    pub(crate) fn new(first_number: u32) -> Self {
        InFlightTable {
            messages: BTreeMap::new(),
            numbers: MessageNumbers::starting_at(first_number),
            usage: Usage::default(),
        }
    }

    pub(crate) fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns whether no message needs a final answer. Completed messages may still have attempts in flight.
    pub(crate) fn all_completed(&self) -> bool {
        self.usage.messages == 0
    }

    /// Returns a message, completed or not, or `None` if it is not in the table.
    pub(crate) fn get(&self, message: u32) -> Option<&InFlightMessage> {
        self.messages.get(&message)
    }

    /// Returns a message, or `None` if it is completed or not in the table.
    pub(crate) fn get_open(&self, message: u32) -> Option<&InFlightMessage> {
        self.messages.get(&message).filter(|message| !message.completed)
    }

    /// Returns the numbers of the messages without a final answer, in ascending order.
    pub(crate) fn open_messages(&self) -> Vec<u32> {
        let open = self.messages.iter().filter(|(_, message)| !message.completed);
        open.map(|(&number, _)| number).collect()
    }

    /// Adds a message. Returns the number that it gets, which no message of the table has.
    pub(crate) fn insert(&mut self, message: Message) -> u32 {
        let messages = &self.messages;
        let number = self.numbers.allocate(|candidate| messages.contains_key(&candidate));
        let bytes = message.record.size();
        self.usage.messages += 1;
        self.usage.bytes += bytes;
        let in_flight = InFlightMessage {
            message,
            possibly_executed: false,
            completed: false,
            bytes,
            attempts: 0,
            attempts_in_flight: 0,
        };
        self.messages.insert(number, in_flight);
        number
    }

    /// Completes a message that has its final answer or needs none. The message stays in the table until its
    /// last attempt has finished.
    pub(crate) fn complete(&mut self, number: u32) {
        let in_flight = self.messages.get_mut(&number).filter(|in_flight| !in_flight.completed);
        let Some(in_flight) = in_flight else { return };
        in_flight.completed = true;
        in_flight.message.record = Record::default();
        self.usage.messages -= 1;
        self.usage.bytes -= in_flight.bytes;
        if in_flight.attempts_in_flight == 0 {
            self.messages.remove(&number);
        }
    }

    /// Begins an attempt. Returns `None` if the message is not in the table.
    pub(crate) fn begin_attempt(&mut self, number: u32) -> Option<BegunAttempt> {
        let in_flight = self.messages.get_mut(&number)?;
        let begun = BegunAttempt {
            number: in_flight.attempts,
            hedge: in_flight.attempts_in_flight > 0,
            message_completed: in_flight.completed,
        };
        in_flight.attempts += 1;
        in_flight.attempts_in_flight += 1;
        Some(begun)
    }

    /// Records the outcome of an attempt of message `number`, and returns the state of the message. Removes a
    /// completed message once none of its attempts is in flight.
    pub(crate) fn finish_attempt(&mut self, number: u32, outcome: AttemptOutcome) -> MessageState {
        let Some(in_flight) = self.messages.get_mut(&number) else { return MessageState::Completed };
        in_flight.attempts_in_flight = in_flight.attempts_in_flight.saturating_sub(1);
        in_flight.possibly_executed |= !outcome.not_executed();
        if !in_flight.completed {
            return MessageState::Open;
        }
        if in_flight.attempts_in_flight == 0 {
            self.messages.remove(&number);
        }
        MessageState::Completed
    }
}

#[cfg(test)]
mod tests;
