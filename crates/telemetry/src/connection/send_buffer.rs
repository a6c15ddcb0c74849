//! A bounded FIFO buffer of chunks for a receiver. When it is full, the oldest unsent chunks are dropped;
//! after a connection broke, chunks that were not written completely are sent again.

use crate::graphite::Chunk;
use bytes::Bytes;
use std::collections::VecDeque;

/// Chunks in the order of sending: first those in flight on the connection, then the unsent ones.
#[derive(Debug)]
pub(super) struct SendBuffer {
    in_flight: VecDeque<InFlightChunk>,
    unsent: VecDeque<UnsentChunk>,
    /// Total size of all chunks in bytes, including those in flight.
    bytes: usize,
    max_bytes: usize,
    /// Number of points in the chunks dropped since the buffer was created.
    points_dropped: u64,
}

#[derive(Debug)]
struct UnsentChunk {
    bytes: Bytes,
    /// Number of points encoded in the bytes.
    points: u32,
}

#[derive(Debug)]
struct InFlightChunk {
    chunk: UnsentChunk,
    /// Offset of the end of the chunk in the byte stream of the connection.
    end: u64,
}

impl SendBuffer {
    pub(super) fn new(max_bytes: usize) -> SendBuffer {
        SendBuffer {
            in_flight: VecDeque::new(),
            unsent: VecDeque::new(),
            bytes: 0,
            max_bytes,
            points_dropped: 0,
        }
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn points_dropped(&self) -> u64 {
        self.points_dropped
    }

    pub(super) fn has_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    pub(super) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }

    /// Appends a chunk, and drops the oldest unsent chunks beyond the maximum size. Chunks in flight count
    /// towards the size and are not dropped.
    pub(super) fn push(&mut self, chunk: Chunk) {
        self.bytes += chunk.bytes.len();
        self.unsent.push_back(UnsentChunk { bytes: chunk.bytes.into(), points: chunk.points });
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.unsent.pop_front() else { break };
            self.bytes -= oldest.bytes.len();
            self.points_dropped += u64::from(oldest.points);
        }
    }

    /// Moves the next unsent chunk to those in flight and returns its bytes, which begin at the offset
    /// `handed_over` of the byte stream.
    pub(super) fn next_chunk(&mut self, handed_over: u64) -> Option<Bytes> {
        let chunk = self.unsent.pop_front()?;
        let bytes = chunk.bytes.clone();
        let end = handed_over + bytes.len() as u64;
        self.in_flight.push_back(InFlightChunk { chunk, end });
        Some(bytes)
    }

    /// Removes the chunks in flight that lie completely within the first `written` bytes of the byte stream.
    /// Returns whether any chunk was removed.
    pub(super) fn acknowledge(&mut self, written: u64) -> bool {
        let mut any_complete = false;
        while self.in_flight.front().is_some_and(|first| first.end <= written) {
            let Some(complete) = self.in_flight.pop_front() else { break };
            self.bytes -= complete.chunk.bytes.len();
            any_complete = true;
        }
        any_complete
    }

    /// Moves the chunks in flight back to the front of the unsent chunks, after the connection broke.
    pub(super) fn return_in_flight(&mut self) {
        while let Some(last) = self.in_flight.pop_back() {
            self.unsent.push_front(last.chunk);
        }
    }
}
