//! The watch on the endpoint list: a streaming HTTP response in chunked encoding, with a JSON object for each
//! event and an empty line as keep-alive.

use crate::config::WatchEvent;
use crate::core::clock::MILLISECOND;
use crate::core::reconnect::{ConnectionAction, Reconnect};
use linnetcart::Time;
use linnetcart_courier_common::attribution::{Attribution, RequestProgress, ResponseHistory};
use linnetcart_courier_common::memory_budget::reserve;
use linnetcart_http::{parse_response, ChunkedDecoder, ParsedResponse};
use std::net::SocketAddr;

/// A watch on which no byte arrives for this long is considered dead: discovery sends a line every 2 s.
pub const WATCH_SILENCE_TIMEOUT: Time = 2700 * MILLISECOND;
/// Maximum number of bytes in an event, however much memory there is; enough for a list of thousands of endpoints.
const MAX_EVENT_BYTES: usize = 4 << 20;
/// An event may take this part of the memory for it as text; the rest is for the entries that are read from it.
const TEXT_DIVISOR: usize = 3;
/// Memory of an entry that is read from an event, in addition to its text.
const BYTES_PER_ENTRY: usize = 256;
/// Every entry of an event begins with this byte.
const ENTRY_START: u8 = b'{';

/// Why a watch failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The response has a status other than 200, or is not chunked.
    #[error("the response has status {0} or is not chunked")]
    Status(u16),
    /// The response is not valid HTTP.
    #[error("the response is not valid HTTP")]
    Malformed,
    /// A chunk or an event cannot be decoded.
    #[error("an event cannot be decoded: {0}")]
    InvalidEvent(String),
    /// An event exceeds the maximum size.
    #[error("an event exceeds {max_bytes} bytes or {max_entries} entries")]
    EventTooLong {
        /// The maximum number of bytes.
        max_bytes: usize,
        /// The maximum number of entries.
        max_entries: usize,
    },
    /// Discovery ended the response.
    #[error("discovery ended the response")]
    Ended,
    /// The response began before the request was written.
    #[error("a response began before the request was written")]
    Unsolicited,
    /// An event has a lower version than the list: it may be a copy, or the answer to an earlier request.
    #[error("an event of version {event} is older than the list of version {list}")]
    OutdatedEvent {
        /// The version of the event.
        event: u64,
        /// The version of the list.
        list: u64,
    },
}

/// The result of bytes that were received on the watch.
#[derive(Debug, Default, PartialEq)]
pub struct WatchProgress {
    /// Complete events; they are applied even if an error follows.
    pub events: Vec<WatchEvent>,
    /// The error after which the connection has to be closed.
    pub error: Option<WatchError>,
}

/// How much of the response has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseState {
    /// The head is incomplete.
    AwaitingHead,
    /// The head is complete, and the body continues.
    InBody,
    /// The body is complete.
    Ended,
}

/// The largest event that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventLimits {
    /// Maximum number of bytes.
    pub bytes: usize,
    /// Maximum number of entries.
    pub entries: usize,
}

impl EventLimits {
    /// Returns the limits of events that may take `memory_bytes` of memory.
    pub fn within(memory_bytes: usize) -> EventLimits {
        let bytes = (memory_bytes / TEXT_DIVISOR).min(MAX_EVENT_BYTES);
        EventLimits { bytes, entries: (memory_bytes - bytes) / BYTES_PER_ENTRY }
    }

    fn permit(self, text: &[u8]) -> bool {
        let entries = text.iter().filter(|&&byte| byte == ENTRY_START).count();
        text.len() <= self.bytes && entries <= self.entries
    }
}

/// The watch on the endpoint list.
#[derive(Debug)]
pub struct EndpointWatch {
    limits: EventLimits,
    connection: Reconnect,
    last_byte_at: Time,
    /// Length of the request, in bytes.
    request_bytes: u64,
    head: Vec<u8>,
    /// The decoder of the body; `None` until the head is complete.
    chunks: Option<ChunkedDecoder>,
    /// The bytes of the body that follow the last complete event.
    body: Vec<u8>,
    /// Whether a complete event or an empty line has arrived, on this connection or an earlier one.
    synced: bool,
}

impl EndpointWatch {
    /// Creates a watch that is not connected.
    pub fn new(limits: EventLimits) -> EndpointWatch {
        EndpointWatch {
            limits,
            connection: Reconnect::new(),
            last_byte_at: 0,
            request_bytes: 0,
            head: vec![],
            chunks: None,
            body: vec![],
            synced: false,
        }
    }

    /// Whether a complete event or an empty line has ever arrived.
    pub fn has_synced(&self) -> bool {
        self.synced
    }

    /// Returns whether the caller has to establish or close the connection now.
    pub fn poll(&mut self, now: Time) -> ConnectionAction {
        if self.connection.is_connected() && self.last_byte_at + WATCH_SILENCE_TIMEOUT <= now {
            // Reconnect without backoff: discovery did accept the connection, and its events must arrive as
            // soon as it is available again.
            self.connection.schedule_retry(now);
            return ConnectionAction::Close;
        }
        if self.connection.connect_timed_out(now) {
            self.connection.disconnected(now);
            return ConnectionAction::Close;
        }
        if self.connection.begin_connect(now) {
            return ConnectionAction::Connect;
        }
        ConnectionAction::Nothing
    }

