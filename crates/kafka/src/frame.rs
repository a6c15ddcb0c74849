//! Length-prefixed frames: splitting a stream of bytes into frames, and writing frames.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Size of the length prefix of each frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// An invalid length prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is negative.
    #[error("frame of negative length {0}")]
    Negative(i32),
    /// The frame is larger than the maximum.
    #[error("frame of {length} bytes; the maximum is {max}")]
    TooLarge {
        /// Length of the frame in bytes.
        length: usize,
        /// The maximum length in bytes.
        max: usize,
    },
}

/// Receive buffer of a connection, which splits the received bytes into frames of bounded length.
#[derive(Debug)]
pub struct Frames {
    buffered: BytesMut,
    max_frame_bytes: usize,
}

impl Frames {
    /// Creates an empty buffer for frames of at most `max_frame_bytes`, not counting the length prefix.
    pub fn new(max_frame_bytes: usize) -> Self {
        Frames { buffered: BytesMut::new(), max_frame_bytes }
    }

    /// Adds received bytes. Callers remove all complete frames before they add more, so that the buffer never
    /// holds more than one frame and one read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffered.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete frame without its length prefix, or `None` while it is
    /// incomplete.
    ///
    /// # Errors
    /// Fails if the length prefix is negative or exceeds the maximum. The caller must close the connection.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(prefix) = self.buffered.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let length = i32::from_be_bytes(*prefix);
        let length = usize::try_from(length).map_err(|_| FrameError::Negative(length))?;
        if length > self.max_frame_bytes {
            return Err(FrameError::TooLarge { length, max: self.max_frame_bytes });
        }
        if self.buffered.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffered.advance(LENGTH_PREFIX_BYTES);
        let frame = self.buffered.split_to(length).freeze();
        if self.buffered.is_empty() {
            // Frees the buffer, so that an idle connection does not retain the memory of its largest frame.
            self.buffered = BytesMut::new();
        }
        Ok(Some(frame))
    }

    /// Whether [`Frames::next_frame`] would return a frame or an error.
    pub fn has_frame(&self) -> bool {
        let Some(prefix) = self.buffered.first_chunk::<LENGTH_PREFIX_BYTES>() else { return false };
        match usize::try_from(i32::from_be_bytes(*prefix)) {
            Ok(length) if length <= self.max_frame_bytes => {
                self.buffered.len() >= LENGTH_PREFIX_BYTES + length
            }
            _ => true,
        }
    }

    /// Number of bytes that the buffer takes in memory.
    pub fn held_bytes(&self) -> usize {
        self.buffered.capacity()
    }

    /// Number of received bytes that do not form a complete frame yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }
}

/// Builds one frame behind its length prefix.
pub(crate) struct FrameWriter {
    buffer: BytesMut,
}

impl FrameWriter {
    pub(crate) fn new() -> FrameWriter {
        let mut buffer = BytesMut::new();
        buffer.put_bytes(0, LENGTH_PREFIX_BYTES);
        FrameWriter { buffer }
    }

    /// Returns the buffer to which the frame's bytes are appended.
    pub(crate) fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns the length of the frame so far in bytes, not counting the length prefix.
    pub(crate) fn length(&self) -> usize {
        self.buffer.len() - LENGTH_PREFIX_BYTES
    }

    /// Fills in the length prefix and returns the complete frame.
    pub(crate) fn finish(mut self) -> Bytes {
        let length = self.length() as i32;
        self.buffer[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
        self.buffer.freeze()
    }
}
