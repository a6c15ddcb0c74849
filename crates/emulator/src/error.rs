//! Errors of an emulated run.

use std::error::Error;

/// Why an emulated run failed.
#[derive(Debug, thiserror::Error)]
pub enum EmulationError {
    /// The couriers did not have their settings and endpoint lists in time.
    #[error("the couriers were not ready after {limit_seconds} s of virtual time")]
    CouriersNotReady {
        /// The time limit, in seconds of virtual time.
        limit_seconds: u64,
    },
    /// Couriers did not finish their shutdown in time.
    #[error("couriers {couriers:?} did not shut down within the time limit")]
    CouriersNotStopped {
        /// The couriers with outstanding inputs, messages or notifications.
        couriers: Vec<u32>,
    },
    /// The scenario runner failed, for example because a courier rejected a document.
    #[error(transparent)]
    Scenario(#[from] Box<dyn Error + Send + Sync>),
}
