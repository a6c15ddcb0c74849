//! The memory budget of a courier: how much each part of the process may hold whose growth is in the hands of others.
//!
//! The parts together with the process itself stay under the limit, whatever clients, endpoints and discovery send at
//! the same time.

/// Memory of the process itself: code, stacks, event loop, tables of fixed size, and the state of the decision library.
const PROCESS_BYTES: u64 = 7_000_000;
/// Memory of a connection apart from the bytes that are buffered for it.
const BYTES_PER_DESCRIPTOR: u64 = 1_000;
/// The number of shares that the rest of the memory is divided into. Those that no part has are the reserve for what
/// the allocator cannot use.
const SHARES: u64 = 24;
/// A limit below this is treated as this one.
const MIN_LIMIT_BYTES: u64 = 16_000_000;
/// The limit where the settings state none, in bytes.
pub const DEFAULT_LIMIT_BYTES: u64 = 32_000_000;

/// The bytes that each part of a courier may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Received bytes of requests that are not complete or not answered.
    pub requests: usize,
    /// Messages in flight, with everything that is kept or encoded for each.
    pub messages: usize,
    /// Ids of messages that have ended.
    pub ended_ids: usize,
    /// Received bytes of responses, and the responses that are kept to recognise copies.
    pub responses: usize,
    /// The endpoint list.
    pub endpoints: usize,
    /// An update of the endpoint list, as text and in memory.
    pub endpoint_update: usize,
    /// What one iteration of the event loop reads and encodes.
    pub iteration: usize,
}

impl MemoryBudget {
    /// Divides the memory of a process that may use `limit_bytes` and this many file descriptors.
    pub fn new(limit_bytes: u64, file_descriptors: usize) -> MemoryBudget {
        let fixed = PROCESS_BYTES + file_descriptors as u64 * BYTES_PER_DESCRIPTOR;
        let share = limit_bytes.max(MIN_LIMIT_BYTES).saturating_sub(fixed) / SHARES;
        let bytes = |shares: u64| (shares * share) as usize;
        MemoryBudget {
            requests: bytes(4),
            messages: bytes(5),
            ended_ids: bytes(2),
            responses: bytes(3),
            endpoints: bytes(3),
            endpoint_update: bytes(3),
            iteration: bytes(1),
        }
    }

    /// Returns a budget without limits.
    pub const fn unlimited() -> MemoryBudget {
        MemoryBudget {
            requests: usize::MAX,
            messages: usize::MAX,
            ended_ids: usize::MAX,
            responses: usize::MAX,
            endpoints: usize::MAX,
            endpoint_update: usize::MAX,
            iteration: usize::MAX,
        }
    }
}

/// The bytes that a part of the process holds, and the most that it may hold.
#[derive(Debug)]
pub struct MemoryAccount {
    capacity: usize,
    held: usize,
}

impl MemoryAccount {
    /// Creates the account of a part that holds nothing.
    pub fn new(capacity: usize) -> MemoryAccount {
        MemoryAccount { capacity, held: 0 }
    }

    /// Records that something grew or shrank from `before` to `after` bytes.
    pub fn resize(&mut self, before: usize, after: usize) {
        self.held = self.held.saturating_sub(before) + after;
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether this many bytes more fit.
    pub fn has_room_for(&self, bytes: usize) -> bool {
        self.held.saturating_add(bytes) <= self.capacity
    }

    /// Whether more is held than may be.
    pub fn is_exceeded(&self) -> bool {
        self.held > self.capacity
    }

    /// Whether more than half of what may be is held.
    pub fn is_half_used(&self) -> bool {
        self.held > self.capacity / 2
    }
}

/// Length up to which [`reserve`] doubles a buffer.
const SMALL_BUFFER_BYTES: usize = 16 * 1024;
/// Steps in which [`reserve`] lets a larger buffer grow.
const BUFFER_STEP_BYTES: usize = 16 * 1024;

/// Makes room for `additional` bytes in a buffer that grows with what a peer sends. Unlike that of a `Vec`, its capacity
/// stays close to its length.
pub fn reserve(buffer: &mut Vec<u8>, additional: usize) {
    let needed = buffer.len() + additional;
    if needed <= buffer.capacity() {
        return;
    }
    let capacity = if needed <= SMALL_BUFFER_BYTES {
        needed.next_power_of_two()
    } else {
        needed.next_multiple_of(BUFFER_STEP_BYTES)
    };
    buffer.reserve_exact(capacity - buffer.len());
}

#[cfg(test)]
mod tests;
