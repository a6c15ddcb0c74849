//! Policies on the reuse of connections that have been idle.
//!
//! Endpoints and middleboxes drop idle connections long before the stated idle timeout, not always visibly.
//! The next call on such a connection is lost, and with it a message that must not be executed twice. Both
//! policies guard against idle timeouts shorter than stated, middleboxes that forget flows, and unannounced
//! restarts. Their cost: after losses that happened by chance, connections are established without need.
//!
//! There are two policies because the fronts see different evidence; a common policy would change the
//! behaviour of one of them:
//!
//! - [`MaxIdlePolicy`], Kafka front: several calls share a connection and a lost one is rare, so a single
//!   loss halves the longest idle time that is accepted, for all endpoints. It yields a bound by which idle
//!   connections close.
//! - [`LossRatePolicy`], platform front: one call at a time on a connection, with frequent losses where the
//!   network resets connections at random. It compares the loss rates of idle connections with that of new
//!   ones; where both lose calls under load, the idle time is not the cause.

mod loss_rate;
mod max_idle;

pub use loss_rate::{CallResult, LossRatePolicy};
pub use max_idle::MaxIdlePolicy;

#[cfg(test)]
mod tests;
