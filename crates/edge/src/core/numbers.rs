//! Numbers of messages, as the decision library wants them: 32 bits wide and never used twice.

/// Gives out numbers. After 2^32 messages it begins anew and passes over every number that is still in use,
/// so that none ever stands for two messages that anything can still be told of.
#[derive(Clone, Copy, Debug)]
pub struct Numbers {
    next: u32,
}

impl Numbers {
    /// Begins at this number.
    pub fn from(next: u32) -> Self {
        Numbers { next }
    }

    /// A number that is not in use. Fewer than 2^32 may be in use; the bound on held messages sees to that.
    pub fn give(&mut self, in_use: impl Fn(u32) -> bool) -> u32 {
        loop {
            let number = self.next;
            self.next = self.next.wrapping_add(1);
            if !in_use(number) {
                return number;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn after_the_last_number_it_begins_anew_and_passes_over_those_in_use() {
        let mut numbers = Numbers::from(u32::MAX - 1);
        let in_use = |n: u32| n == u32::MAX || n == 0 || n == 2;
        let given: Vec<u32> = (0..4).map(|_| numbers.give(in_use)).collect();
        assert_eq!(given, [u32::MAX - 1, 1, 3, 4]);
    }
}
