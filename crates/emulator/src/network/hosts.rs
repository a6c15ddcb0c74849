//! The event loops of the couriers: when they run, and how their outputs are carried out.

use super::{endpoint_at, Event, Network, CONTROL_DELAY};
use crate::connections::{Direction, Segment, Side};
use crate::host::{CourierIncarnation, Host, Input, IterationResult};
use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_edge::core::{ClientId, Output, UpstreamId};
use std::net::SocketAddr;

impl Network<'_> {
    /// Resumes all couriers that are suspended, and begins the graceful shutdown of all couriers. Messages
    /// that are still in flight after `timeout` nanoseconds get their final answer at that time.
    pub fn begin_drain(&mut self, timeout: Time) {
        let now = self.now();
        let couriers: Vec<u32> = self.hosts.keys().copied().collect();
        for courier in couriers {
            if let Some(host) = self.hosts.get_mut(&courier) {
                host.resume();
                host.begin_drain(now, timeout);
            }
            self.schedule_iteration(courier);
        }
    }

    /// Returns the couriers that still have inputs to process, messages without a final answer or requests
    /// without a response.
    pub fn unfinished_couriers(&self) -> Vec<u32> {
        let unfinished = self.hosts.iter().filter(|(_, host)| !host.is_done());
        unfinished.map(|(&courier, _)| courier).collect()
    }

    pub(super) fn is_accepting(&self, program: CourierIncarnation) -> bool {
        let Some(host) = self.hosts.get(&program.courier) else { return false };
        host.incarnation == program.incarnation && host.is_accepting()
    }

    fn host(&mut self, program: CourierIncarnation) -> Option<&mut Host> {
        self.hosts.get_mut(&program.courier).filter(|host| host.incarnation == program.incarnation)
    }

    /// Passes an input to the host of a courier, unless the courier is down or in another incarnation.
    pub(super) fn deliver_to_host(&mut self, program: CourierIncarnation, input: Input) {
        if let Some(host) = self.host(program) {
            host.receive(input);
            self.schedule_iteration(program.courier);
        }
    }

    /// Schedules the next iteration of a host, unless one is scheduled at the same time or earlier.
    pub(super) fn schedule_iteration(&mut self, courier: u32) {
        let now = self.now();
        let Some(host) = self.hosts.get_mut(&courier) else { return };
        let Some(wanted_at) = host.next_iteration_due() else { return };
        let due = wanted_at.max(now);
        if host.next_iteration.is_none_or(|scheduled| due < scheduled) {
            host.next_iteration = Some(due);
            self.events.schedule(due, Event::Iteration { courier });
        }
    }

    /// Runs the iteration that is due now. Does nothing if the event is outdated, because the iteration was
    /// rescheduled to an earlier time.
    pub(super) fn run_iteration(&mut self, courier: u32) {
        let now = self.now();
        let Some(host) = self.hosts.get_mut(&courier) else { return };
        if host.next_iteration != Some(now) {
            return;
        }
        host.next_iteration = None;
        if host.is_stalled() {
            return;
        }
        let disk = self.disks.entry(courier).or_default();
        let program = CourierIncarnation { courier, incarnation: host.incarnation };
        let result = host.run_iteration(now, &self.model.loop_costs, disk);
        if let Some(trace) = &mut self.trace {
            trace.add(now, program, &result.delivery_events);
        }
        self.apply_result(program, result);
        self.schedule_iteration(courier);
    }

    /// Carries out the result of an iteration. All its outputs leave at the end of the iteration.
    fn apply_result(&mut self, program: CourierIncarnation, result: IterationResult) {
        let began = self.now();
        self.events.set_now(began + result.duration);
        for client in result.rejected_clients {
            self.close_client(program.courier, client);
        }
        for reply in result.control_replies {
            let due = self.now() + CONTROL_DELAY;
            self.events.schedule(due, Event::ControlReply { program, reply });
        }
        for output in result.outputs {
            self.apply_output(program, output);
        }
        self.events.set_now(began);
    }

    fn apply_output(&mut self, program: CourierIncarnation, output: Output) {
        let courier = program.courier;
        match output {
            Output::ToClient(client, bytes) => self.send_to_client(program, client, bytes),
            Output::CloseClient(client) | Output::AbortClient(client) => self.close_client(courier, client),
            // Reading is not paused: the limits of the courier must hold without backpressure on its clients.
            Output::PauseClient(_) | Output::ResumeClient(_) => {}
            Output::Connect(upstream, address) => self.connect(program, upstream, address),
            Output::ToUpstream(upstream, bytes) => {
                if let Some(token) = self.connections.of_upstream(courier, upstream) {
                    self.transmit(token, Direction::FromCourier, Segment::Data(bytes));
                }
            }
            Output::CloseUpstream(upstream) => {
                if let Some(token) = self.connections.of_upstream(courier, upstream) {
                    self.record_if_connect_failed(token);
                    self.close(token, Side::Courier);
                }
            }
        }
    }

    fn send_to_client(&mut self, program: CourierIncarnation, client: ClientId, bytes: Bytes) {
        let Some(token) = self.connections.of_client(program.courier, client) else { return };
        self.transmit(token, Direction::FromCourier, Segment::Data(bytes));
        let backlog = self.connections.backlog(token);
        if backlog > 0 {
            let input = Input::ClientBacklog(client, backlog as usize);
            self.deliver_to_host(program, input);
        }
    }

    fn close_client(&mut self, courier: u32, client: ClientId) {
        if let Some(token) = self.connections.of_client(courier, client) {
            self.close(token, Side::Courier);
        }
    }

    fn connect(&mut self, program: CourierIncarnation, upstream: UpstreamId, address: SocketAddr) {
        let now = self.now();
        let endpoint = endpoint_at(address);
        let token = self.connections.open_to_endpoint(now, program, upstream, endpoint);
        self.update_peak_connections();
        self.transmit(token, Direction::FromCourier, Segment::Connect);
    }
}
