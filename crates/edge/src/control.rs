//! The HTTP that runs beside the main protocol: settings, list, status. Free of I/O.

use crate::core::{Core, StartOptions};
use crate::settings::{EndpointList, EndpointListUpdate, InvalidDocument, Settings};
use crate::snapshot::Snapshot;
use linnetcart_telemetry::settings::Telemetry;
use serde::Serialize;
use serde_json::json;

/// Bytes of a request's head.
const HEAD: usize = 16 * 1024;
/// Bytes of a request's body: a list of the most entries fits.
const BODY: usize = 32 << 20;
/// Header fields of a request.
const FIELDS: usize = 64;

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// `GET`, `PUT`, ...
    pub method: String,
    /// Its path, without a query.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection closes after the answer.
    pub last: bool,
}

/// What a connection's bytes amount to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// More is needed.
    Wait,
    /// The client waits for a word before it sends the body.
    Continue,
    /// A request.
    Request(Request),
    /// The bytes make no request: answer this and close.
    Bad(Reply),
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its body, JSON.
    pub body: String,
}

impl Reply {
    fn json(status: u16, body: impl Serialize) -> Reply {
        let body = serde_json::to_string_pretty(&body).unwrap_or_else(|e| format!("{{\"error\": \"{e}\"}}"));
        Reply { status, body: body + "\n" }
    }

    fn error(status: u16, field: &str, reason: impl Into<String>) -> Reply {
        Reply::json(status, json!({"error": {"field": field, "reason": reason.into()}}))
    }

    /// As bytes.
    pub fn encode(&self, last: bool) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            202 => "Accepted",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            409 => "Conflict",
            411 => "Length Required",
            413 => "Content Too Large",
            422 => "Unprocessable Content",
            431 => "Request Header Fields Too Large",
            _ => "Internal Server Error",
        };
        let connection = if last { "close" } else { "keep-alive" };
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n{}",
            self.status,
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

/// Bytes of one HTTP connection.
#[derive(Debug, Default)]
pub struct Http {
    held: Vec<u8>,
    told_to_go_on: bool,
}

impl Http {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// What is there now. To be called until it says [`Step::Wait`] or [`Step::Bad`].
    pub fn step(&mut self) -> Step {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS];
        let mut head = httparse::Request::new(&mut fields);
        let length = match head.parse(&self.held) {
            Ok(httparse::Status::Complete(n)) if n <= HEAD => n,
            Ok(httparse::Status::Partial) if self.held.len() <= HEAD => return Step::Wait,
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                let reason = format!("at most {HEAD} bytes and {FIELDS} fields are read");
                return Step::Bad(Reply::error(431, "head", reason));
            }
            Err(e) => return Step::Bad(Reply::error(400, "head", e.to_string())),
        };
        let field =
            |name: &str| head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
        let lower = |name: &str| field(name).map(|v| String::from_utf8_lossy(v).trim().to_ascii_lowercase());
        if field("transfer-encoding").is_some() {
            return Step::Bad(Reply::error(411, "transfer-encoding", "send the body with a Content-Length"));
        }
        let body = match lower("content-length").map(|v| v.parse::<usize>()) {
            None => 0,
            Some(Ok(n)) if n <= BODY => n,
            Some(Ok(n)) => {
                return Step::Bad(Reply::error(
                    413,
                    "content-length",
                    format!("{n}; at most {BODY} bytes are read"),
                ))
            }
            Some(Err(_)) => {
                return Step::Bad(Reply::error(400, "content-length", "a whole number is expected"))
            }
        };
        if self.held.len() < length + body {
            if lower("expect").as_deref() == Some("100-continue") && !self.told_to_go_on {
                self.told_to_go_on = true;
                return Step::Continue;
            }
            return Step::Wait;
        }
        let closes = lower("connection").as_deref() == Some("close") || head.version == Some(0);
        let path = head.path.unwrap_or("/").split('?').next().unwrap_or("/").to_owned();
        let method = head.method.unwrap_or("").to_owned();
        let body = self.held[length..length + body].to_vec();
        self.held.drain(..length + body.len());
        if self.held.is_empty() {
            self.held = Vec::new();
        }
        self.told_to_go_on = false;
        Step::Request(Request { method, path, body, last: closes })
    }
}

/// What the control interface acts on: the courier, once it has settings, and what is to be saved.
#[derive(Debug)]
pub struct Program {
    /// The courier.
    pub core: Option<Core>,
    /// How it starts when its settings come.
    pub start: StartOptions,
    /// Settings that come into force at the next start.
    pub next: Option<Settings>,
    /// What is reported, and where; nothing is counted until it is said.
    pub telemetry: Option<Telemetry>,
    /// There is a folder in which counts can be kept.
    pub keeps: bool,
    /// What went wrong with the snapshot, if anything.
    pub trouble: Option<String>,
    /// Other figures for the status page.
    pub extra: serde_json::Map<String, serde_json::Value>,
}

impl Program {
    /// A program without settings.
    pub fn new(start: StartOptions) -> Program {
        Program {
            core: None,
            start,
            next: None,
            telemetry: None,
            keeps: false,
            trouble: None,
            extra: serde_json::Map::new(),
        }
    }

