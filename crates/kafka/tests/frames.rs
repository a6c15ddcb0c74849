//! Splitting a stream of bytes into frames.

use linnetcart_kafka::{FrameError, Frames};
use proptest::prelude::*;

const MAX_BODY_BYTES: usize = 50;
const MAX_FRAME_BYTES: usize = 4 + MAX_BODY_BYTES;

fn any_bodies() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let body = prop::collection::vec(any::<u8>(), 0..MAX_BODY_BYTES);
    prop::collection::vec(body, 0..8)
}

proptest! {
    #[test]
    fn stream_received_in_pieces_yields_complete_frames(bodies in any_bodies(), piece_bytes in 1usize..17) {
        let mut stream = Vec::new();
        for body in &bodies {
            stream.extend((body.len() as i32).to_be_bytes());
            stream.extend(body);
        }
        let mut frames = Frames::new(MAX_BODY_BYTES);
        let mut received = Vec::new();
        for piece in stream.chunks(piece_bytes) {
            frames.push(piece);
            while let Some(frame) = frames.next_frame().unwrap() {
                received.push(frame.to_vec());
            }
            prop_assert!(frames.buffered_bytes() < MAX_FRAME_BYTES + piece_bytes);
        }
        prop_assert_eq!(received, bodies);
    }
}

#[test]
fn length_beyond_the_maximum_is_an_error_before_its_bytes() {
    let mut frames = Frames::new(10);
    frames.push(&11i32.to_be_bytes());
    assert_eq!(frames.next_frame(), Err(FrameError::TooLarge { length: 11, max: 10 }));
}

#[test]
fn negative_length_is_an_error_before_its_bytes() {
    let mut frames = Frames::new(10);
    frames.push(&(-1i32).to_be_bytes());
    assert_eq!(frames.next_frame(), Err(FrameError::Negative(-1)));
}
