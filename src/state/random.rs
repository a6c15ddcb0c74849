//! Pseudo-random number generator: a seed gives the same numbers on every platform.

/// The SplitMix64 generator.
#[derive(Debug, Default)]
pub(crate) struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator from a seed.
    pub(crate) fn new(seed: u64) -> Self {
        Random { state: seed }
    }

    /// Returns the next number, uniformly distributed in [0, 1), with 53 random bits.
    pub(crate) fn draw(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