    /// Goes on from what was saved. What does not fit is reported and left out.
    pub fn restore(&mut self, saved: Snapshot) {
        self.telemetry = saved.telemetry;
        let Some(settings) = saved.settings else { return };
        if let Err(e) = settings.check() {
            self.trouble = Some(format!("the saved settings are not used: {e}"));
            return;
        }
        let mut core = Core::new(settings, self.start.clone());
        if let Err(e) = core.restore(saved.list) {
            self.trouble = Some(format!("the saved list is not used: {e}"));
        }
        self.core = Some(core);
    }

    fn saved(&self) -> Snapshot {
        let core = self.core.as_ref();
        Snapshot {
            settings: self.next.clone().or_else(|| core.map(|c| c.settings().clone())),
            list: core.map_or_else(EndpointList::default, |c| c.list().clone()),
            telemetry: self.telemetry.clone(),
        }
    }

    /// Carries out a request. `save` writes a snapshot; if it fails, nothing changes.
    pub fn handle(&mut self, r: &Request, save: &mut dyn FnMut(&Snapshot) -> Result<(), String>) -> Reply {
        match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/status") => self.status(),
            ("GET", "/settings") => {
                let in_force = self.core.as_ref().map(Core::settings);
                Reply::json(200, json!({"in_force": in_force, "next_start": self.next}))
            }
            ("GET", "/list") => match &self.core {
                Some(core) => {
                    let entries: Vec<_> = core.list().entries.values().collect();
                    Reply::json(200, json!({"version": core.list().version, "entries": entries}))
                }
                None => no_settings(),
            },
            ("PUT", "/settings") => self.put_settings(&r.body, save),
            ("PUT", "/list") => self.put_list(&r.body, save),
            ("PUT", "/telemetry") => self.put_telemetry(&r.body, save),
            ("GET", "/telemetry") => {
                Reply::json(200, json!({"in_force": self.telemetry.as_ref().map(Telemetry::without_keys)}))
            }
            (_, "/status" | "/settings" | "/list" | "/telemetry") => {
                Reply::error(405, "method", "GET is there for all four, PUT for all but /status")
            }
            (_, path) => {
                let there = "/settings, /list, /telemetry and /status are";
                Reply::error(404, "path", format!("`{path}` is not there; {there}"))
            }
        }
    }

    fn status(&self) -> Reply {
        let courier = self.core.as_ref().map(Core::status);
        let mut all = self.extra.clone();
        all.insert("courier".into(), json!(courier));
        all.insert("settings_wait_for_next_start".into(), json!(self.next.is_some()));
        all.insert("snapshot_trouble".into(), json!(self.trouble));
        Reply::json(200, all)
    }

    fn put_settings(&mut self, body: &[u8], save: &mut dyn FnMut(&Snapshot) -> Result<(), String>) -> Reply {
        let settings = match Settings::parse(body) {
            Ok(settings) => settings,
            Err(e) => return rejected(&e),
        };
        if let Some(core) = &self.core {
            if let Err(e) = core.list().library_entries(&settings) {
                let reason = format!("with these settings the list in force would be wrong: {}", e.reason);
                return Reply::error(409, &format!("list.{}", e.field), reason);
            }
        }
        let mut saved = self.saved();
        saved.settings = Some(settings.clone());
        if let Err(e) = save(&saved) {
            return Reply::error(500, "snapshot", format!("nothing was changed: {e}"));
        }
        match &self.core {
            None => {
                self.core = Some(Core::new(settings, self.start.clone()));
                Reply::json(200, json!({"in_force": "now"}))
            }
            Some(core) if *core.settings() == settings => {
                self.next = None;
                Reply::json(200, json!({"in_force": "now"}))
            }
            // What the courier knows of waits and outages belongs to the settings it runs under.
            Some(_) => {
                self.next = Some(settings);
                Reply::json(202, json!({"in_force": "next start"}))
            }
        }
    }

    fn put_list(&mut self, body: &[u8], save: &mut dyn FnMut(&Snapshot) -> Result<(), String>) -> Reply {
        let mut saved = self.saved();
        let Some(core) = &mut self.core else { return no_settings() };
        let news: EndpointListUpdate = match crate::settings::read(body) {
            Ok(news) => news,
            Err(e) => return rejected(&e),
        };
        match core.list().after(&news, core.settings()) {
            Ok((list, _)) => saved.list = list,
            Err(e) => return rejected(&e),
        }
        if let Err(e) = save(&saved) {
            return Reply::error(500, "snapshot", format!("nothing was changed: {e}"));
        }
        match core.update_endpoints(&news) {
            Ok(()) => Reply::json(200, json!({"version": news.version})),
            Err(e) => rejected(&e),
        }
    }
}

