//! Errors of an emulated run.

use std::error::Error;

/// Why a run could not be carried through.
#[derive(Debug, thiserror::Error)]
pub enum EmulationError {
    /// Settings or endpoint lists did not reach the couriers in time.
    #[error("the couriers did not get ready in {limit_seconds} s of virtual time")]
    CouriersNotReady {
        /// The virtual time that they had.
        limit_seconds: u64,
    },
    /// Couriers did not finish their shutdown in time.
    #[error("couriers {couriers:?} did not end within their time")]
    CouriersNotStopped {
        /// Those with messages or notifications outstanding.
        couriers: Vec<u32>,
    },
    /// The scenario around the couriers failed.
    #[error(transparent)]
    Scenario(#[from] Box<dyn Error + Send + Sync>),
}
