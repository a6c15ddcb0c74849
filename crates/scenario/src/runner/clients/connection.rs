//! Connections from clients to couriers, and the requests on them.

use super::NANOS_PER_MILLI;
use crate::error::ScenarioError;
use crate::fleet::PlannedMessage;
use crate::runner::{Connection, ScenarioRunner, Token, Transport, MAX_FRAME_BYTES};
use crate::scenario::Class;
use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_kafka::{client, Frames, Record, RecordHeader};
use std::collections::BTreeMap;

/// The client id in the requests of the simulated producers. It is on the wire and thus part of the digests
/// of runs, so it still has an earlier name of the program.
const CLIENT_ID: &str = "linnetcart-lab";
/// The API version of the Produce requests.
pub(super) const PRODUCE_VERSION: i16 = 9;
/// `acks=all` of a Produce request: the courier answers when the message has its final answer.
const ACKS_ALL: i16 = -1;
/// The record value of every message, 120 bytes.
const MESSAGE_VALUE: [u8; 120] = [b'x'; 120];

/// A connection from a client to a courier.
pub(in crate::runner) struct ClientConnection {
    pub(in crate::runner) courier: u32,
    pub(in crate::runner) incarnation: u32,
    pub(in crate::runner) connected: bool,
    /// Requests that wait until the connection is established.
    pub(in crate::runner) backlog: Vec<Bytes>,
    pub(super) frames: Frames,
    last_correlation: i32,
    /// Positions of the submissions without an answer, by the correlation ids of their requests.
    pub(super) waiting: BTreeMap<i32, usize>,
    /// The sequence number of the last message on the connection, counted from 1.
    pub(super) last_sequence: u64,
    /// Offset of the client's wall clock in nanoseconds; negative if the clock is behind.
    clock_offset: i64,
}

/// A message that a client is about to submit.
pub(super) struct OutgoingMessage<'a> {
    /// The position of the message in `Fleet::messages`.
    pub(super) number: usize,
    pub(super) planned: &'a PlannedMessage,
    pub(super) class: &'a Class,
    /// How long the message may still be served, in milliseconds.
    pub(super) time_left_ms: u64,
    /// The true wall-clock time, in nanoseconds since 1970.
    pub(super) wall_clock: Time,
}

impl ClientConnection {
    /// Returns the number of submissions on this connection that wait for an answer.
    pub(in crate::runner) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Encodes the Produce request of a message and registers the submission as waiting for an answer.
    /// `submission` is its position in `ClientState::submissions`.
    pub(super) fn produce_request(
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
    /// Opens a new client connection to a courier. The wall clock of the client has a random offset.
    pub(in crate::runner) fn connect_client(&mut self, courier: u32) -> Token {
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
            clock_offset: self.fleet.draw_clock_offset(&mut self.clients.clock_rng),
        };
        self.connections.insert(token, Connection::Client(connection));
        process.connections.push(token);
        token
    }
}
