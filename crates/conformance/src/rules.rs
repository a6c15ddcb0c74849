//! The checks of the six rules, one module each. Every check counts the cases to which its rule applied.
//!
//! The title of a rule is stored in reports, journals and found scenarios, so it must not change.

pub(crate) mod draining;
pub(crate) mod final_answer;
pub(crate) mod key_order;
pub(crate) mod recovery;
pub(crate) mod retry_after;
pub(crate) mod single_effect;

use linnetcart::Time;

/// Converts a duration to milliseconds, for descriptions.
fn millis(duration: Time) -> f64 {
    duration as f64 / 1e6
}
