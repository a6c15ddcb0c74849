//! Error type for settings objects.

/// Why a settings object cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The idempotency of a message class is missing or unknown, so it is unknown whether messages of the
    /// class may be retried.
    #[error("services[{class}].idempotency is {found}; `pure`, `token` or `side_effect` is expected")]
    UnknownIdempotency {
        /// Index of the class in `services`.
        class: usize,
        /// The value found, as JSON text.
        found: String,
    },
}
