//! Runs a scenario on sockets: each courier is a child process, and the scenario runner is one event loop in
//! this process.
//!
//! The runner's clients and endpoints and its endpoint list service exchange data with the couriers over
//! loopback connections. Messages, calls and answers are recorded; the conformance checks evaluate the
//! records after the run.

mod transport;

use anyhow::{bail, Context};
use calloop::signals::Signal;
use linnetcart_conformance::Time;
use linnetcart_net::{Event, Token};
use linnetcart_scenario::fleet::Fleet;
pub use linnetcart_scenario::runner::ScenarioRecords;
use linnetcart_scenario::runner::{ScenarioRunner, Transport};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use transport::{PendingReply, SocketTransport};

const MILLISECOND: Time = 1_000_000;
const SECOND: Time = 1000 * MILLISECOND;
/// Maximum time until every courier is ready; see [`ScenarioRunner::ready`].
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time until every courier has exited after SIGTERM, in nanoseconds; longer than the couriers' drain
/// timeout of 10 seconds.
const SHUTDOWN_TIMEOUT: Time = 12 * SECOND;
/// Maximum wait of one poll while couriers become ready or exit, in nanoseconds.
const TRANSITION_POLL: Time = 10 * MILLISECOND;
/// Maximum wait of one poll while traffic runs, in nanoseconds.
const TRAFFIC_POLL: Time = 200 * MILLISECOND;
/// Maximum wait of one poll while the stack runs without traffic, in nanoseconds.
const IDLE_POLL: Time = SECOND;
/// How a successful reply of a control interface begins.
const HTTP_OK: &str = "HTTP/1.1 200";

/// How the couriers of a scenario are started.
#[derive(Clone, Debug)]
pub struct StackOptions {
    /// The name of the couriers' decision policy.
    pub policy: String,
    /// The program whose `edge` command runs a courier; outside tests, this program.
    pub program: PathBuf,
    /// The folder for the couriers' state and logs, with a folder for each courier.
    pub dir: PathBuf,
    /// The TCP address of the Graphite receiver that the couriers report to every second; `None` if they send
    /// no reports.
    pub graphite: Option<SocketAddr>,
    /// Called once per second of the scenario with the progress so far; `None` for no progress reports.
    pub progress: Option<fn(Progress)>,
}

impl StackOptions {
    /// Options for couriers that decide by the decision library and send no reports, without progress
    /// reports.
    pub fn new(program: PathBuf, dir: PathBuf) -> StackOptions {
        StackOptions { policy: "library".into(), program, dir, graphite: None, progress: None }
    }
}

/// Progress of a run, for a progress report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Seconds of the scenario that have passed.
    pub seconds: f64,
    /// Length of the scenario in seconds.
    pub of_seconds: f64,
    /// Number of submissions that wait for their answer.
    pub open_messages: usize,
}

/// Running courier processes, and the scenario runner that plays their clients, endpoints and endpoint list.
struct SocketStack<'a> {
    runner: ScenarioRunner<'a, SocketTransport<'a>>,
    options: &'a StackOptions,
    /// The instant of time 0 on the runner's clock, which is set to 0 at the start and again when traffic
    /// starts.
    started: Instant,
    /// Whether SIGTERM or SIGINT was received.
    is_signalled: bool,
}

/// Runs a scenario to its end and returns what was recorded.
///
/// # Errors
/// Fails if a courier does not start, is not ready within 20 seconds, or does not exit with code 0 within 12
/// seconds after SIGTERM.
pub fn run(fleet: &Fleet, options: &StackOptions) -> anyhow::Result<ScenarioRecords> {
    let mut stack = SocketStack::start(fleet, options)?;
    stack.run_traffic(fleet.scenario.seconds)?;
    stack.stop_couriers()?;
    Ok(stack.runner.finish().records)
}

/// Runs the couriers and endpoints of a scenario without its traffic until SIGTERM or SIGINT. `ready` is
/// called once every courier is ready, with the first courier's addresses, the destinations and the topics as
/// JSON.
///
/// # Errors
/// Fails in the cases in which [`run`] fails, or if the signals cannot be watched.
pub fn run_until_signal(
    fleet: &Fleet,
    options: &StackOptions,
    ready: impl FnOnce(Value),
) -> anyhow::Result<()> {
    let mut stack = SocketStack::start(fleet, options)?;
    let transport = &mut stack.runner.transport;
    transport.net.watch_signals(&[Signal::SIGTERM, Signal::SIGINT])?;
    ready(stack.description(fleet)?);
    let mut events = Vec::new();
    while !stack.is_signalled {
        stack.poll(&mut events, IDLE_POLL)?;
    }
    stack.stop_couriers()
}

