//! A courier's host: the program around the core as it runs in service, its event loop, clocks and disk.
//!
//! A host decides only when its loop runs and how long that takes. What the loop sends is carried out by the
//! [network](crate::network).

mod clock;

use crate::disk::Disk;
use crate::model::LoopCosts;
use bytes::Bytes;
use clock::HostClock;
pub use clock::{ClockDeviation, WALL_CLOCK_START};
use linnetcart_conformance::Time;
use linnetcart_edge::control::{ConnectionHeader, Program, Request};
use linnetcart_edge::core::{ClientId, Core, Output, StartOptions, UpstreamId};
use linnetcart_edge::delivery_events::DeliveryEvent;

/// The event loop looks at its connections at least this often.
const MAX_POLL_INTERVAL: Time = 10_000_000;
const STATUS_OK: u16 = 200;

/// Something that reached a host.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    ClientConnected(ClientId),
    /// Bytes of a client.
    ClientReceived(ClientId, Bytes),
    /// A client disconnected.
    ClientDisconnected(ClientId),
    /// So many bytes for a client are not yet taken by the host's system.
    ClientBacklog(ClientId, usize),
    /// A connection to an endpoint was established.
    UpstreamConnected(UpstreamId),
    /// A connection to an endpoint could not be established.
    UpstreamConnectFailed(UpstreamId),
    /// A connection to an endpoint ended.
    UpstreamDisconnected {
        /// Which.
        upstream: UpstreamId,
        /// Bytes that the host's system had taken for it.
        bytes_written: u64,
    },
    /// Bytes of an endpoint.
    UpstreamReceived(UpstreamId, Bytes),
    /// A document for the control interface.
    ControlPut {
        /// The path that it is put to.
        path: &'static str,
        /// The document.
        body: String,
    },
}

/// What one iteration of the event loop brought.
#[derive(Debug, Default)]
pub struct IterationResult {
    /// What is to be sent, opened and closed.
    pub outputs: Vec<Output>,
    /// What happened to messages.
    pub delivery_events: Vec<DeliveryEvent>,
    /// Clients that are to be disconnected, as the program has no settings yet.
    pub rejected_clients: Vec<ClientId>,
    /// Replies of the control interface.
    pub control_replies: Vec<Result<(), String>>,
    /// How long the iteration took.
    pub duration: Time,
}

/// A courier's host in one incarnation of its program.
#[derive(Debug)]
pub struct Host {
    /// The incarnation.
    pub incarnation: u32,
    /// When the next iteration is scheduled, if one is.
    pub next_iteration: Option<Time>,
    program: Program,
    inbox: Vec<Input>,
    clock: HostClock,
    last_iteration: Time,
    /// When the work of the last iteration is done.
    busy_until: Time,
    stalled_since: Option<Time>,
    /// The start of a stall that has ended since the last iteration.
    previous_stall: Option<Time>,
    draining: bool,
    snapshot_write_until: Time,
}

impl Host {
    /// Starts the program, with what its disk holds.
    pub fn start(
        now: Time,
        incarnation: u32,
        mut options: StartOptions,
        deviation: ClockDeviation,
        disk: &mut Disk,
    ) -> Host {
        let clock = HostClock::new(now, deviation);
        options.now = clock.monotonic(now);
        let mut program = Program::new(options);
        program.has_state_dir = true;
        if let Some(snapshot) = disk.load() {
            program.restore(snapshot);
        }
        Host {
            incarnation,
            next_iteration: None,
            program,
            inbox: Vec::new(),
            clock,
            last_iteration: now,
            busy_until: now,
            stalled_since: None,
            previous_stall: None,
            draining: false,
            snapshot_write_until: 0,
        }
    }

    /// The program has settings, from its disk or from the control interface.
    pub fn is_configured(&self) -> bool {
        self.program.core.is_some()
    }

    /// Queues an input for the next iteration.
    pub fn receive(&mut self, input: Input) {
        self.inbox.push(input);
    }

    /// When the event loop is to run next, if no further input comes.
    pub fn wanted_iteration(&self) -> Option<Time> {
        if self.is_stalled() {
            return None;
        }
        if !self.inbox.is_empty() {
            return Some(self.busy_until);
        }
        let wakeup = self.program.core.as_ref().map_or(Time::MAX, Core::next_wakeup);
        if wakeup == Time::MAX {
            return None;
        }
        Some(self.clock.when_shown(wakeup).max(self.busy_until))
    }

    /// A snapshot is being written.
    pub fn is_writing_snapshot(&self, now: Time) -> bool {
        now < self.snapshot_write_until
    }

