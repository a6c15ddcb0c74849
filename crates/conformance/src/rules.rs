//! One module for each of the six rules. Each counts the cases in which its rule was at stake.

pub(crate) mod draining;
pub(crate) mod final_answer;
pub(crate) mod key_order;
pub(crate) mod recovery;
pub(crate) mod retry_after;
pub(crate) mod single_effect;

use linnetcart::Time;

/// A span in milliseconds, for descriptions.
fn millis(span: Time) -> f64 {
    span as f64 / 1e6
}
