//! The environment variables by which the platform names the courier's files.

use crate::config::Config;
use anyhow::Context;
use linnetcart_net::is_transient;
use std::io;
use std::path::{Path, PathBuf};

/// Paths that the environment variables name.
#[derive(Clone, Debug)]
pub struct Environment {
    /// Path of the configuration file (`RELAY_CONFIG`).
    pub config: PathBuf,
    /// Path of the directory for files that survive the process (`RELAY_STATE`).
    pub state: PathBuf,
}

impl Environment {
    /// Reads the environment variables.
    ///
    /// # Errors
    ///
    /// If one of the variables is not set or is empty.
    pub fn read() -> anyhow::Result<Environment> {
        Ok(Environment { config: read_path("RELAY_CONFIG")?, state: read_path("RELAY_STATE")? })
    }
}

fn read_path(name: &str) -> anyhow::Result<PathBuf> {
    let value = std::env::var_os(name).filter(|value| !value.is_empty());
    value
        .map(PathBuf::from)
        .with_context(|| format!("{name} is not set; the platform sets it when it starts the courier"))
}

/// Why the configuration cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{} cannot be read (path from RELAY_CONFIG): {error}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The content of the file is not a valid configuration.
    #[error("{} is not a valid configuration: {error:#}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Why the content is not a valid configuration.
        error: anyhow::Error,
    },
}

impl ConfigError {
    /// Whether a retry may succeed: only if the file could not be read because of a transient error.
    pub fn is_transient(&self) -> bool {
        matches!(self, ConfigError::Unreadable { error, .. } if is_transient(error))
    }
}

/// Reads the configuration file.
///
/// # Errors
///
/// If the file cannot be read, or its content is not a valid configuration.
pub fn read_config(path: &Path) -> Result<Config, ConfigError> {
    let path = path.to_owned();
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) => return Err(ConfigError::Unreadable { path, error }),
    };
    Config::read(&bytes).map_err(|error| ConfigError::Invalid { path, error: error.into() })
}
