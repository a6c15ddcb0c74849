//! The received bytes of a request, and what is known of its length. The bytes are parsed as often as they can have become
//! a head or a request, not at each read.

use linnetcart_courier_common::memory_budget::reserve;
use linnetcart_http::{parse_request, request_length, Request, RequestError, RequestLength, MAX_HEAD_BYTES};

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The head is incomplete; the first `checked_bytes` were parsed.
    Head { checked_bytes: usize },
    /// The head is complete.
    Body(RequestLength),
    /// The bytes cannot become a valid request.
    Malformed,
}

/// The buffered bytes of a request.
#[derive(Debug)]
pub struct RequestBuffer {
    bytes: Vec<u8>,
    progress: Progress,
}

impl Default for RequestBuffer {
    fn default() -> RequestBuffer {
        RequestBuffer { bytes: vec![], progress: Progress::Head { checked_bytes: 0 } }
    }
}

impl RequestBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        reserve(&mut self.bytes, bytes.len());
        self.bytes.extend_from_slice(bytes);
        self.update_progress(bytes);
    }

    fn update_progress(&mut self, added: &[u8]) {
        let Progress::Head { checked_bytes } = self.progress else { return };
        let length = self.bytes.len();
        // Only a line end completes a head. Other bytes are looked at whenever their number has doubled.
        let may_have_changed =
            added.contains(&b'\n') || length >= 2 * checked_bytes || length > MAX_HEAD_BYTES;
        if !may_have_changed {
            return;
        }
        self.progress = match request_length(&self.bytes) {
            Ok(None) => Progress::Head { checked_bytes: length },
            Ok(Some(length)) => Progress::Body(length),
            Err(_) => Progress::Malformed,
        };
    }

    /// Returns the received bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the number of bytes that the buffer takes in memory.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether the bytes cannot become a valid request.
    pub fn is_malformed(&self) -> bool {
        self.progress == Progress::Malformed
    }

    /// Whether the head is incomplete.
    pub fn is_in_head(&self) -> bool {
        matches!(self.progress, Progress::Head { .. })
    }

    /// Whether some bytes have arrived, and more are needed.
    pub fn is_partial(&self) -> bool {
        match self.progress {
            Progress::Head { .. } => !self.bytes.is_empty(),
            Progress::Body(length) => self.bytes.len() < length.total,
            Progress::Malformed => false,
        }
    }

    /// Returns the request, or `None` while more bytes are needed.
    ///
    /// # Errors
    ///
    /// If the bytes cannot become a valid request.
    pub fn request(&self) -> Result<Option<Request<'_>>, RequestError> {
        if self.is_partial() || self.bytes.is_empty() {
            return Ok(None);
        }
        parse_request(&self.bytes)
    }

    /// Frees the body, which is kept elsewhere, and keeps the head for the answers to bytes that may follow.
    pub fn free_body(&mut self) {
        if let Progress::Body(length) = self.progress {
            self.bytes.truncate(length.head);
            self.bytes.shrink_to_fit();
        }
    }
}

#[cfg(test)]
mod tests;