impl<'a> SocketStack<'a> {
    fn start(fleet: &'a Fleet, options: &'a StackOptions) -> anyhow::Result<SocketStack<'a>> {
        let transport = SocketTransport::new(fleet, options)?;
        let started = Instant::now();
        let runner = ScenarioRunner::new(fleet, transport)?;
        let mut stack = SocketStack { runner, options, started, is_signalled: false };
        stack.wait_until_ready()?;
        Ok(stack)
    }

    /// Waits until every courier has its settings and the complete endpoint list, and its clients are
    /// connected.
    fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        let ready_by = Instant::now() + STARTUP_TIMEOUT;
        let mut events = Vec::new();
        while !self.runner.ready() {
            if Instant::now() > ready_by {
                let dir = self.options.dir.display();
                bail!("couriers not ready within 20 s; see the logs in {dir}");
            }
            self.poll(&mut events, TRANSITION_POLL)?;
        }
        Ok(())
    }

    /// The addresses of the first courier, and the destinations and topics of the fleet, as JSON.
    fn description(&self, fleet: &Fleet) -> anyhow::Result<Value> {
        let courier = self.runner.transport.couriers.values().next().context("no courier")?;
        let mut destinations = Vec::new();
        for destination in &fleet.destinations {
            destinations.push(json!({
                "destination": destination.destination,
                "kind": fleet.scenario.kind[destination.kind].name,
                "endpoints": destination.endpoints.len(),
            }));
        }
        Ok(json!({
            "kafka": courier.kafka.to_string(),
            "control": courier.control.to_string(),
            "destinations": destinations,
            "topics": fleet.topics(),
        }))
    }

    /// Runs the scenario's traffic until the runner has finished. `length` is the scenario's length in
    /// seconds.
    fn run_traffic(&mut self, length: f64) -> anyhow::Result<()> {
        self.started = Instant::now();
        self.runner.start_traffic();
        let mut events = Vec::new();
        let mut last_reported_second = 0;
        while !self.runner.finished() {
            let now = self.runner.now();
            self.poll(&mut events, TRAFFIC_POLL)?;
            let second = now / SECOND;
            if second != last_reported_second {
                last_reported_second = second;
                self.report_progress(now, length);
            }
        }
        Ok(())
    }

    fn report_progress(&self, now: Time, length: f64) {
        if let Some(progress) = self.options.progress {
            let open_messages = self.runner.awaiting_answer();
            progress(Progress { seconds: now as f64 / 1e9, of_seconds: length, open_messages });
        }
    }

    /// Shuts the couriers down with SIGTERM, after SIGCONT for those that are suspended, and waits until all
    /// have exited with code 0.
    fn stop_couriers(&mut self) -> anyhow::Result<()> {
        let couriers = &self.runner.transport.couriers;
        for courier in couriers.values() {
            courier.resume();
            courier.terminate();
        }
        let numbers: Vec<u32> = couriers.keys().copied().collect();
        let stop_by = self.runner.now() + SHUTDOWN_TIMEOUT;
        for number in numbers {
            self.wait_for_exit(number, stop_by)?;
        }
        Ok(())
    }

    fn wait_for_exit(&mut self, number: u32, stop_by: Time) -> anyhow::Result<()> {
        let mut events = Vec::new();
        while let Some(courier) = self.runner.transport.couriers.get_mut(&number) {
            match courier.wait(Duration::ZERO) {
                Some(0) => break,
                Some(code) => bail!("courier {number} exited with code {code}; see its log"),
                None if self.runner.now() > stop_by => {
                    bail!("courier {number} did not exit within 12 s or was killed by a signal; see its log")
                }
                None => self.poll(&mut events, TRANSITION_POLL)?,
            }
        }
        Ok(())
    }

    /// Waits until a socket event arrives, the runner's next timer is due or `max_wait` nanoseconds have
    /// passed, whichever is first. Then processes the events and the due timers.
    fn poll(&mut self, events: &mut Vec<Event>, max_wait: Time) -> anyhow::Result<()> {
        let wait_until = self.runner.now() + max_wait;
        let next = self.runner.next_wakeup().map_or(wait_until, |wakeup| wakeup.min(wait_until));
        let wait = next.saturating_sub(self.elapsed());
        self.runner.transport.net.poll(Duration::from_nanos(wait), events);
        let now = self.elapsed();
        self.runner.clock(now);
        for event in events.drain(..) {
            self.process(event)?;
        }
        Ok(self.runner.run_due_timers()?)
    }

    /// Nanoseconds since [`SocketStack::started`].
    fn elapsed(&self) -> Time {
        self.started.elapsed().as_nanos() as Time
    }

    fn process(&mut self, event: Event) -> anyhow::Result<()> {
        match event {
            Event::Accepted { listener, token, .. } => self.process_accepted(listener, token),
            Event::Connected(token) => self.runner.connected(token),
            Event::Data { token, bytes, .. } => self.process_data(token, &bytes),
            Event::HalfClosed(token) => {
                self.runner.transport.close(token);
                self.process_closed(token)?;
            }
            Event::Closed { token, .. } | Event::ConnectFailed { token, .. } => self.process_closed(token)?,
            Event::Signal(_) => self.is_signalled = true,
            Event::Datagram(..) => {}
        }
        Ok(())
    }

    fn process_accepted(&mut self, listener: Token, token: Token) {
        match self.runner.transport.listeners.get(&listener) {
            Some(&endpoint) => self.runner.accepted(endpoint, token),
            None => self.runner.transport.close(token),
        }
    }

    /// Processes data that is part of a control interface's reply, or arrived on a connection of a client or
    /// endpoint.
    fn process_data(&mut self, token: Token, bytes: &[u8]) {
        match self.runner.transport.pending_replies.get_mut(&token) {
            Some(pending) => pending.received.extend(bytes),
            None => self.runner.received(token, bytes),
        }
    }

    /// Processes the end of a connection. On a connection to a control interface the end completes the reply,
    /// because requests to control interfaces are sent with `Connection: close`.
    fn process_closed(&mut self, token: Token) -> anyhow::Result<()> {
        let Some(pending) = self.runner.transport.pending_replies.remove(&token) else {
            self.runner.disconnected(token);
            return Ok(());
        };
        let PendingReply { courier, incarnation, received } = pending;
        let text = String::from_utf8_lossy(&received);
        let reply = if text.starts_with(HTTP_OK) { Ok(()) } else { Err(text.into_owned()) };
        Ok(self.runner.put_done(courier, incarnation, reply)?)
    }
}
