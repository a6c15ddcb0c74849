//! Why a document is rejected.

use serde::Serialize;

/// Why a document is rejected: the field, what is wrong with it, and what is expected. The control interface
/// returns it as JSON.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[error("{field}: {reason}")]
pub struct InvalidDocument {
    /// The path of the field in the document.
    pub field: String,
    /// What is wrong with it and what is expected.
    pub reason: String,
}

/// Rejects a document because of this field.
pub(super) fn reject<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, InvalidDocument> {
    Err(InvalidDocument { field: field.into(), reason: reason.into() })
}