impl Program {
    fn put_telemetry(&mut self, body: &[u8], save: &mut dyn FnMut(&Snapshot) -> Result<(), String>) -> Reply {
        let mut telemetry: Telemetry = match crate::settings::read(body) {
            Ok(telemetry) => telemetry,
            Err(e) => return rejected(&e),
        };
        // A key that was read back without itself is the one that is there.
        telemetry.keep_keys(self.telemetry.as_ref());
        if let Err(error) = telemetry.check() {
            let field = error.field().to_owned();
            return rejected(&InvalidDocument { field, reason: error.to_string() });
        }
        if !self.keeps && (telemetry.graphite.is_some() || telemetry.collectd.is_some()) {
            let reason = "counts must go on over a restart: start the program with --state-dir";
            return Reply::error(409, "state_dir", reason);
        }
        let mut saved = self.saved();
        saved.telemetry = Some(telemetry.clone());
        if let Err(e) = save(&saved) {
            return Reply::error(500, "snapshot", format!("nothing was changed: {e}"));
        }
        self.telemetry = Some(telemetry);
        Reply::json(200, json!({"in_force": "now"}))
    }
}

fn rejected(e: &InvalidDocument) -> Reply {
    Reply::json(422, json!({"error": e}))
}

fn no_settings() -> Reply {
    Reply::error(409, "settings", "there are none yet; PUT /settings first")
}

#[cfg(test)]
mod tests {
    use super::*;
    use linnetcart_kafka::server::Broker;
    use proptest::prelude::*;

    fn program() -> Program {
        let broker = Broker { id: 0, host: "127.0.0.1".into(), port: 1 };
        Program::new(StartOptions {
            seed: 1,
            now: 1,
            broker,
            run: 1,
            first_number: 1,
            policy: crate::core::library,
        })
    }

    fn ask(p: &mut Program, method: &str, path: &str, body: &serde_json::Value, disk: bool) -> (u16, String) {
        let r = Request {
            method: method.into(),
            path: path.into(),
            body: body.to_string().into_bytes(),
            last: false,
        };
        let reply = p.handle(&r, &mut |_| if disk { Ok(()) } else { Err("no space".into()) });
        (reply.status, reply.body)
    }

    #[test]
    fn settings_then_list_and_errors_name_field_and_next_step() {
        let mut p = program();
        let settings = crate::settings::tests::sample();
        let list = json!({"version": 1, "whole": true, "entries": [
            {"id": 1, "destination": 0, "kind": "large", "zone": "a", "state": "ready", "address": "127.0.0.1:9"}]});
        let (status, body) = ask(&mut p, "PUT", "/list", &list, true);
        assert_eq!(status, 409);
        assert!(body.contains("PUT /settings first"), "{body}");
        assert_eq!(ask(&mut p, "PUT", "/settings", &settings, false).0, 500);
        assert!(p.core.is_none(), "nothing is half applied");
        assert_eq!(ask(&mut p, "PUT", "/settings", &settings, true).0, 200);
        assert_eq!(ask(&mut p, "PUT", "/list", &list, false).0, 500);
        assert_eq!(p.core.as_ref().unwrap().list().version, 0);
        assert_eq!(ask(&mut p, "PUT", "/list", &list, true).0, 200);
        assert_eq!(ask(&mut p, "PUT", "/list", &list, true).0, 422);
        let mut other = settings.clone();
        other["limits"]["slots"] = json!(9);
        assert_eq!(ask(&mut p, "PUT", "/settings", &other, true).0, 202);
        other["kinds"] = json!([{"name": "medium"}]);
        let (status, body) = ask(&mut p, "PUT", "/settings", &other, true);
        assert_eq!(status, 409);
        assert!(body.contains("entries[0].kind"), "{body}");
        assert_eq!(ask(&mut p, "GET", "/elsewhere", &json!(null), true).0, 404);
        assert_eq!(ask(&mut p, "POST", "/list", &json!(null), true).0, 405);
    }

    #[test]
    fn heads_and_bodies_are_bounded() {
        let step = |bytes: &[u8]| {
            let mut http = Http::default();
            http.push(bytes);
            http.step()
        };
        let status = |bytes: &[u8]| match step(bytes) {
            Step::Bad(reply) => reply.status,
            other => panic!("{other:?}"),
        };
        assert_eq!(status(format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(HEAD)).as_bytes()), 431);
        assert_eq!(status(b"PUT / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"), 413);
        assert_eq!(status(b"PUT / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
        assert_eq!(status(b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"), 411);
        assert_eq!(status(b"\0\0\0\x10\0\x12"), 400);
        assert_eq!(
            step(b"PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"),
            Step::Continue
        );
    }

    proptest! {
        #[test]
        fn requests_survive_any_cutting(body in prop::collection::vec(any::<u8>(), 0..60), cut in 1usize..9) {
            let mut wire = format!("PUT /list?x=1 HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
            wire.extend(&body);
            let twice = [wire.clone(), wire].concat();
            let mut http = Http::default();
            let mut got = Vec::new();
            for piece in twice.chunks(cut) {
                http.push(piece);
                while let Step::Request(r) = http.step() {
                    got.push((r.path, r.body));
                }
            }
            prop_assert_eq!(got, vec![("/list".to_owned(), body.clone()), ("/list".to_owned(), body)]);
        }

        #[test]
        fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let mut http = Http::default();
            http.push(&bytes);
            let _ = http.step();
        }
    }
}
