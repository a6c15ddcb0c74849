//! Frames cut out of a stream of bytes.

use linnetcart_kafka::{FrameError, Frames};
use proptest::prelude::*;

proptest! {
    #[test]
    fn frames_cut_anywhere_come_out_whole(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..8),
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
fn length_beyond_the_maximum_is_an_error_before_its_bytes() {
    let mut frames = Frames::new(10);
    frames.push(&11i32.to_be_bytes());
    assert_eq!(frames.next_frame(), Err(FrameError::TooLarge { length: 11, most: 10 }));
    let mut frames = Frames::new(10);
    frames.push(&(-1i32).to_be_bytes());
    assert_eq!(frames.next_frame(), Err(FrameError::Negative(-1)));
}
