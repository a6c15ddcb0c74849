//! The control interface of the Kafka front: settings, endpoint list, telemetry and status as JSON documents
//! over HTTP. It does no I/O: the shell moves the bytes and writes the snapshot.
//!
//! A document is saved in the snapshot before it takes effect (write-ahead). If it cannot be saved, nothing
//! changes.

mod http;

pub use http::{ConnectionHeader, HttpConnection, HttpInput, Reply, Request, CONTINUE};

use crate::core::{Core, StartOptions};
use crate::settings::{EndpointList, EndpointListUpdate, InvalidDocument, Settings};
use crate::snapshot::{Snapshot, SnapshotError};
use linnetcart_telemetry::settings::Telemetry;
use serde_json::json;

/// Writes a snapshot to the state directory.
pub type SaveSnapshot<'a> = &'a mut dyn FnMut(&Snapshot) -> Result<(), SnapshotError>;

/// The state that the control interface reads and changes: the courier, once it has settings, and the content
/// of the snapshot.
#[derive(Debug)]
pub struct Program {
    /// The courier, or `None` until settings are put or restored.
    pub core: Option<Core>,
    /// Options of the courier, which is created when the first settings arrive.
    pub start_options: StartOptions,
    /// Saved settings that take effect at the next start; `None` if the settings in force stay in force.
    pub next_settings: Option<Settings>,
    /// The settings of telemetry, or `None` if there are none: then nothing is counted or reported.
    pub telemetry: Option<Telemetry>,
    /// Whether there is a state directory, in which counters survive a restart. Reports to Graphite and
    /// collectd require it.
    pub has_state_dir: bool,
    /// Why files of the state directory could not be restored, for the status page; `None` if all could.
    pub state_error: Option<String>,
    /// Values of the process for the status page, such as its uptime, by their JSON keys.
    pub process_status: serde_json::Map<String, serde_json::Value>,
}

impl Program {
    /// Creates a program without settings.
    pub fn new(start_options: StartOptions) -> Program {
        Program {
            core: None,
            start_options,
            next_settings: None,
            telemetry: None,
            has_state_dir: false,
            state_error: None,
            process_status: serde_json::Map::new(),
        }
    }

