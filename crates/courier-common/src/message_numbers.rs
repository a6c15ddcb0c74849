//! Allocation of the 32-bit message numbers by which the decision library identifies messages.

/// Allocates message numbers in ascending order. After `u32::MAX` it continues at 0 and skips every number in
/// use, so that two messages in flight never have the same number.
#[derive(Clone, Copy, Debug)]
pub struct MessageNumbers {
    /// The next number to try.
    next: u32,
}

impl MessageNumbers {
    /// Creates an allocator that begins with the number `next`.
    pub fn starting_at(next: u32) -> Self {
        MessageNumbers { next }
    }

    /// Returns the next number for which `in_use` is false. It would loop forever with all 2^32 numbers in
    /// use, which the bound on messages in flight rules out.
    pub fn allocate(&mut self, in_use: impl Fn(u32) -> bool) -> u32 {
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
mod tests;
