//! Checks of a settings document beyond deserialization.

use super::{Collectd, Graphite, Listen, Require, Security, SettingsError, Telemetry, User};
use std::ops::RangeInclusive;

/// Maximum length of host and user names in bytes: collectd allows 128 with the terminating zero byte.
const MAX_NAME_BYTES: usize = 127;

impl Telemetry {
    /// Checks the ranges of numbers, the lengths of names and the presence of keys.
    ///
    /// # Errors
    /// Returns the first violation that is found.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_no_hidden_keys()?;
        check_range("interval_s", self.interval_s as usize, 1..=3600)?;
        check_range("points", self.points, 1000..=10_000_000)?;
        check_range("cells", self.cells, 100..=1_000_000)?;
        check_range("names", self.names.len(), 0..=100_000)?;
        if let Some(graphite) = &self.graphite {
            graphite.check()?;
        }
        if let Some(collectd) = &self.collectd {
            collectd.check()?;
        }
        if let Some(listen) = &self.listen {
            listen.check()?;
        }
        Ok(())
    }
}

impl Graphite {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("graphite.queue_bytes", self.queue_bytes, 1 << 16..=1 << 30)?;
        check_range("graphite.stuck_s", self.stuck_s as usize, 1..=3600)
    }
}

impl Collectd {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("collectd.packet_bytes", self.packet_bytes, 1024..=65_507)?;
        if self.host.as_ref().is_some_and(|host| !is_valid_name(host)) {
            return Err(SettingsError::InvalidHostName);
        }
        match &self.security {
            Security::Sign(user) | Security::Encrypt(user) => user.check(),
            Security::None => Ok(()),
        }
    }
}

impl User {
    fn check(&self) -> Result<(), SettingsError> {
        if is_valid_name(&self.user) && !self.key.is_empty() {
            Ok(())
        } else {
            Err(SettingsError::InvalidUser)
        }
    }
}

impl Listen {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("listen.skew_s", self.skew_s as usize, 1..=86_400)?;
        let has_keys = self.users.values().any(|keys| !keys.is_empty());
        if self.require != Require::Nothing && !has_keys {
            return Err(SettingsError::MissingUserKeys);
        }
        Ok(())
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

fn check_range(
    field: &'static str,
    value: usize,
    allowed: RangeInclusive<usize>,
) -> Result<(), SettingsError> {
    if allowed.contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::OutOfRange { field, value, min: *allowed.start(), max: *allowed.end() })
    }
}
