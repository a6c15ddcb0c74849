//! Message numbers for the decision library: 32 bits wide and never used by two messages at a time.

/// Allocates message numbers. After 2^32 messages it starts again and skips every number that is in use, so
/// that an event about a message never refers to another one.
#[derive(Clone, Copy, Debug)]
pub struct MessageNumbers {
    next: u32,
}

impl MessageNumbers {
    /// Creates an allocator whose first number is `next`.
    pub fn starting_at(next: u32) -> Self {
        MessageNumbers { next }
    }

    /// Returns a number for which `in_use` is false. It does not return while all 2^32 numbers are in use;
    /// the bound on messages in flight rules that out.
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
