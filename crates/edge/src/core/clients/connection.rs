//! One client connection: its received frames, its requests without a response, and whether it is read.

use super::pending::PendingRequest;
use super::RecordPosition;
use crate::core::responses::RecordOutcome;
use crate::settings::Limits;
use linnetcart::Time;
use linnetcart_kafka::Frames;
use std::collections::VecDeque;

/// A client connection with its received bytes, its requests without a response and its read state.
#[derive(Debug)]
pub(super) struct ClientConnection {
    pub(super) frames: Frames,
    /// The requests without a response, in the order in which they were received.
    pub(super) requests: VecDeque<PendingRequest>,
    /// The number of the first request in `requests`, counted on the connection from 0.
    pub(super) first_request: u64,
    /// Bytes of responses that the operating system has not accepted yet.
    pub(super) unsent_bytes: usize,
    /// The last iteration in which a request of the connection was processed, and how many were.
    pub(super) iteration: u64,
    pub(super) requests_in_iteration: usize,
    /// Whether reading is paused because a limit is reached.
    pub(super) paused: bool,
    /// Bytes of responses that are ready and wait for those of earlier requests.
    pub(super) ready_bytes: usize,
    /// Whether the client has shut down its sending side, or its last request was refused: nothing more is read.
    pub(super) half_closed: bool,
    /// The earliest deadline of the requests, by the monotonic clock; `Time::MAX` for none. The deadline
    /// index of all connections has this connection under this time.
    pub(super) deadline: Time,
}

impl ClientConnection {
    pub(super) fn new(max_frame_bytes: usize) -> Self {
        ClientConnection {
            frames: Frames::new(max_frame_bytes),
            requests: VecDeque::new(),
            first_request: 0,
            unsent_bytes: 0,
            ready_bytes: 0,
            iteration: 0,
            requests_in_iteration: 0,
            paused: false,
            half_closed: false,
            deadline: Time::MAX,
        }
    }

    /// Returns the memory of answers that the client has not read, in bytes. A send queue may take twice its bytes.
    pub(super) fn answer_bytes(&self) -> usize {
        2 * self.unsent_bytes + self.ready_bytes
    }

    /// Returns whether the client has shut down its sending side and has all its responses, and no request of it waits
    /// to be processed.
    pub(super) fn is_finished(&self) -> bool {
        self.half_closed && self.requests.is_empty() && !self.frames.has_frame()
    }

    /// Returns whether the limit on requests without a response or on unsent bytes is reached, at which
    /// reading pauses.
    pub(super) fn is_at_limit(&self, limits: &Limits) -> bool {
        self.requests.len() >= limits.max_pipelined || self.unsent_bytes >= limits.max_unsent_bytes
    }

    /// Returns the number of the next request, counted on the connection from 0.
    pub(super) fn next_request_number(&self) -> u64 {
        self.first_request + self.requests.len() as u64
    }

    /// Sets the final answer of the record at `position`. Does nothing if the connection has no such request
    /// or record, or the record has a final answer already.
    pub(super) fn complete_record(&mut self, position: RecordPosition, outcome: RecordOutcome) {
        let Some(index) = position.request.checked_sub(self.first_request) else { return };
        let Some(request) = self.requests.get_mut(index as usize) else { return };
        request.complete_record(position.partition, position.record, outcome);
    }

    /// Removes and returns the first request if its response is ready.
    pub(super) fn pop_complete_request(&mut self) -> Option<PendingRequest> {
        self.requests.front().filter(|request| request.is_complete())?;
        self.first_request += 1;
        let request = self.requests.pop_front()?;
        self.ready_bytes -= request.ready_bytes();
        Some(request)
    }

    /// Returns the messages without a final answer that the requests await.
    pub(super) fn open_messages(&self) -> impl Iterator<Item = u32> + '_ {
        self.requests.iter().flat_map(PendingRequest::open_messages)
    }

    /// Returns the messages that need their final answer at `now`: those of each request whose deadline is
    /// reached, and those of the requests before it, because responses are sent in order.
    pub(super) fn overdue_messages(&self, now: Time) -> impl Iterator<Item = u32> + '_ {
        let last_overdue = self.requests.iter().rposition(|request| request.deadline() <= now);
        let overdue_requests = last_overdue.map_or(0, |last| last + 1);
        self.requests.iter().take(overdue_requests).flat_map(PendingRequest::open_messages)
    }

    /// Returns the earliest deadline of the requests, by the monotonic clock; `Time::MAX` if none has one.
    pub(super) fn earliest_deadline(&self) -> Time {
        self.requests.iter().map(PendingRequest::deadline).min().unwrap_or(Time::MAX)
    }
}
