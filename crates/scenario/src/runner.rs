//! Simulates everything around the couriers of a scenario: clients, endpoints, the publisher of the endpoint
//! list, and the faults.
//!
//! The owner of the runner passes in received bytes, connection events and clock readings. The runner calls
//! the [`Transport`] to send, open and close, and to control couriers, and it records all traffic for the
//! conformance checks. It never reads a clock, and treats couriers as black boxes: it sees only what clients,
//! endpoints and the control interface see.

mod clients;
mod couriers;
mod endpoint_list;
mod endpoints;
mod faults;
mod timers;
mod transport;

pub use transport::{InfrastructureFault, StoredState, Token, Transport, TransportError};

use crate::error::ScenarioError;
use crate::fleet::Fleet;
use crate::units::seconds;
use clients::{ClientConnection, ClientState};
use couriers::CourierProcess;
use endpoint_list::EndpointList;
use endpoints::{EndpointConnection, OpenCall};
use linnetcart_conformance::{EndpointNotification, Partition, Records, Stall, Time};
use linnetcart_endpoint_model::{EndpointSimulator, Overload};
use std::collections::BTreeMap;
use timers::{Timer, TimerQueue};

/// Longest frame that clients and endpoints accept, in bytes.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// How long after the last deadline a run waits for outstanding answers, in nanoseconds.
const LAST_ANSWER_GRACE: Time = 1_000_000_000;

/// A connection of a courier, whose other end the runner simulates.
enum Connection {
    /// From a courier to an endpoint.
    Endpoint(EndpointConnection),
    /// From a client to a courier.
    Client(ClientConnection),
}

/// The records of a run.
#[derive(Clone, Debug)]
pub struct ScenarioRecords {
    /// The records for the conformance checks.
    pub records: Records,
    /// Limits that were overloaded during their slow start.
    pub overloads: Vec<Overload>,
}

/// A finished run.
#[derive(Debug)]
pub struct FinishedRun<T> {
    /// The records of the run.
    pub records: ScenarioRecords,
    /// The transport that was passed to the runner.
    pub transport: T,
}

/// Simulates everything around the couriers of a scenario.
pub struct ScenarioRunner<'a, T> {
    fleet: &'a Fleet,
    /// Carries the bytes and runs the couriers.
    pub transport: T,
    /// The clock of the run, in nanoseconds since [`ScenarioRunner::start_traffic`].
    now: Time,
    timers: TimerQueue,
    simulator: EndpointSimulator,
    connections: BTreeMap<Token, Connection>,
    /// Calls without an answer, by the numbers that the simulator assigned.
    calls: BTreeMap<u64, OpenCall>,
    endpoint_list: EndpointList,
    couriers: Vec<CourierProcess>,
    clients: ClientState,
    notifications: Vec<EndpointNotification>,
    stalls: Vec<Stall>,
    partitions: Vec<Partition>,
    /// The destinations that each fault affects, drawn when it begins; by its position in the scenario.
    affected_destinations: BTreeMap<usize, Vec<u32>>,
}

