//! Pseudo-random numbers, the same for the same seed on every platform.

/// Random numbers from a seed (splitmix64).
#[derive(Debug, Default)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Creates the generator of a seed.
    pub(crate) fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// Returns the next number, uniform in [0, 1).
    pub(crate) fn draw(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
