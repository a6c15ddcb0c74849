//! Errors of a settings document.

/// Why a document is rejected. The texts say what was found and what is expected; clients of the control
/// interface see them next to [`SettingsError::field`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A number is too small or too large.
    #[error("{value}; {min} to {max} will do")]
    OutOfRange {
        /// Path of the field.
        field: &'static str,
        /// The value in the document.
        value: usize,
        /// The smallest allowed value.
        min: usize,
        /// The largest allowed value.
        max: usize,
    },
    /// A key is the placeholder of a hidden key, but the current document has no key in this place.
    #[error("no key is known that could be kept; give it")]
    UnknownKey {
        /// Place of the key: the receiver or listener, the user and, for a listener, the key's index.
        owner: String,
    },
    /// The host name of reports to collectd is empty or too long.
    #[error("1 to 127 bytes will do")]
    InvalidHostName,
    /// The user or the key for packets to collectd is empty or too long.
    #[error("a user of 1 to 127 bytes and a key are needed")]
    InvalidUser,
    /// Packets must be secured, but no user has a key.
    #[error("packets must be secured, but there is no user with a key")]
    MissingUserKeys,
}

impl SettingsError {
    /// Returns the path of the invalid field in the document.
    pub fn field(&self) -> &str {
        match self {
            SettingsError::OutOfRange { field, .. } => field,
            SettingsError::UnknownKey { owner } => owner,
            SettingsError::InvalidHostName => "collectd.host",
            SettingsError::InvalidUser => "collectd.security",
            SettingsError::MissingUserKeys => "listen.users",
        }
    }
}
