//! The environment variables by which the platform names the courier's files.

use crate::config::Config;
use anyhow::Context;
use std::path::{Path, PathBuf};

/// The files that the environment names.
#[derive(Clone, Debug)]
pub struct Environment {
    /// The configuration file.
    pub config: PathBuf,
    /// The directory for files that survive the process.
    pub state: PathBuf,
}

impl Environment {
    /// Reads the environment variables.
    pub fn read() -> anyhow::Result<Environment> {
        Ok(Environment { config: read_path("RELAY_CONFIG")?, state: read_path("RELAY_STATE")? })
    }
}

fn read_path(name: &str) -> anyhow::Result<PathBuf> {
    let value = std::env::var_os(name).filter(|value| !value.is_empty());
    value.map(PathBuf::from).with_context(|| format!("{name} is not set; the platform sets it at start"))
}

/// Reads the configuration file.
pub fn read_config(path: &Path) -> anyhow::Result<Config> {
    let bytes = std::fs::read(path)
        .with_context(|| format!("{} cannot be read; RELAY_CONFIG names it", path.display()))?;
    Config::read(&bytes).with_context(|| format!("{} cannot be used", path.display()))
}
