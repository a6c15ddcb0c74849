//! Errors of an emulated run.

use std::error::Error;

/// Why an emulated run failed.
#[derive(Debug, thiserror::Error)]
pub enum EmulationError {
    /// Not every courier had its settings, the endpoint list and a client connection within the time limit.
    #[error("the couriers were not ready after {limit_seconds} s of virtual time")]
    CouriersNotReady {
        /// The time limit, in seconds of virtual time.
        limit_seconds: u64,
    },
    /// Couriers did not finish their shutdown within the time limit.
    #[error("couriers {couriers:?} did not shut down within the time limit")]
    CouriersNotStopped {
        /// The couriers that still had inputs to process, messages without a final answer or requests without
        /// a response.
        couriers: Vec<u32>,
    },
    /// The scenario runner failed, for example because a courier rejected a document.
    #[error(transparent)]
    Scenario(#[from] Box<dyn Error + Send + Sync>),
}
