//! Errors in a settings object.

/// Why a settings object cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A class of messages does not say whether a message may be attempted again.
    #[error("services[{class}].idempotency is {found}; `pure`, `token` or `side_effect` is expected")]
    UnknownIdempotency {
        /// Index of the class.
        class: usize,
        /// The value of the field, as JSON.
        found: String,
    },
}
