//! The in-flight table: messages that were accepted and have no final answer yet, or still have attempts out.

use super::clients::RecordPosition;
use linnetcart::{AttemptOutcome, Time};
use linnetcart_courier_common::MessageNumbers;
use linnetcart_kafka::Record;
use std::collections::BTreeMap;

/// A message that has no final answer yet, or has attempts out.
#[derive(Debug)]
pub(crate) struct InFlightMessage {
    pub(crate) position: RecordPosition,
    pub(crate) class: u8,
    pub(crate) destination: u32,
    /// What is delivered; empty once the message is completed.
    pub(crate) record: Record,
    pub(crate) accepted_at: Time,
    pub(crate) deadline: Time,
    /// An attempt of it was executed or may have been.
    pub(crate) possibly_executed: bool,
    /// It has its final answer, or nobody waits for one.
    completed: bool,
    bytes: usize,
    attempts: u16,
    attempts_out: u16,
}

/// A message as it enters the table.
#[derive(Debug)]
pub(crate) struct NewMessage {
    pub(crate) position: RecordPosition,
    pub(crate) class: u8,
    pub(crate) destination: u32,
    pub(crate) record: Record,
    pub(crate) accepted_at: Time,
    pub(crate) deadline: Time,
}

/// An attempt that was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BegunAttempt {
    /// Its number among the message's attempts, from 0.
    pub(crate) number: u16,
    /// Another attempt of the message is out.
    pub(crate) hedge: bool,
    /// The message has its final answer; nothing of it may leave any more.
    pub(crate) message_completed: bool,
}

/// What the table holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Messages without a final answer.
    pub(crate) messages: usize,
    /// Bytes of them.
    pub(crate) bytes: usize,
}

#[derive(Debug)]
pub(crate) struct InFlightTable {
    messages: BTreeMap<u32, InFlightMessage>,
    numbers: MessageNumbers,
    usage: Usage,
}

impl InFlightTable {
    /// An empty table that numbers its messages from here.
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

    pub(crate) fn is_empty(&self) -> bool {
        self.usage.messages == 0
    }

    /// A message of the table, with or without its final answer.
    pub(crate) fn get(&self, message: u32) -> Option<&InFlightMessage> {
        self.messages.get(&message)
    }

    /// A message that has no final answer yet.
    pub(crate) fn open(&self, message: u32) -> Option<&InFlightMessage> {
        self.messages.get(&message).filter(|m| !m.completed)
    }

    /// Messages without a final answer, by number.
    pub(crate) fn open_messages(&self) -> Vec<u32> {
        self.messages.iter().filter(|(_, m)| !m.completed).map(|(&number, _)| number).collect()
    }

    /// Takes a message in and gives it a number.
    pub(crate) fn insert(&mut self, new: NewMessage) -> u32 {
        let messages = &self.messages;
        let number = self.numbers.allocate(|candidate| messages.contains_key(&candidate));
        let bytes = new.record.size();
        self.usage.messages += 1;
        self.usage.bytes += bytes;
        let message = InFlightMessage {
            position: new.position,
            class: new.class,
            destination: new.destination,
            record: new.record,
            accepted_at: new.accepted_at,
            deadline: new.deadline,
            possibly_executed: false,
            completed: false,
            bytes,
            attempts: 0,
            attempts_out: 0,
        };
        self.messages.insert(number, message);
        number
    }

    /// The message has its final answer, or nobody waits for one. It stays until its last attempt has finished.
    pub(crate) fn complete(&mut self, number: u32) {
        let Some(message) = self.messages.get_mut(&number).filter(|m| !m.completed) else { return };
        message.completed = true;
        message.record = Record::default();
        self.usage.messages -= 1;
        self.usage.bytes -= message.bytes;
        if message.attempts_out == 0 {
            self.messages.remove(&number);
        }
    }

    /// Begins an attempt of a message that is in the table.
    pub(crate) fn begin_attempt(&mut self, number: u32) -> Option<BegunAttempt> {
        let message = self.messages.get_mut(&number)?;
        let begun = BegunAttempt {
            number: message.attempts,
            hedge: message.attempts_out > 0,
            message_completed: message.completed,
        };
        message.attempts += 1;
        message.attempts_out += 1;
        Some(begun)
    }

    /// Notes the outcome of an attempt; whether the message has its final answer, also if it is not there any more.
    pub(crate) fn finish_attempt(&mut self, number: u32, outcome: AttemptOutcome) -> bool {
        let Some(message) = self.messages.get_mut(&number) else { return true };
        message.attempts_out = message.attempts_out.saturating_sub(1);
        message.possibly_executed |= !outcome.not_executed();
        let completed = message.completed;
        if completed && message.attempts_out == 0 {
            self.messages.remove(&number);
        }
        completed
    }
}

#[cfg(test)]
mod tests;
