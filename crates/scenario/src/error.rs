//! What can be wrong with a scenario, or go wrong while it is played.

use crate::runner::TransportError;

/// An error of this package.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The document is no TOML, or has unknown, missing or mistyped keys.
    #[error(transparent)]
    Document(#[from] toml::de::Error),
    /// A value of the document is out of its range.
    #[error("{place}: {expected}")]
    Invalid {
        /// Where it stands.
        place: String,
        /// What was expected there.
        expected: String,
    },
    /// A built-in scenario is wrong.
    #[error("built-in day {name}")]
    BuiltIn {
        /// Its name.
        name: String,
        /// What is wrong with it.
        source: Box<ScenarioError>,
    },
    /// The scenario in a file is wrong.
    #[error("{path}")]
    File {
        /// The file.
        path: String,
        /// What is wrong with it.
        source: Box<ScenarioError>,
    },
    /// Neither a file nor a built-in scenario.
    #[error("`{name}` is no file and no built-in day; these are built in: {known}")]
    Unknown {
        /// What was asked for.
        name: String,
        /// The names of those that are built in.
        known: String,
        /// Why it is no file.
        source: std::io::Error,
    },
    /// Whoever carries the bytes and runs the couriers could not do something.
    #[error(transparent)]
    Transport(TransportError),
    /// A courier did not take what its control interface was given.
    #[error("courier {courier} turned its settings or list down: {reason}")]
    DocumentRejected {
        /// The courier.
        courier: u32,
        /// What it said.
        reason: String,
    },
    /// A request of a client could not be written.
    #[error(transparent)]
    Request(#[from] linnetcart_kafka::codes::Malformed),
}

impl ScenarioError {
    pub(crate) fn invalid(place: impl Into<String>, expected: impl Into<String>) -> Self {
        ScenarioError::Invalid { place: place.into(), expected: expected.into() }
    }
}

/// An error unless the condition holds.
pub(crate) fn require(
    condition: bool,
    place: impl Into<String>,
    expected: &str,
) -> Result<(), ScenarioError> {
    if condition {
        Ok(())
    } else {
        Err(ScenarioError::invalid(place, expected))
    }
}
