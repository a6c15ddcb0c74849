//! Clients: how the core handles their connections and requests, accepts messages, and sends responses.

use super::admission::{
    AdmissionContext, AdmissionDecision, AdmittedRecord, CheckedPartition, ProduceOptions, ResolvedPartition,
};
use super::clients::{PendingPartition, PendingProduce, PendingRecord, ReadState, RecordPosition};
use super::error::ProtocolError;
use super::in_flight::Message;
use super::responses::RecordOutcome;
use super::{ClientId, Core, Output};
use crate::delivery_events::{DeliveryEvent, RejectionReason};
use crate::time::NANOS_PER_MS;
use linnetcart::{AcceptedMessage, Event, Time};
use linnetcart_kafka::server::{self, Body, Produce, Request, Topic};
use std::collections::BTreeSet;

impl Core {
    /// Handles a client that connected.
    pub fn client_connected(&mut self, id: ClientId) {
        self.clients.open(id, self.settings.limits.max_request_bytes);
    }

    /// Handles bytes from a client: processes the requests that they complete.
    pub fn client_received(&mut self, id: ClientId, bytes: &[u8]) {
        if self.clients.receive(id, bytes) {
            self.process_requests(id);
        }
        while let Some(largest) = self.clients.over_request_memory() {
            self.refuse_partial_request(largest);
        }
    }

    /// Drops the incomplete request of a client. Its connection is closed once its earlier requests are answered.
    fn refuse_partial_request(&mut self, id: ClientId) {
        self.report_violation(id, &ProtocolError::TooManyRequestBytes);
        self.clients.refuse_partial_request(id);
        self.outputs.push(Output::PauseClient(id));
        self.send_responses(id);
    }

    /// Closes the connections of the clients with the most unread answers until the answers take no more memory than
    /// they may.
    fn free_answer_memory(&mut self) {
        while let Some(id) = self.clients.over_answer_memory() {
            self.report_violation(id, &ProtocolError::TooManyAnswerBytes);
            self.outputs.retain(|output| !matches!(output, Output::ToClient(client, _) if *client == id));
            self.outputs.push(Output::AbortClient(id));
            self.client_disconnected(id);
        }
    }

    /// Begins an iteration: processes the requests that the last one has left.
    pub(super) fn process_postponed(&mut self) {
        for id in self.clients.begin_iteration() {
            self.process_requests(id);
        }
    }

    /// Handles a client that shut down its sending side. Its requests are still answered.
    pub fn client_half_closed(&mut self, id: ClientId) {
        if self.clients.half_close(id) {
            self.send_responses(id);
        }
    }

    /// Handles a client that disconnected. Its messages without a final answer are cancelled, because nobody
    /// awaits the answers.
    pub fn client_disconnected(&mut self, id: ClientId) {
        for message in self.clients.remove(id) {
            let Some(in_flight) = self.in_flight.get(message) else { continue };
            let Message { class, destination, .. } = in_flight.message;
            self.counters.client_cancelled(class);
            self.delivery_events.push(DeliveryEvent::ClientCancelled { message, class, destination });
            self.decisions.push(Event::ClientCancelled { message });
            self.in_flight.complete(message);
        }
    }

    /// Sets how many bytes of responses to a client the operating system has not accepted yet. Resumes
    /// reading if the client was paused and is below its limits again.
    pub fn set_client_backlog(&mut self, id: ClientId, bytes: usize) {
        self.clients.set_unsent_bytes(id, bytes);
        if self.clients.is_paused(id) {
            self.process_requests(id);
        }
    }

    /// Processes the complete requests of a client until none is left, or its share of the iteration is used up, or a
    /// limit is reached, at which reading from the client pauses. Closes its connection if it violates the protocol.
    pub(super) fn process_requests(&mut self, id: ClientId) {
        loop {
            let Some(update) = self.clients.update_reading(id, &self.settings.limits) else { return };
            if update.changed {
                self.outputs.push(match update.state {
                    ReadState::Paused => Output::PauseClient(id),
                    ReadState::Reading => Output::ResumeClient(id),
                });
            }
            if update.state == ReadState::Paused {
                return;
            }
            if !self.clients.begin_request(id, self.answer_bytes < self.max_answer_bytes) {
                self.outputs.push(Output::PauseClient(id));
                return;
            }
            let processed = match self.clients.next_request(id) {
                // A client that sends no more may be finished now.
                Ok(None) => return self.send_responses(id),
                Ok(Some(request)) => self.process_request(id, request),
                Err(error) => Err(error),
            };
            if let Err(error) = processed {
                self.close_violating_client(id, &error);
                return;
            }
            self.send_responses(id);
        }
    }

    fn close_violating_client(&mut self, id: ClientId, error: &ProtocolError) {
        self.report_violation(id, error);
        self.outputs.push(Output::CloseClient(id));
        self.client_disconnected(id);
    }

    fn report_violation(&mut self, id: ClientId, error: &ProtocolError) {
        let peer = format!("client {id}");
        self.delivery_events.push(DeliveryEvent::ProtocolViolation { peer, reason: error.to_string() });
    }

