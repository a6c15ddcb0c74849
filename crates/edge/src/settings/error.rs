//! Why a document is rejected.

use serde::Serialize;

/// Why a document is rejected. The control interface returns it as the `error` object of a JSON reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[error("{field}: {reason}")]
pub struct InvalidDocument {
    /// The path of the field in the document, such as `classes[1].repeat`.
    pub field: String,
    /// What is wrong with the value, and which values are valid.
    pub reason: String,
}

/// Returns the error that rejects a document because of this field.
pub(super) fn reject<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, InvalidDocument> {
    Err(InvalidDocument { field: field.into(), reason: reason.into() })
}
