//! Errors in scenario documents and during runs.

use crate::runner::TransportError;

/// An error in a scenario document or during a run.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The document is not TOML, or has unknown, missing or mistyped keys.
    #[error(transparent)]
    Document(#[from] toml::de::Error),
    /// A value of the document is out of its range.
    #[error("{place}: expected {expected}")]
    Invalid {
        /// The key, section or fault that has the invalid value.
        place: String,
        /// Which values are valid there; follows "expected" in the message.
        expected: String,
    },
    /// A built-in scenario is invalid.
    #[error("built-in scenario {name}")]
    BuiltIn {
        /// The name of the scenario.
        name: String,
        /// The error in it.
        source: Box<ScenarioError>,
    },
    /// The scenario in a file is invalid.
    #[error("{path}")]
    File {
        /// The path of the file.
        path: String,
        /// The error in it.
        source: Box<ScenarioError>,
    },
    /// There is neither a built-in scenario of this name nor a readable file of this path.
    #[error("`{name}` is neither a file nor a built-in scenario; built-in scenarios: {known}")]
    Unknown {
        /// The requested name or path.
        name: String,
        /// The names of the built-in scenarios.
        known: String,
        /// Why no file of this path could be read.
        source: std::io::Error,
    },
    /// The transport could not start a courier or open an endpoint.
    #[error(transparent)]
    Transport(TransportError),
    /// A courier rejected a document that it received on its control interface.
    #[error("courier {courier} rejected its settings or endpoint list: {reason}")]
    DocumentRejected {
        /// The number of the courier.
        courier: u32,
        /// The reason that the courier gave.
        reason: String,
    },
    /// A request of a client could not be encoded.
    #[error(transparent)]
    Request(#[from] linnetcart_kafka::codes::Malformed),
}

impl ScenarioError {
    pub(crate) fn invalid(place: impl Into<String>, expected: impl Into<String>) -> Self {
        ScenarioError::Invalid { place: place.into(), expected: expected.into() }
    }
}

/// Returns [`ScenarioError::Invalid`] for this place unless the condition holds.
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
