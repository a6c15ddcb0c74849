//! Redaction of the secret keys in a document that is shown, and their restoration when an operator edits the
//! document and sends it back.

use super::{Security, SettingsError, Telemetry};
use std::collections::BTreeMap;

/// Placeholder of a key that is not shown. Operators' documents contain this text, so it must not change.
const HIDDEN_KEY: &str = "(kept)";

/// A secret key in a document.
struct KeyEntry<'a> {
    /// Place of the key in the document: the receiver or listener, the user and, for a listener, the key's
    /// index. A key has the same place in the document that was shown and in the document that is sent back.
    owner: String,
    key: &'a mut String,
}

impl Telemetry {
    /// Returns the document with its keys replaced by a placeholder.
    pub fn without_keys(&self) -> Telemetry {
        let mut hidden = self.clone();
        for KeyEntry { key, .. } in hidden.keys_mut() {
            *key = HIDDEN_KEY.to_owned();
        }
        hidden
    }

    /// Replaces the hidden keys of a document that comes back with the keys in the same places of the current
    /// document. Keys without a counterpart stay hidden, and [`Telemetry::check`] rejects them.
    pub fn restore_hidden_keys(&mut self, current: Option<&Telemetry>) {
        let mut current = current.cloned().unwrap_or_default();
        let mut known_keys = BTreeMap::new();
        for KeyEntry { owner, key } in current.keys_mut() {
            known_keys.insert(owner, key.clone());
        }
        for KeyEntry { owner, key } in self.keys_mut() {
            if key != HIDDEN_KEY {
                continue;
            }
            if let Some(known_key) = known_keys.get(&owner) {
                key.clone_from(known_key);
            }
        }
    }

    /// Checks that no key is the placeholder. [`Telemetry::restore_hidden_keys`] leaves the placeholder where
    /// the current document has no key.
    pub(super) fn check_no_hidden_keys(&self) -> Result<(), SettingsError> {
        let mut document = self.clone();
        let mut hidden = document.keys_mut();
        hidden.retain(|entry| entry.key == HIDDEN_KEY);
        match hidden.pop() {
            Some(entry) => Err(SettingsError::UnknownKey { owner: entry.owner }),
            None => Ok(()),
        }
    }

    /// Returns all keys, in the order of the document.
    fn keys_mut(&mut self) -> Vec<KeyEntry<'_>> {
        let mut keys = Vec::new();
        if let Some(collectd) = &mut self.collectd {
            if let Security::Sign(user) | Security::Encrypt(user) = &mut collectd.security {
                keys.push(KeyEntry { owner: format!("collectd {}", user.user), key: &mut user.key });
            }
        }
        if let Some(listen) = &mut self.listen {
            for (user, user_keys) in &mut listen.users {
                for (number, key) in user_keys.iter_mut().enumerate() {
                    keys.push(KeyEntry { owner: format!("listen {user} {number}"), key });
                }
            }
        }
        keys
    }
}
