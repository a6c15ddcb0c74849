//! Length-prefixed frames: cut out of a stream of bytes, and written to one.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of the length in front of each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// A length prefix that no frame can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is below zero.
    #[error("frame of negative length {0}")]
    Negative(i32),
    /// The frame is larger than the maximum.
    #[error("frame of {length} bytes; at most {most} are taken")]
    TooLarge {
        /// Its length.
        length: usize,
        /// The maximum.
        most: usize,
    },
}

/// Collects bytes and cuts them into frames of bounded length.
#[derive(Debug)]
pub struct Frames {
    buffered: BytesMut,
    max_frame_bytes: usize,
}

impl Frames {
    /// Frames of at most so many bytes, their length prefix not counted.
    pub fn new(most: usize) -> Self {
        Frames { buffered: BytesMut::new(), max_frame_bytes: most }
    }

    /// Adds bytes as they came. The caller takes all whole frames before it adds more, so that what is buffered
    /// stays under one frame and one read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffered.extend_from_slice(bytes);
    }

    /// The next whole frame, without its length prefix; `None` while more bytes are needed.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(prefix) = self.buffered.first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
        let length = i32::from_be_bytes(*prefix);
        let length = usize::try_from(length).map_err(|_| FrameError::Negative(length))?;
        if length > self.max_frame_bytes {
            return Err(FrameError::TooLarge { length, most: self.max_frame_bytes });
        }
        if self.buffered.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffered.advance(LENGTH_PREFIX_BYTES);
        let frame = self.buffered.split_to(length).freeze();
        if self.buffered.is_empty() {
            // An idle connection does not keep the memory of its largest frame.
            self.buffered = BytesMut::new();
        }
        Ok(Some(frame))
    }

    /// Bytes buffered that are no whole frame yet.
    pub fn held(&self) -> usize {
        self.buffered.len()
    }
}

/// Collects the bytes of one frame behind its length prefix.
pub(crate) struct FrameWriter {
    buffer: BytesMut,
}

impl FrameWriter {
    pub(crate) fn new() -> FrameWriter {
        let mut buffer = BytesMut::new();
        buffer.put_bytes(0, LENGTH_PREFIX_BYTES);
        FrameWriter { buffer }
    }

    /// Where the frame's bytes are appended.
    pub(crate) fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Bytes of the frame so far, its length prefix not counted.
    pub(crate) fn length(&self) -> usize {
        self.buffer.len() - LENGTH_PREFIX_BYTES
    }

    /// The frame with its length prefix.
    pub(crate) fn finish(mut self) -> Bytes {
        let length = self.length() as i32;
        self.buffer[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
        self.buffer.freeze()
    }
}
