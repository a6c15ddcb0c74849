//! Whether a call may use a connection that has been idle.
//!
//! Endpoints, and what stands between, drop connections long before the idle timeout that they state, not always
//! visibly. The next call on such a connection is lost, and a message that must not run twice fails with it. Both
//! policies guard against idle timeouts that are shorter than stated, middleboxes that forget flows, and restarts
//! that nobody announced. Their cost: losses by chance make connections anew that need not be.
//!
//! There are two because the fronts see different evidence, and one policy for both would change what one of them
//! does:
//!
//! - [`MaxIdlePolicy`], Kafka front: several calls share a connection and a lost one is rare, so a single loss halves
//!   the longest idle time that is accepted, for all endpoints. It yields a bound by which idle connections close.
//! - [`LossRatePolicy`], platform front: one call a connection, with losses frequent where the network resets
//!   connections at random. It compares loss rates by idle time with that of new connections, where a reset under
//!   load says nothing about idle time.

mod loss_rate;
mod max_idle;

pub use loss_rate::{CallResult, LossRatePolicy};
pub use max_idle::MaxIdlePolicy;

#[cfg(test)]
mod tests;