    /// Returns the monotonic time at which [`EndpointWatch::poll`] must be called again at the latest.
    pub fn next_wake(&self) -> Time {
        self.connection.next_wake(self.last_byte_at + WATCH_SILENCE_TIMEOUT)
    }

    /// Handles the established connection. Returns the request for changes after version `since`.
    pub fn connected(&mut self, now: Time, host: SocketAddr, since: u64) -> Vec<u8> {
        self.connection.connected();
        self.last_byte_at = now;
        self.chunks = None;
        self.head.clear();
        self.body.clear();
        let request = format!("GET /v1/endpoints?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        self.request_bytes = request.len() as u64;
        request.into_bytes()
    }

    /// Handles the loss of the connection, or its close after an error.
    pub fn disconnected(&mut self, now: Time) {
        self.connection.disconnected(now);
    }

    /// Handles a connect that failed locally, for example because no file descriptor or port was available.
    pub fn connect_failed_locally(&mut self, now: Time) {
        self.connection.failed_locally(now);
    }

    /// Resets the watch after discovery's address changed; the next poll connects without backoff.
    pub fn restart(&mut self) {
        *self = EndpointWatch { synced: self.synced, ..EndpointWatch::new(self.limits) };
    }

    /// Handles bytes received on the watch, before which the operating system had accepted `written` bytes of
    /// the request. Returns the events that they complete, and an error if the connection has to be closed.
    pub fn receive(&mut self, now: Time, bytes: &[u8], written: u64) -> WatchProgress {
        self.last_byte_at = now;
        let progress = RequestProgress::new(self.request_bytes, written);
        let attribution = Attribution::of_unnamed(progress, &ResponseHistory::default(), bytes);
        if !attribution.is_certain() {
            return WatchProgress { events: vec![], error: Some(WatchError::Unsolicited) };
        }
        let state = self.decode(bytes);
        if state == Ok(ResponseState::AwaitingHead) {
            return WatchProgress::default();
        }
        if !self.limits.permit(&self.body) {
            let EventLimits { bytes, entries } = self.limits;
            self.body = Vec::new();
            let error = WatchError::EventTooLong { max_bytes: bytes, max_entries: entries };
            return WatchProgress { events: vec![], error: Some(error) };
        }
        // Events before the end of the response, or before an error, are still applied.
        let mut progress = self.read_events();
        if progress.error.is_none() {
            progress.error = match state {
                Ok(ResponseState::Ended) => Some(WatchError::Ended),
                Ok(ResponseState::AwaitingHead | ResponseState::InBody) => None,
                Err(error) => Some(error),
            };
        }
        if progress.error.is_none() {
            self.connection.reset_backoff();
        }
        progress
    }

    /// Decodes received bytes and appends those that belong to the body to `body`.
    fn decode(&mut self, bytes: &[u8]) -> Result<ResponseState, WatchError> {
        if self.chunks.is_some() {
            return self.decode_chunks(bytes);
        }
        let Some(first_chunks) = self.receive_head(bytes)? else { return Ok(ResponseState::AwaitingHead) };
        self.chunks = Some(ChunkedDecoder::default());
        self.decode_chunks(&first_chunks)
    }

    fn decode_chunks(&mut self, bytes: &[u8]) -> Result<ResponseState, WatchError> {
        let Some(chunks) = &mut self.chunks else { return Ok(ResponseState::AwaitingHead) };
        reserve(&mut self.body, bytes.len());
        match chunks.push(bytes, &mut self.body) {
            Ok(true) => Ok(ResponseState::Ended),
            Ok(false) => Ok(ResponseState::InBody),
            Err(error) => Err(WatchError::InvalidEvent(error.to_string())),
        }
    }

    /// Handles bytes of the head. Returns the bytes that follow the head once it is complete.
    fn receive_head(&mut self, bytes: &[u8]) -> Result<Option<Vec<u8>>, WatchError> {
        self.head.extend_from_slice(bytes);
        match parse_response(&self.head) {
            ParsedResponse::Incomplete { .. } => Ok(None),
            ParsedResponse::Head(head) if head.status == 200 && head.chunked => {
                let rest = self.head.split_off(head.length);
                self.head.clear();
                Ok(Some(rest))
            }
            ParsedResponse::Head(head) => Err(WatchError::Status(head.status)),
            ParsedResponse::Malformed { .. } => Err(WatchError::Malformed),
        }
    }

    /// Reads the complete events. An event may span several lines; an incomplete one stays buffered.
    fn read_events(&mut self) -> WatchProgress {
        let mut progress = WatchProgress::default();
        let mut consumed = 0;
        let mut values = serde_json::Deserializer::from_slice(&self.body).into_iter::<WatchEvent>();
        loop {
            match values.next() {
                Some(Ok(event)) => {
                    progress.events.push(event);
                    consumed = values.byte_offset();
                }
                Some(Err(error)) if error.is_eof() => break,
                Some(Err(error)) => {
                    progress.error = Some(WatchError::InvalidEvent(error.to_string()));
                    break;
                }
                None => {
                    consumed = self.body.len();
                    break;
                }
            }
        }
        self.synced |= consumed > 0;
        self.body.drain(..consumed);
        if self.body.is_empty() {
            // A list is large and rare.
            self.body = Vec::new();
        }
        progress
    }
}

#[cfg(test)]
mod tests;
