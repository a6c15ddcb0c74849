//! Runs a scenario, from the start of the couriers to the end of their shutdown.

use crate::error::EmulationError;
use crate::model::Model;
use crate::network::{Network, ScenarioInput};
use crate::trace::DeliveryTrace;
use linnetcart_conformance::{FailedConnect, Time};
use linnetcart_edge::core::PolicyFactory;
use linnetcart_scenario::fleet::Fleet;
use linnetcart_scenario::runner::{FinishedRun, ScenarioRecords, ScenarioRunner};
use std::error::Error;

const SECOND: Time = 1_000_000_000;
/// Limit of the virtual time in which the couriers must become ready.
const STARTUP_TIMEOUT: Time = 20 * SECOND;
/// How long couriers continue with the messages in flight after their graceful shutdown began, in virtual
/// time.
const DRAIN_TIMEOUT: Time = 10 * SECOND;
/// Limit of the virtual time in which the couriers must shut down. It exceeds [`DRAIN_TIMEOUT`] because the
/// last answers have to arrive.
const SHUTDOWN_TIMEOUT: Time = 12 * SECOND;

/// The options of a run, besides its fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// The delivery policy of the couriers.
    pub policy: PolicyFactory,
    /// The timing of hosts and network.
    pub model: Model,
    /// Records the delivery events of one message or of all; `None` for a run without trace.
    pub trace: Option<DeliveryTrace>,
}

impl Default for Options {
    fn default() -> Self {
        Options { policy: linnetcart_edge::core::library, model: Model::default(), trace: None }
    }
}

/// The results of a completed run.
#[derive(Debug)]
pub struct EmulatedRun {
    /// The records for the conformance checks.
    pub records: ScenarioRecords,
    /// SHA-256 of all segments that arrived, with their times. Two runs with the same digest were identical.
    pub digest: String,
    /// Number of events of the event queue that were processed.
    pub events: u64,
    /// Virtual time from the start of the couriers to the end of their shutdown, in nanoseconds.
    pub virtual_time: Time,
    /// The highest number of connections open at the same time.
    pub peak_connections: usize,
    /// The trace from the options, with times in nanoseconds since the traffic began; `None` for a run
    /// without trace.
    pub trace: Option<DeliveryTrace>,
}

/// Whether a step of the emulation had an event or timer to process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Processed,
    NothingDue,
}

struct Emulation<'a> {
    runner: ScenarioRunner<'a, Network<'a>>,
    /// When the traffic and the scenario's clock began, in nanoseconds on the network's clock.
    scenario_start: Time,
}

/// Runs a scenario to its end.
///
/// # Errors
/// Fails if the couriers do not become ready or do not shut down within their time limits, or if the scenario
/// runner fails.
pub fn run(fleet: &Fleet, options: Options) -> Result<EmulatedRun, EmulationError> {
    let network = Network::new(fleet, options.model, options.policy, options.trace);
    let runner = ScenarioRunner::new(fleet, network).map_err(scenario_error)?;
    let mut emulation = Emulation { runner, scenario_start: 0 };
    emulation.start_couriers()?;
    emulation.run_traffic()?;
    emulation.stop_couriers()?;
    Ok(emulation.into_result())
}

impl Emulation<'_> {
    fn start_couriers(&mut self) -> Result<(), EmulationError> {
        while !self.runner.ready() {
            let timed_out = self.runner.transport.now() > STARTUP_TIMEOUT;
            if timed_out || self.process_next()? == Progress::NothingDue {
                return Err(EmulationError::CouriersNotReady { limit_seconds: STARTUP_TIMEOUT / SECOND });
            }
        }
        Ok(())
    }

    fn run_traffic(&mut self) -> Result<(), EmulationError> {
        self.scenario_start = self.runner.transport.now();
        self.runner.start_traffic();
        while !self.runner.finished() {
            if self.process_next()? == Progress::NothingDue {
                break;
            }
        }
        Ok(())
    }

    /// Shuts the couriers down gracefully, and waits until they have ended.
    fn stop_couriers(&mut self) -> Result<(), EmulationError> {
        self.runner.transport.begin_drain(DRAIN_TIMEOUT);
        let stop_by = self.runner.transport.now() + SHUTDOWN_TIMEOUT;
        loop {
            let couriers = self.runner.transport.unfinished_couriers();
            if couriers.is_empty() {
                return Ok(());
            }
            let timed_out = self.runner.transport.now() > stop_by;
            if timed_out || self.process_next()? == Progress::NothingDue {
                return Err(EmulationError::CouriersNotStopped { couriers });
            }
        }
    }

    /// Processes the next event of the network or the next timers of the scenario.
    fn process_next(&mut self) -> Result<Progress, EmulationError> {
        let network_due = self.runner.transport.next_event_at();
        let scenario_due = self.runner.next_wakeup().map(|at| at + self.scenario_start);
        match (network_due, scenario_due) {
            (None, None) => return Ok(Progress::NothingDue),
            // At the same instant, network events are processed before timers.
            (Some(network_due), Some(scenario_due)) if network_due > scenario_due => {
                self.run_timers(scenario_due)?;
            }
            (None, Some(scenario_due)) => self.run_timers(scenario_due)?,
            (Some(network_due), _) => self.process_network_event(network_due)?,
        }
        Ok(Progress::Processed)
    }

    fn run_timers(&mut self, due: Time) -> Result<(), EmulationError> {
        self.runner.transport.advance_clock(due);
        self.runner.clock(due.saturating_sub(self.scenario_start));
        self.runner.run_due_timers().map_err(scenario_error)
    }

    fn process_network_event(&mut self, due: Time) -> Result<(), EmulationError> {
        let Some(input) = self.runner.transport.process_next_event() else { return Ok(()) };
        self.runner.clock(due.saturating_sub(self.scenario_start));
        match input {
            ScenarioInput::Accepted { endpoint, token } => self.runner.accepted(endpoint, token),
            ScenarioInput::Connected(token) => self.runner.connected(token),
            ScenarioInput::Received { token, bytes } => self.runner.received(token, &bytes),
            ScenarioInput::Disconnected(token) => self.runner.disconnected(token),
            ScenarioInput::ControlReply { courier, incarnation, reply } => {
                self.runner.put_done(courier, incarnation, reply).map_err(scenario_error)?;
            }
        }
        Ok(())
    }

    fn into_result(self) -> EmulatedRun {
        let scenario_start = self.scenario_start;
        let FinishedRun { mut records, transport } = self.runner.finish();
        let results = transport.into_results();
        let failed_connects = results.failed_connects.into_iter();
        records.records.failed_connects =
            Some(failed_connects.map(|failed| on_scenario_clock(failed, scenario_start)).collect());
        let trace = results.trace.map(|mut trace| {
            trace.rebase(scenario_start);
            trace
        });
        EmulatedRun {
            records,
            digest: results.digest,
            events: results.events,
            virtual_time: results.virtual_time,
            peak_connections: results.peak_connections,
            trace,
        }
    }
}

/// Converts the times of a failed connection from the network's clock to the scenario's.
fn on_scenario_clock(mut failed: FailedConnect, scenario_start: Time) -> FailedConnect {
    failed.from = failed.from.saturating_sub(scenario_start);
    failed.at = failed.at.saturating_sub(scenario_start);
    failed
}

fn scenario_error(error: impl Into<Box<dyn Error + Send + Sync>>) -> EmulationError {
    EmulationError::Scenario(error.into())
}
