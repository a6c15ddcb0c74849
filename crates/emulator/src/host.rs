//! The host of a courier: the same program around the core as in production, with an emulated event loop,
//! clocks and disk.
//!
//! A host decides only when its event loop runs and how long an iteration takes. The outputs of the loop are
//! carried out by the [network](crate::network).

mod clock;
mod input;

use crate::disk::Disk;
use crate::model::LoopCosts;
use clock::HostClock;
pub use clock::{ClockDeviation, WALL_CLOCK_START};
pub use input::Input;
use linnetcart_conformance::Time;
use linnetcart_edge::control::Program;
use linnetcart_edge::core::{ClientId, Core, Output, StartOptions};
use linnetcart_edge::delivery_events::DeliveryEvent;

/// Longest interval between two polls of an idle event loop, in nanoseconds.
const MAX_POLL_INTERVAL: Time = 10_000_000;

/// One incarnation of the program on a courier's host. Each start of the program begins the next incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CourierIncarnation {
    /// The number of the courier.
    pub courier: u32,
    /// The number of the incarnation.
    pub incarnation: u32,
}

/// What one iteration of the event loop leads to outside the program.
#[derive(Debug, Default)]
pub struct IterationResult {
    /// Data to send, and connections to open and close.
    pub outputs: Vec<Output>,
    /// Delivery events, for the trace.
    pub delivery_events: Vec<DeliveryEvent>,
    /// Clients to disconnect because the program has no settings yet.
    pub rejected_clients: Vec<ClientId>,
    /// Replies of the control interface.
    pub control_replies: Vec<Result<(), String>>,
    /// How long the iteration keeps the event loop busy, in nanoseconds.
    pub duration: Time,
}

/// The host of a courier, in one incarnation of its program.
#[derive(Debug)]
pub struct Host {
    /// The number of the incarnation.
    pub incarnation: u32,
    /// When the next iteration is scheduled, on the network's clock; `None` if no iteration is scheduled.
    pub next_iteration: Option<Time>,
    program: Program,
    inbox: Vec<Input>,
    clock: HostClock,
    /// When the last iteration began, on the network's clock.
    last_iteration: Time,
    /// When the last iteration ends, on the network's clock; the next one begins no earlier.
    busy_until: Time,
    stalled_since: Option<Time>,
    /// The start of the earliest stall that ended since the last iteration.
    previous_stall: Option<Time>,
    draining: bool,
    /// When the last snapshot write ends, on the network's clock; a crash before this time may undo the
    /// write.
    snapshot_write_until: Time,
}

impl Host {
    /// Starts the program, which restores the snapshot on its disk.
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

    /// Returns whether the program has settings, from its disk or from the control interface.
    pub fn is_configured(&self) -> bool {
        self.program.core.is_some()
    }

    /// Queues an input for the next iteration.
    pub fn receive(&mut self, input: Input) {
        self.inbox.push(input);
    }

    /// Returns when the event loop has to run next if no further input arrives, on the network's clock;
    /// `None` if the process is suspended or has nothing to do.
    pub fn next_iteration_due(&self) -> Option<Time> {
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
        Some(self.clock.time_of_reading(wakeup).max(self.busy_until))
    }

    /// Returns whether a snapshot is being written.
    pub fn is_writing_snapshot(&self, now: Time) -> bool {
        now < self.snapshot_write_until
    }

    /// Begins the graceful shutdown, as SIGTERM does. Messages that are still in flight after `timeout`
    /// nanoseconds get their final answer at that time.
    pub fn begin_drain(&mut self, now: Time, timeout: Time) {
        self.draining = true;
        let drain_by = self.clock.monotonic(now) + timeout;
        if let Some(core) = &mut self.program.core {
            core.begin_drain(drain_by);
        }
    }

    /// Returns whether the host accepts new connections of clients.
    pub fn is_accepting(&self) -> bool {
        !self.draining
    }

    /// Returns whether all inputs are processed, every accepted message has its final answer and every
    /// request its response.
    pub fn is_done(&self) -> bool {
        self.inbox.is_empty() && self.program.core.as_ref().is_none_or(Core::is_done)
    }

    /// Suspends the process at `now`, as SIGSTOP does.
    pub fn stall(&mut self, now: Time) {
        self.stalled_since.get_or_insert(now);
    }

    /// Returns whether the process is suspended.
    pub fn is_stalled(&self) -> bool {
        self.stalled_since.is_some()
    }

    /// Resumes the process, as SIGCONT does. The next iteration processes all inputs that arrived while the
    /// process was suspended.
    pub fn resume(&mut self) {
        let Some(since) = self.stalled_since.take() else { return };
        let earliest = self.previous_stall.map_or(since, |previous| previous.min(since));
        self.previous_stall = Some(earliest);
    }

    /// Runs one iteration of the event loop: processes all inputs, then lets the core decide.
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

    /// Returns the earliest time at which an input of this iteration can have arrived, on the host's
    /// monotonic clock: the time of the last poll before this iteration. An idle loop polls its sockets at
    /// least every [`MAX_POLL_INTERVAL`] until the process is suspended; otherwise the last poll was at the
    /// beginning of the last iteration.
    fn earliest_arrival(&mut self, now: Time) -> Time {
        let polled_until = self.previous_stall.take().unwrap_or(now);
        let was_polling = polled_until > self.busy_until + MAX_POLL_INTERVAL;
        let last_poll = if was_polling { polled_until - MAX_POLL_INTERVAL } else { self.last_iteration };
        self.clock.monotonic(last_poll)
    }
}
