//! Numbers of messages, as the decision library wants them: 32 bits wide and never used for two at once.

/// Allocates message numbers. After 2^32 messages it starts again and skips every number that is still in use, so
/// that no number ever stands for two messages of which anything can still be reported.
#[derive(Clone, Copy, Debug)]
pub struct MessageNumbers {
    next: u32,
}

impl MessageNumbers {
    /// Starts at this number.
    pub fn starting_at(next: u32) -> Self {
        MessageNumbers { next }
    }

    /// A number that is not in use. Fewer than 2^32 may be in use; the bound on messages in flight ensures that.
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