    /// Begins the graceful shutdown, as SIGTERM does; messages still held after `timeout` are answered then.
    pub fn begin_drain(&mut self, now: Time, timeout: Time) {
        self.draining = true;
        let drain_by = self.clock.monotonic(now) + timeout;
        if let Some(core) = &mut self.program.core {
            core.begin_drain(drain_by);
        }
    }

    /// The host takes new connections of clients.
    pub fn is_accepting(&self) -> bool {
        !self.draining
    }

    /// Nothing is outstanding: no input, message or notification.
    pub fn is_done(&self) -> bool {
        self.inbox.is_empty() && self.program.core.as_ref().is_none_or(Core::is_done)
    }

    /// The process is stopped, as by SIGSTOP.
    pub fn stall(&mut self, now: Time) {
        self.stalled_since.get_or_insert(now);
    }

    /// The process is stopped at present.
    pub fn is_stalled(&self) -> bool {
        self.stalled_since.is_some()
    }

    /// The process goes on; its next iteration finds everything that came meanwhile.
    pub fn resume(&mut self) {
        let Some(since) = self.stalled_since.take() else { return };
        let earliest = self.previous_stall.map_or(since, |previous| previous.min(since));
        self.previous_stall = Some(earliest);
    }

    /// Runs one iteration of the event loop: all inputs, then the core's decisions.
    pub fn run_iteration(&mut self, now: Time, costs: &LoopCosts, disk: &mut Disk) -> IterationResult {
        let mut result = IterationResult::default();
        let reading = self.clock.monotonic(now);
        let arrived_since = self.earliest_arrival(now);
        self.last_iteration = now;
        let inputs = std::mem::take(&mut self.inbox);
        let mut items = inputs.len() as Time;
        if let Some(core) = &mut self.program.core {
            core.clock(reading);
            core.wall_clock(self.clock.wall(now));
            core.arrived_since(arrived_since);
        }
        for input in inputs {
            self.process_input(input, costs, disk, &mut result);
        }
        if let Some(core) = &mut self.program.core {
            core.process(reading);
            result.outputs = core.outputs();
            result.delivery_events = core.delivery_events();
            items += result.outputs.len() as Time;
        }
        result.duration += costs.per_iteration + items * costs.per_item;
        self.busy_until = now + result.duration;
        if !result.control_replies.is_empty() {
            self.snapshot_write_until = self.busy_until;
        }
        result
    }

    /// Since when the inputs of this iteration may have waited, on the host's own clock. An idle loop polls its
    /// connections again and again, unless the process is stopped.
    fn earliest_arrival(&mut self, now: Time) -> Time {
        let polled_until = self.previous_stall.take().unwrap_or(now);
        let was_polling = polled_until > self.busy_until + MAX_POLL_INTERVAL;
        let last_poll = if was_polling { polled_until - MAX_POLL_INTERVAL } else { self.last_iteration };
        self.clock.monotonic(last_poll)
    }

    fn process_input(
        &mut self,
        input: Input,
        costs: &LoopCosts,
        disk: &mut Disk,
        result: &mut IterationResult,
    ) {
        if let Input::ControlPut { path, body } = input {
            let reply = self.process_control_put(path, body, disk);
            result.control_replies.push(reply);
            result.duration += costs.snapshot_write;
            return;
        }
        let Some(core) = &mut self.program.core else {
            if let Input::ClientConnected(client) = input {
                result.rejected_clients.push(client);
            }
            return;
        };
        match input {
            Input::ClientConnected(client) => core.client_connected(client),
            Input::ClientReceived(client, bytes) => core.client_received(client, &bytes),
            Input::ClientDisconnected(client) => core.client_disconnected(client),
            Input::ClientBacklog(client, bytes) => core.set_client_backlog(client, bytes),
            Input::UpstreamConnected(upstream) => core.upstream_connected(upstream),
            Input::UpstreamConnectFailed(upstream) => core.upstream_connect_failed(upstream),
            Input::UpstreamDisconnected { upstream, bytes_written } => {
                core.upstream_disconnected(upstream, bytes_written);
            }
            Input::UpstreamReceived(upstream, bytes) => core.upstream_received(upstream, &bytes),
            // Handled above: it is for the program, not for the core.
            Input::ControlPut { .. } => {}
        }
    }

    fn process_control_put(
        &mut self,
        path: &'static str,
        body: String,
        disk: &mut Disk,
    ) -> Result<(), String> {
        let request = Request {
            method: "PUT".into(),
            path: path.into(),
            body: body.into(),
            connection: ConnectionHeader::Close,
        };
        disk.sync();
        let reply = self.program.handle(&request, &mut |snapshot| {
            disk.save(snapshot);
            Ok(())
        });
        if reply.status == STATUS_OK {
            return Ok(());
        }
        Err(format!("{} {}", reply.status, reply.body.trim()))
    }
}
