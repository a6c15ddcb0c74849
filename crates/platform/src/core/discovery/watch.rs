//! The watch on the endpoint list: one long chunked answer with an object for each event.

use crate::config::WatchEvent;
use crate::core::clock::MILLISECOND;
use crate::core::reconnect::{ConnectionDemand, Reconnect};
use linnetcart::Time;
use linnetcart_http::{parse_response, ChunkedDecoder, ParsedResponse};
use std::net::SocketAddr;

/// A watch that is silent for this long is dead: a line comes every 2 s.
pub const WATCH_SILENCE_TIMEOUT: Time = 2700 * MILLISECOND;
/// The longest event: a list of thousands of endpoints.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// The watch got what it should not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// An answer with another status than 200, or without chunks.
    #[error("the watch was answered with status {0}")]
    Status(u16),
    /// An answer that is no HTTP.
    #[error("the watch was answered with what is no HTTP response")]
    Malformed,
    /// Chunks or events that cannot be read.
    #[error("an event of the watch cannot be read: {0}")]
    InvalidEvent(String),
    /// An event beyond the bound.
    #[error("an event of the watch has more than {MAX_EVENT_BYTES} bytes")]
    EventTooLong,
    /// It ended.
    #[error("the watch ended")]
    Ended,
}

/// What bytes of the watch came to.
#[derive(Debug, Default, PartialEq)]
pub struct WatchProgress {
    /// Events, to be applied in any case.
    pub events: Vec<WatchEvent>,
    /// The connection is to be given up.
    pub error: Option<WatchError>,
}

impl WatchProgress {
    fn failed(error: WatchError) -> WatchProgress {
        WatchProgress { events: vec![], error: Some(error) }
    }
}

/// The watch.
#[derive(Debug)]
pub struct EndpointWatch {
    connection: Reconnect,
    last_byte_at: Time,
    head: Vec<u8>,
    /// There once the head is complete.
    chunks: Option<ChunkedDecoder>,
    /// The part of the body that no event was read from yet.
    body: Vec<u8>,
    /// A complete event or an empty line has come, on this connection or one before.
    synced: bool,
}

impl EndpointWatch {
    /// One that is not begun.
    pub fn new() -> EndpointWatch {
        EndpointWatch {
            connection: Reconnect::new(),
            last_byte_at: 0,
            head: vec![],
            chunks: None,
            body: vec![],
            synced: false,
        }
    }

    /// Whether discovery has said anything yet.
    pub fn has_synced(&self) -> bool {
        self.synced
    }

    /// What is to be done about the connection now.
    pub fn poll(&mut self, now: Time) -> ConnectionDemand {
        if self.connection.is_connected() && self.last_byte_at + WATCH_SILENCE_TIMEOUT <= now {
            // It took the connection, and what it has at discovery's return counts at once: again without backoff.
            self.connection.retry_at(now);
            return ConnectionDemand::Close;
        }
        if self.connection.connect_timed_out(now) {
            self.connection.disconnected(now);
            return ConnectionDemand::Close;
        }
        if self.connection.begin_connect(now) {
            return ConnectionDemand::Connect;
        }
        ConnectionDemand::Nothing
    }

    /// When to poll again.
    pub fn next_wake(&self) -> Time {
        self.connection.next_wake(self.last_byte_at + WATCH_SILENCE_TIMEOUT)
    }

    /// The connection is there: the request to be sent on it.
    pub fn connected(&mut self, now: Time, host: SocketAddr, since: u64) -> Vec<u8> {
        self.connection.connected();
        self.last_byte_at = now;
        self.chunks = None;
        self.head.clear();
        self.body.clear();
        format!("GET /v1/endpoints?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
    }

    /// The connection was lost, or given up.
    pub fn disconnected(&mut self, now: Time) {
        self.connection.disconnected(now);
    }

    /// Begins again at once, at another address.
    pub fn restart(&mut self) {
        *self = EndpointWatch { synced: self.synced, ..EndpointWatch::new() };
    }

    /// Bytes came.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) -> WatchProgress {
        self.last_byte_at = now;
        let decoded = match &mut self.chunks {
            Some(chunks) => chunks.push(bytes, &mut self.body),
            None => match self.receive_head(bytes) {
                Ok(Some(first_chunks)) => {
                    let chunks = self.chunks.insert(ChunkedDecoder::default());
                    chunks.push(&first_chunks, &mut self.body)
                }
                Ok(None) => return WatchProgress::default(),
                Err(error) => return WatchProgress::failed(error),
            },
        };
        let mut progress = self.read_events();
        if progress.error.is_none() {
            progress.error = match decoded {
                Ok(true) => Some(WatchError::Ended),
                Ok(false) => None,
                Err(error) => Some(WatchError::InvalidEvent(error.to_string())),
            };
        }
        if self.body.len() > MAX_EVENT_BYTES {
            progress.error = Some(WatchError::EventTooLong);
        }
        if progress.error.is_none() {
            self.connection.reset_backoff();
        }
        progress
    }

    /// Bytes of the head came: what follows it, once it is complete.
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

    /// Reads the events that are complete. One may come indented, over several lines; what is incomplete waits.
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
        progress
    }
}

#[cfg(test)]
mod tests;
