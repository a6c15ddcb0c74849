//! What can be wrong with a settings object.

/// Why a settings object cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A class of message does not say whether it may be attempted again.
    #[error("services[{class}].idempotency is {found}; `pure`, `token` or `side_effect` is expected")]
    UnknownIdempotency {
        /// Number of the class.
        class: usize,
        /// What is given, as JSON.
        found: String,
    },
}