impl<'a, T: Transport> ScenarioRunner<'a, T> {
    /// Opens the endpoints and starts the couriers.
    ///
    /// # Errors
    /// Fails if the transport cannot open an endpoint or start a courier.
    pub fn new(fleet: &'a Fleet, transport: T) -> Result<ScenarioRunner<'a, T>, ScenarioError> {
        let mut runner = ScenarioRunner {
            fleet,
            transport,
            now: 0,
            timers: TimerQueue::default(),
            simulator: fleet.endpoint_simulator(),
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
            endpoint_list: EndpointList::new(fleet),
            couriers: Vec::new(),
            clients: ClientState::new(fleet.seed),
            notifications: Vec::new(),
            stalls: Vec::new(),
            partitions: Vec::new(),
            affected_destinations: BTreeMap::new(),
        };
        for destination in &fleet.destinations {
            for &endpoint in &destination.endpoints {
                runner.open_new_endpoint(destination.destination, endpoint)?;
            }
        }
        for courier in 0..fleet.scenario.couriers {
            runner.couriers.push(CourierProcess::default());
            runner.start_courier(courier)?;
        }
        Ok(runner)
    }

    /// Returns whether every courier has its settings, the complete endpoint list and at least one client
    /// connection, and all client connections are established.
    pub fn ready(&self) -> bool {
        let is_connected = |token: &Token| match self.connections.get(token) {
            Some(Connection::Client(connection)) => connection.connected,
            _ => false,
        };
        self.couriers.iter().all(|courier| {
            courier.is_up_to_date()
                && !courier.connections.is_empty()
                && courier.connections.iter().all(is_connected)
        })
    }

    /// Begins the traffic: sets the clock to zero, and schedules all messages and faults.
    pub fn start_traffic(&mut self) {
        self.now = 0;
        self.notifications.clear();
        for (message, planned) in self.fleet.messages.iter().enumerate() {
            self.submit_at(planned.at, message, 0);
        }
        for (fault, spec) in self.fleet.scenario.faults.iter().enumerate() {
            self.timers.schedule(seconds(spec.at), Timer::BeginFault { fault });
            self.timers.schedule(seconds(spec.at + spec.lasts), Timer::EndFault { fault });
        }
    }

    /// Returns whether all messages are submitted and answered, or the time for outstanding answers is over.
    pub fn finished(&self) -> bool {
        let scenario = &self.fleet.scenario;
        let end = seconds(scenario.seconds);
        let deadlines = scenario.class.iter().map(|class| seconds(class.deadline_s));
        let last_deadline = end + deadlines.max().unwrap_or(0);
        let all_answered = self.clients.is_idle();
        self.now > end && (all_answered || self.now > last_deadline + LAST_ANSWER_GRACE)
    }

    /// Returns the clock of the run, in nanoseconds since [`ScenarioRunner::start_traffic`].
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the number of submissions that wait for an answer.
    pub fn awaiting_answer(&self) -> usize {
        self.clients.awaiting_answer
    }

    /// Ends the run, and returns its records and the transport.
    pub fn finish(self) -> FinishedRun<T> {
        let records = Records {
            submissions: self.clients.submissions,
            arrivals: self.simulator.arrivals().to_vec(),
            notifications: self.notifications,
            stalls: self.stalls,
            partitions: self.partitions,
            outages: self.simulator.outages().to_vec(),
            stray_answers: self.clients.stray_answers,
            endpoints: self.endpoint_list.destination_of_each_endpoint(),
            failed_connects: None,
        };
        let overloads = self.simulator.overloads().to_vec();
        FinishedRun { records: ScenarioRecords { records, overloads }, transport: self.transport }
    }

    /// Sets the clock of the run, in nanoseconds since [`ScenarioRunner::start_traffic`].
    pub fn clock(&mut self, now: Time) {
        self.now = now;
    }

    /// Returns when the next timer is due, on the clock of the run, or `None` if there is none.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.timers.next_at()
    }

    /// Runs all timers that are due.
    ///
    /// # Errors
    /// Fails if the transport cannot open an endpoint or start a courier, or a request cannot be encoded.
    pub fn run_due_timers(&mut self) -> Result<(), ScenarioError> {
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.run_timer(timer)?;
        }
        Ok(())
    }

    fn run_timer(&mut self, timer: Timer) -> Result<(), ScenarioError> {
        match timer {
            Timer::Submit { message, attempt } => self.submit(message, attempt)?,
            Timer::FinishCall { call } => self.finish_call(call),
            Timer::AcceptConnection { token } => self.accept_delayed(token),
            Timer::BeginFault { fault } => self.begin_fault(fault)?,
            Timer::StepFault { fault, step } => self.step_fault(fault, step)?,
            Timer::EndFault { fault } => self.end_fault(fault)?,
            Timer::PublishChanges { endpoints } => self.publish_changes(endpoints),
            Timer::CatchUp { courier, incarnation } => self.catch_up(courier, incarnation),
            Timer::RemoveEndpoint { endpoint } => self.remove_endpoint(endpoint),
            Timer::RestartCourier { courier } => self.start_courier(courier)?,
            Timer::ResumeCourier { courier } => self.resume_courier(courier),
            Timer::AnswerTimeout { submission } => self.time_out_answer(submission),
        }
        Ok(())
    }

    fn schedule_after(&mut self, delay: Time, timer: Timer) {
        self.timers.schedule(self.now + delay, timer);
    }

    /// Handles the establishment of a client connection, and sends the requests that waited for it.
    pub fn connected(&mut self, token: Token) {
        if let Some(Connection::Client(connection)) = self.connections.get_mut(&token) {
            connection.connected = true;
            for request in std::mem::take(&mut connection.backlog) {
                self.transport.send(token, &request);
            }
        }
    }

    /// Handles bytes that arrived on a connection.
    pub fn received(&mut self, token: Token, bytes: &[u8]) {
        match self.connections.get(&token) {
            Some(Connection::Endpoint(_)) => self.received_at_endpoint(token, bytes),
            Some(Connection::Client(_)) => self.received_at_client(token, bytes),
            None => {}
        }
    }

    /// Handles a connection that ended or could not be established.
    pub fn disconnected(&mut self, token: Token) {
        match self.connections.remove(&token) {
            Some(Connection::Endpoint(connection)) => self.release_connection(&connection),
            Some(Connection::Client(connection)) => {
                let courier = &mut self.couriers[connection.courier as usize];
                if courier.incarnation == connection.incarnation {
                    courier.connections.retain(|&other| other != token);
                }
                self.orphan_submissions(connection);
            }
            None => {}
        }
    }
}
