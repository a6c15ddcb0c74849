//! Baseline policies: simple delivery policies that a courier without the decision library might have. They
//! are compared with the library and are not part of the product.

mod round_robin;

use linnetcart_edge::core::{library, PolicyFactory};
use round_robin::{Retries, RoundRobin};

/// Names of all policies, the library's first.
pub const NAMES: [&str; 3] = ["library", "one-try", "round-robin"];

/// Returns the policy of this name, or `None` if there is no such policy.
pub fn policy(name: &str) -> Option<PolicyFactory> {
    match name {
        "library" => Some(library),
        "one-try" => Some(|settings, _| Box::new(RoundRobin::new(settings, Retries::Never))),
        "round-robin" => Some(|settings, _| Box::new(RoundRobin::new(settings, Retries::AsClassAllows))),
        _ => None,
    }
}
