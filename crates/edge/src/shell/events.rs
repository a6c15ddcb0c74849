//! Handles the events of the sockets, and the requests of the control interface.

use super::{wall_clock, Role, Shell};
use crate::control::{ConnectionHeader, HttpConnection, HttpInput, Reply, Request, CONTINUE};
use crate::core::{Core, UpstreamId};
use crate::snapshot::{self, Snapshot};
use linnetcart_courier_common::ProcessMemory;
use linnetcart_net::{ConnectFailure, Event, Token};
use serde_json::json;

impl Shell {
    /// Handles an event of a socket. Signals are handled in the event loop.
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Accepted { listener, token, .. } => self.accepted(listener, token),
            Event::Connected(token) => self.connected(token),
            Event::ConnectFailed { token, failure } => self.connect_failed(token, failure),
            Event::Data { token, bytes, .. } => self.received(token, &bytes),
            Event::HalfClosed(token) => self.half_closed(token),
            Event::Closed { token, written } => self.closed(token, written),
            Event::Datagram(token, packet) => {
                let now = self.now();
                if let Some(reporting) = &mut self.reporting {
                    reporting.datagram_received(token, &packet, now, wall_clock());
                }
            }
            Event::Signal(_) => {}
        }
    }

    /// Handles a connection that a listener accepted. Without settings there is no courier, and a Kafka
    /// client is disconnected.
    fn accepted(&mut self, listener: Token, token: Token) {
        if listener != self.kafka_listener {
            self.roles.insert(token, Role::Control(HttpConnection::default()));
            return;
        }
        match &mut self.program.core {
            Some(core) => {
                core.client_connected(token);
                self.roles.insert(token, Role::Client);
            }
            None => self.net.close(token),
        }
    }

    fn connected(&mut self, token: Token) {
        let now = self.now();
        match (self.roles.get(&token), &mut self.reporting) {
            (Some(Role::Graphite), Some(reporting)) => reporting.graphite_connected(now),
            _ => self.with_upstream(token, |core, upstream| core.upstream_connected(upstream)),
        }
    }

    fn connect_failed(&mut self, token: Token, failure: ConnectFailure) {
        self.graphite_disconnected(token);
        self.with_upstream(token, |core, upstream| core.upstream_connect_failed(upstream, failure));
        self.remove_connection(token);
    }

    fn received(&mut self, token: Token, bytes: &[u8]) {
        match (self.roles.get_mut(&token), &mut self.program.core) {
            (Some(Role::Client), Some(core)) => core.client_received(token, bytes),
            (Some(Role::Upstream(upstream)), Some(core)) => core.upstream_received(*upstream, bytes),
            (Some(Role::Control(http)), _) => {
                http.push(bytes);
                self.process_control_requests(token);
            }
            _ => {}
        }
    }

    /// Handles a peer that shut down its sending side.
    fn half_closed(&mut self, token: Token) {
        match (self.roles.get(&token), &mut self.program.core) {
            (Some(Role::Client), Some(core)) => core.client_half_closed(token),
            (Some(Role::Graphite), _) => {
                self.net.close(token);
                self.closed(token, 0);
            }
            (Some(Role::Upstream(_)), _) => {
                // An endpoint that has shut down its sending side cannot answer any call.
                let written = self.net.written_bytes(token);
                self.net.close(token);
                self.closed(token, written);
            }
            _ => {
                self.net.close_after_flush(token);
                self.remove_connection(token);
            }
        }
    }

    /// Handles a connection that closed after the operating system had accepted `written` bytes for it. From
    /// this number the core concludes which attempts were sent.
    fn closed(&mut self, token: Token, written: u64) {
        self.graphite_disconnected(token);
        match (self.roles.get(&token), &mut self.program.core) {
            (Some(Role::Client), Some(core)) => core.client_disconnected(token),
            (Some(Role::Upstream(upstream)), Some(core)) => core.upstream_disconnected(*upstream, written),
            _ => {}
        }
        self.remove_connection(token);
    }

    fn graphite_disconnected(&mut self, token: Token) {
        let now = self.now();
        if let (Some(Role::Graphite), Some(reporting)) = (self.roles.get(&token), &mut self.reporting) {
            reporting.graphite_disconnected(now);
        }
    }

    /// Calls `notify` if the connection is to an endpoint.
    fn with_upstream(&mut self, token: Token, notify: impl FnOnce(&mut Core, UpstreamId)) {
        if let (Some(Role::Upstream(upstream)), Some(core)) = (self.roles.get(&token), &mut self.program.core)
        {
            notify(core, *upstream);
        }
    }

    /// Removes a connection that has closed from the tables.
    fn remove_connection(&mut self, token: Token) {
        if let Some(Role::Upstream(upstream)) = self.roles.remove(&token) {
            self.upstream_tokens.remove(&upstream);
        }
    }

    // ---- The control interface

    /// Handles all complete requests that a connection of the control interface has received.
    fn process_control_requests(&mut self, token: Token) {
        loop {
            let Some(Role::Control(http)) = self.roles.get_mut(&token) else { return };
            match http.next_input() {
                HttpInput::Incomplete => return,
                HttpInput::ExpectsContinue => self.net.send(token, CONTINUE),
                HttpInput::Invalid(reply) => {
                    self.send_reply(token, &reply, ConnectionHeader::Close);
                    return;
                }
                HttpInput::Request(request) => {
                    let reply = self.control_reply(&request);
                    self.send_reply(token, &reply, request.connection);
                }
            }
        }
    }

    fn send_reply(&mut self, token: Token, reply: &Reply, connection: ConnectionHeader) {
        self.net.send(token, &reply.encode(connection));
        if connection == ConnectionHeader::Close {
            self.net.close_after_flush(token);
            self.remove_connection(token);
        }
    }

    /// Handles a request of the control interface. Without a state directory nothing is saved.
    fn control_reply(&mut self, request: &Request) -> Reply {
        self.program.process_status = self.process_status();
        let state_dir = self.options.state_dir.as_deref();
        let mut save = |snapshot: &Snapshot| match state_dir {
            Some(dir) => snapshot::save(dir, snapshot),
            None => Ok(()),
        };
        let reply = self.program.handle(request, &mut save);
        tracing::debug!(
            method = request.method,
            path = request.path,
            status = reply.status,
            "control request"
        );
        reply
    }

    /// Returns the memory of the process and of its parts for the status page.
    fn memory_status(&self) -> serde_json::Value {
        let status = std::fs::read_to_string(ProcessMemory::STATUS_FILE).unwrap_or_default();
        let process = ProcessMemory::parse(&status);
        json!({
            "resident_bytes": process.map(|process| process.resident_bytes),
            "peak_bytes": process.map(|process| process.peak_bytes),
            "held": self.program.core.as_ref().map(Core::held_memory),
        })
    }

    /// Returns the values of the process for the status page, by their JSON keys.
    fn process_status(&self) -> serde_json::Map<String, serde_json::Value> {
        let telemetry = self.reporting.as_ref().map(|reporting| reporting.status(self.now()));
        let values = [
            ("uptime_s", json!(self.started_at.elapsed().as_secs_f64())),
            ("version", json!(env!("CARGO_PKG_VERSION"))),
            ("connections", json!(self.net.connections())),
            ("logs_kept_back", json!(self.log_limiter.suppressed())),
            ("memory", json!(self.memory_status())),
            ("telemetry", json!(telemetry)),
        ];
        values.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
    }
}
