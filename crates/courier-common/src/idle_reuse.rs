//! Policies that decide whether an idle connection is reused for the next call.
//!
//! Endpoints and middleboxes may drop idle connections long before the stated idle timeout, and not always
//! visibly. The next call on such a connection is lost, and so is its message if it must not be executed
//! twice. Both policies guard against idle timeouts shorter than stated, middleboxes that forget flows, and
//! unannounced restarts. Their cost is that chance losses cause new connections that are not needed.
//!
//! There are two policies because the fronts observe different evidence; a common policy would change the
//! behaviour of one of them:
//!
//! - [`MaxIdlePolicy`], Kafka front: several calls share a connection and losses are rare. A single loss
//!   halves the maximum idle time for all endpoints; idle connections are closed when they reach it.
//! - [`LossRatePolicy`], platform front: a connection carries one call at a time, and losses are frequent
//!   where the network resets connections at random. The policy compares the loss rate of idle connections
//!   with that of new ones: where both lose calls under load, the idle time is not the cause.

mod loss_rate;
mod max_idle;

pub use loss_rate::{CallResult, LossRatePolicy};
pub use max_idle::MaxIdlePolicy;

#[cfg(test)]
mod tests;