    /// Answers a request, or queues it until its records have their final answers. A Produce request with
    /// `acks=0` has no response that could carry final answers, and is a violation.
    fn process_request(&mut self, id: ClientId, request: Request) -> Result<(), ProtocolError> {
        let Request { correlation, version, .. } = request;
        let response = match request.body {
            Body::ApiVersions => server::api_versions(correlation, version),
            Body::ApiVersionsTooNew => server::api_versions_unsupported(correlation, version),
            Body::Metadata(names) => {
                server::metadata(correlation, version, &self.broker, &self.topics(names))
            }
            Body::Fetch(topics) => server::fetch_rejected(correlation, &topics),
            Body::Produce(produce) if produce.acks == 0 => {
                let topics = produce.parts.into_iter().map(|batch| batch.topic).collect();
                return Err(ProtocolError::NoAcknowledgement { topics });
            }
            Body::Produce(produce) => {
                self.process_produce(id, correlation, version, produce);
                return Ok(());
            }
        };
        self.clients.enqueue_response(id, response);
        Ok(())
    }

    /// Returns the named topics, or all of them for `None`, for a Metadata response. A topic is a class, and
    /// has a partition for each destination.
    fn topics(&self, names: Option<Vec<String>>) -> Vec<Topic> {
        let partitions = self.endpoints.partition_states();
        let all = || self.settings.classes.iter().map(|class| class.name.clone()).collect();
        let mut topics = Vec::new();
        // A name that is given more than once is answered once.
        let names: BTreeSet<String> = names.unwrap_or_else(all).into_iter().collect();
        for name in names {
            let partitions = self.settings.class(&name).map(|_| partitions.clone());
            topics.push(Topic { name, partitions });
        }
        topics
    }

    /// Decides on each partition of a Produce request, accepts the admitted records, and queues the request
    /// until all its records have their final answers.
    fn process_produce(&mut self, client: ClientId, correlation: i32, version: i16, produce: Produce) {
        let request = self.clients.next_request_number(client);
        let options = ProduceOptions { acks: produce.acks, transactional: produce.transactional };
        let mut deadline = Time::MAX;
        let mut partitions = Vec::new();
        for (index, batch) in produce.parts.into_iter().enumerate() {
            let context = AdmissionContext {
                settings: &self.settings,
                endpoints: &self.endpoints,
                clock: self.clock,
                usage: self.in_flight.usage(),
                message_memory: self.message_memory,
                draining: self.drain.is_draining(),
            };
            let checked = self.admission.check(options, batch, &context);
            deadline = deadline.min(checked.deadline.unwrap_or(Time::MAX));
            let first = RecordPosition { client, request, partition: index as u32, record: 0 };
            partitions.push(self.admit_partition(first, checked));
        }
        self.clients.enqueue_produce(client, PendingProduce { correlation, version, partitions }, deadline);
    }

    /// Carries out an admission decision. `first` is the position of the partition's first record.
    fn admit_partition(&mut self, first: RecordPosition, checked: CheckedPartition) -> PendingPartition {
        let CheckedPartition { topic, partition, decision, .. } = checked;
        let records = match decision {
            AdmissionDecision::Invalid(result) => return PendingPartition::Rejected(result),
            AdmissionDecision::Shed { resolved, record_count, reason } => {
                self.shed(resolved, record_count, reason)
            }
            AdmissionDecision::Admitted { resolved, records } => {
                let mut accepted = Vec::with_capacity(records.len());
                for (index, record) in records.into_iter().enumerate() {
                    let position = RecordPosition { record: index as u32, ..first };
                    accepted.push(PendingRecord::accepted(self.accept(position, resolved, record)));
                }
                accepted
            }
        };
        PendingPartition::Records { topic, partition, records }
    }

    /// Rejects all records of a partition because of load or a drain, with the longest Retry-After that the
    /// settings permit.
    fn shed(
        &mut self,
        resolved: ResolvedPartition,
        record_count: usize,
        reason: RejectionReason,
    ) -> Vec<PendingRecord> {
        let ResolvedPartition { class, destination } = resolved;
        let retry_after = self.settings.permissions.max_retry_after_ms * NANOS_PER_MS;
        let mut shed = Vec::with_capacity(record_count);
        for _ in 0..record_count {
            self.counters.shed(class);
            self.delivery_events.push(DeliveryEvent::Rejected { class, destination, reason });
            let outcome = RecordOutcome::Rejected { retry_after, not_executed: true };
            shed.push(PendingRecord::completed(outcome));
        }
        shed
    }

    /// Accepts a record as a message: adds it to the in-flight table and reports it to the library. Returns
    /// the message's number.
    fn accept(
        &mut self,
        position: RecordPosition,
        resolved: ResolvedPartition,
        admitted: AdmittedRecord,
    ) -> u32 {
        let ResolvedPartition { class, destination } = resolved;
        let AdmittedRecord { record, name, ordering_key, deadline, tenant } = admitted;
        let accepted_at = self.clock.now();
        let message = Message { position, class, destination, record, accepted_at, deadline };
        let id = self.in_flight.insert(message);
        self.counters.accepted(class);
        self.delivery_events.push(DeliveryEvent::Accepted {
            message: id,
            name,
            class,
            destination,
            deadline,
        });
        self.decisions.push(Event::Accepted(AcceptedMessage {
            id,
            destination,
            class,
            time_remaining: deadline.saturating_sub(accepted_at),
            ordering_key,
            tenant,
        }));
        id
    }

    /// Sends the responses of a client that are ready. Closes its connection if the client has shut down its
    /// sending side and has all its responses.
    pub(super) fn send_responses(&mut self, id: ClientId) {
        for response in self.clients.take_responses(id) {
            self.answer_bytes += response.len();
            self.outputs.push(Output::ToClient(id, response));
        }
        if self.clients.is_finished(id) {
            self.outputs.push(Output::CloseClient(id));
            self.clients.remove(id);
        }
        self.free_answer_memory();
    }
}
