//! The earlier responses on a connection.

/// Maximum size of the responses that are kept for a connection, in bytes. A connection that reaches it is
/// not reused.
const MAX_HISTORY_BYTES: usize = 16 << 10;
/// Memory of a response in addition to its bytes: its place in the list, and what the allocator adds.
const RESPONSE_OVERHEAD_BYTES: usize = 32;
/// The start of every status line of HTTP/1.0 and HTTP/1.1.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";

/// The earlier responses on a connection, from the status line to the end of the body.
#[derive(Debug, Default)]
pub struct ResponseHistory {
    responses: Vec<Box<[u8]>>,
    bytes: usize,
}

impl ResponseHistory {
    /// Whether the bytes of a response that have arrived may come from a copy of an earlier response: they are
    /// the start of one, all of one, or the start of one with another response behind it.
    pub fn may_repeat(&self, response: &[u8]) -> bool {
        let may_be_copy_of =
            |earlier: &[u8]| earlier.starts_with(response) || begins_with_piece_of(earlier, response);
        self.responses.iter().any(|earlier| may_be_copy_of(earlier))
    }

    /// Returns the number of bytes that the history takes in memory.
    pub fn held_bytes(&self) -> usize {
        self.bytes.min(MAX_HISTORY_BYTES) + self.responses.capacity() * RESPONSE_OVERHEAD_BYTES
    }

    /// Adds a complete response. Returns `false` if the history is full, in which case the connection must
    /// not be reused.
    pub fn push(&mut self, response: &[u8]) -> bool {
        self.bytes += response.len();
        if self.bytes > MAX_HISTORY_BYTES {
            return false;
        }
        self.responses.push(response.into());
        true
    }
}

/// Whether a response begins with a piece of an earlier one, behind which another response begins.
fn begins_with_piece_of(earlier: &[u8], response: &[u8]) -> bool {
    let common = earlier.iter().zip(response).take_while(|(a, b)| a == b).count();
    let begins_response = |rest: &[u8]| {
        !rest.is_empty() && (rest.starts_with(STATUS_LINE_START) || STATUS_LINE_START.starts_with(rest))
    };
    (1..=common).any(|piece| begins_response(&response[piece..]))
}
