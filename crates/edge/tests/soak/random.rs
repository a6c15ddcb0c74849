//! A seeded random number generator for the choices of a run.

/// The generator SplitMix64.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates the generator of one part of a run. Each part has its own, so that its choices do not depend
    /// on the timing of the others.
    pub fn new(seed: u64, part: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part.wrapping_mul(0xd1b5_4a32_d192_ed03))
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 to `end - 1`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }

    /// Returns a number from `first` to `last`, both included.
    pub fn between(&mut self, first: u64, last: u64) -> u64 {
        first + self.below(last - first + 1)
    }

    /// Returns `true` with this probability, in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
