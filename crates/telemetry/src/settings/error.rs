//! What can be wrong with a document.

/// Why a document is rejected. Displayed, it says what was found and what is expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A number is too small or too large.
    #[error("{value}; {min} to {max} will do")]
    OutOfRange {
        /// The path of the field.
        field: &'static str,
        /// What it holds.
        value: usize,
        /// The least that is allowed.
        min: usize,
        /// The most that is allowed.
        max: usize,
    },
    /// A key is hidden, and no key is known that it could stand for.
    #[error("no key is known that could be kept; give it")]
    UnknownKey {
        /// Whose key it is.
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
    /// The path of the field that is wrong.
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