    /// Restores the content of a snapshot. Invalid settings or an invalid list are skipped and reported in
    /// `state_error`.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.telemetry = snapshot.telemetry;
        let Some(settings) = snapshot.settings else { return };
        if let Err(error) = settings.check() {
            self.state_error = Some(format!("the saved settings are not used: {error}"));
            return;
        }
        let mut core = Core::new(settings, self.start_options.clone());
        if let Err(error) = core.restore(snapshot.list) {
            self.state_error = Some(format!("the saved list is not used: {error}"));
        }
        self.core = Some(core);
    }

    /// Returns a snapshot of the current state, with the settings of the next start.
    fn snapshot(&self) -> Snapshot {
        let core = self.core.as_ref();
        Snapshot {
            settings: self.next_settings.clone().or_else(|| core.map(|core| core.settings().clone())),
            list: core.map_or_else(EndpointList::default, |core| core.list().clone()),
            telemetry: self.telemetry.clone(),
        }
    }

    /// Handles a request of the control interface. The snapshot with a change is passed to `save` before the
    /// change takes effect; if `save` fails, nothing changes.
    pub fn handle(&mut self, request: &Request, save: SaveSnapshot<'_>) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/status") => self.get_status(),
            ("GET", "/settings") => self.get_settings(),
            ("GET", "/list") => self.get_list(),
            ("GET", "/telemetry") => self.get_telemetry(),
            ("PUT", "/settings") => self.put_settings(&request.body, save),
            ("PUT", "/list") => self.put_list(&request.body, save),
            ("PUT", "/telemetry") => self.put_telemetry(&request.body, save),
            (_, "/status" | "/settings" | "/list" | "/telemetry") => {
                Reply::error(405, "method", "GET is there for all four, PUT for all but /status")
            }
            (_, path) => {
                let known = "/settings, /list, /telemetry and /status are";
                Reply::error(404, "path", format!("`{path}` is not there; {known}"))
            }
        }
    }

    fn get_status(&self) -> Reply {
        let courier = self.core.as_ref().map(Core::status);
        let mut status = self.process_status.clone();
        status.insert("courier".into(), json!(courier));
        status.insert("settings_wait_for_next_start".into(), json!(self.next_settings.is_some()));
        status.insert("snapshot_trouble".into(), json!(self.state_error));
        Reply::json(200, status)
    }

    fn get_settings(&self) -> Reply {
        let in_force = self.core.as_ref().map(Core::settings);
        Reply::json(200, json!({"in_force": in_force, "next_start": self.next_settings}))
    }

    fn get_list(&self) -> Reply {
        let Some(core) = &self.core else { return no_settings() };
        let entries: Vec<_> = core.list().entries.values().collect();
        Reply::json(200, json!({"version": core.list().version, "entries": entries}))
    }

    fn get_telemetry(&self) -> Reply {
        Reply::json(200, json!({"in_force": self.telemetry.as_ref().map(Telemetry::without_keys)}))
    }

    fn put_settings(&mut self, body: &[u8], save: SaveSnapshot<'_>) -> Reply {
        let settings = match Settings::parse(body) {
            Ok(settings) => settings,
            Err(error) => return invalid_document(&error),
        };
        if let Some(core) = &self.core {
            if let Err(error) = core.list().library_entries(&settings) {
                let reason =
                    format!("with these settings the list in force would be wrong: {}", error.reason);
                return Reply::error(409, &format!("list.{}", error.field), reason);
            }
        }
        let snapshot = Snapshot { settings: Some(settings.clone()), ..self.snapshot() };
        if let Err(error) = save(&snapshot) {
            return not_saved(&error);
        }
        match &self.core {
            None => {
                self.core = Some(Core::new(settings, self.start_options.clone()));
                Reply::json(200, json!({"in_force": "now"}))
            }
            Some(core) if *core.settings() == settings => {
                self.next_settings = None;
                Reply::json(200, json!({"in_force": "now"}))
            }
            // The Retry-After times and health states that the courier has learned are valid for its present
            // settings only, so other settings wait for a restart.
            Some(_) => {
                self.next_settings = Some(settings);
                Reply::json(202, json!({"in_force": "next start"}))
            }
        }
    }

    fn put_list(&mut self, body: &[u8], save: SaveSnapshot<'_>) -> Reply {
        let mut snapshot = self.snapshot();
        let Some(core) = &mut self.core else { return no_settings() };
        let update: EndpointListUpdate = match crate::settings::parse_document(body) {
            Ok(update) => update,
            Err(error) => return invalid_document(&error),
        };
        match core.list().with_update(&update, core.settings()) {
            Ok(updated) => snapshot.list = updated.list,
            Err(error) => return invalid_document(&error),
        }
        if let Err(error) = save(&snapshot) {
            return not_saved(&error);
        }
        match core.update_endpoints(&update) {
            Ok(()) => Reply::json(200, json!({"version": update.version})),
            Err(error) => invalid_document(&error),
        }
    }

    fn put_telemetry(&mut self, body: &[u8], save: SaveSnapshot<'_>) -> Reply {
        let mut telemetry: Telemetry = match crate::settings::parse_document(body) {
            Ok(telemetry) => telemetry,
            Err(error) => return invalid_document(&error),
        };
        // GET redacts the keys, so a document without keys means those in force.
        telemetry.restore_hidden_keys(self.telemetry.as_ref());
        if let Err(error) = telemetry.check() {
            let field = error.field().to_owned();
            return invalid_document(&InvalidDocument { field, reason: error.to_string() });
        }
        if !self.has_state_dir && (telemetry.graphite.is_some() || telemetry.collectd.is_some()) {
            let reason = "counts must go on over a restart: start the program with --state-dir";
            return Reply::error(409, "state_dir", reason);
        }
        let snapshot = Snapshot { telemetry: Some(telemetry.clone()), ..self.snapshot() };
        if let Err(error) = save(&snapshot) {
            return not_saved(&error);
        }
        self.telemetry = Some(telemetry);
        Reply::json(200, json!({"in_force": "now"}))
    }
}

/// Returns the reply to an invalid document.
fn invalid_document(error: &InvalidDocument) -> Reply {
    Reply::json(422, json!({"error": error}))
}

/// Returns the reply to a change that could not be saved.
fn not_saved(error: &SnapshotError) -> Reply {
    Reply::error(500, "snapshot", format!("nothing was changed: {error}"))
}

/// Returns the reply to a request that requires settings, before there are any.
fn no_settings() -> Reply {
    Reply::error(409, "settings", "there are none yet; PUT /settings first")
}

#[cfg(test)]
mod tests;
