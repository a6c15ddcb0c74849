//! Length-prefixed frames out of a stream of bytes.

use bytes::{Buf, Bytes, BytesMut};

/// A frame that cannot be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Its length is below zero.
    #[error("frame of negative length {0}")]
    Negative(i32),
    /// It is larger than the bound.
    #[error("frame of {length} bytes; at most {most} are taken")]
    TooLarge {
        /// Its length.
        length: usize,
        /// The bound.
        most: usize,
    },
}

/// Collects bytes and cuts them into frames of bounded length.
#[derive(Debug)]
pub struct Frames {
    held: BytesMut,
    most: usize,
}

impl Frames {
    /// Frames of at most so many bytes, their length prefix not counted.
    pub fn new(most: usize) -> Self {
        Frames { held: BytesMut::new(), most }
    }

    /// Adds bytes as they came. The caller takes all whole frames before it adds more, so that what is held
    /// stays under one frame and one read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole frame without its length prefix.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(prefix) = self.held.first_chunk::<4>() else { return Ok(None) };
        let length = i32::from_be_bytes(*prefix);
        let length = usize::try_from(length).map_err(|_| FrameError::Negative(length))?;
        if length > self.most {
            return Err(FrameError::TooLarge { length, most: self.most });
        }
        if self.held.len() < 4 + length {
            return Ok(None);
        }
        self.held.advance(4);
        let frame = self.held.split_to(length).freeze();
        if self.held.is_empty() {
            // Do not keep the largest frame's room for an idle connection.
            self.held = BytesMut::new();
        }
        Ok(Some(frame))
    }

    /// Bytes held that are no whole frame yet.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn frames_survive_any_cutting(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..8),
                                      cut in 1usize..17) {
            let mut stream = Vec::new();
            for b in &bodies {
                stream.extend((b.len() as i32).to_be_bytes());
                stream.extend(b);
            }
            let mut frames = Frames::new(50);
            let mut got = Vec::new();
            for piece in stream.chunks(cut) {
                frames.push(piece);
                while let Some(f) = frames.next_frame().unwrap() {
                    got.push(f.to_vec());
                }
                prop_assert!(frames.held() < 54 + cut);
            }
            prop_assert_eq!(got, bodies);
        }
    }

    #[test]
    fn a_length_beyond_the_bound_is_an_error_before_its_bytes_come() {
        let mut frames = Frames::new(10);
        frames.push(&11i32.to_be_bytes());
        assert_eq!(frames.next_frame(), Err(FrameError::TooLarge { length: 11, most: 10 }));
        let mut frames = Frames::new(10);
        frames.push(&(-1i32).to_be_bytes());
        assert_eq!(frames.next_frame(), Err(FrameError::Negative(-1)));
    }
}
