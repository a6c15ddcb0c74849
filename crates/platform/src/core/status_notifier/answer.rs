//! Answers of discovery to batches of status notifications.

use super::connections::NotifierConnection;
use super::StatusNotifier;
use crate::core::connection_pool::ConnectionId;
use linnetcart::Time;
use linnetcart_courier_common::attribution::{Attribution, RequestProgress, ResponseHistory};
use linnetcart_http::{interim_length, parse_response, ParsedResponse, MAX_HEAD_BYTES};

/// Why the answer to a batch is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotificationError {
    /// The answer is not a valid HTTP response.
    #[error("the answer is not a valid HTTP response")]
    Malformed,
    /// The length of the answer's body is unknown or exceeds [`linnetcart_http::MAX_BODY_BYTES`].
    #[error("the answer with status {0} has a body of unknown or excessive length")]
    UnboundedBody(u16),
    /// The status is neither 200, 204 nor 400.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The answer began before the batch was written completely.
    #[error("an answer began before the batch was written")]
    Unsolicited,
}

/// The result of a batch, as answered by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchResult {
    /// Status 200 or 204: discovery accepted the notifications.
    Accepted,
    /// Status 400: at least one notification of the batch is invalid and will never be accepted.
    Rejected,
}

/// Messages whose notifications were answered and are not sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acknowledged {
    /// Numbers of the messages, in the order of their notifications.
    pub messages: Vec<u32>,
    /// The result of the batch that contained the notifications.
    pub result: BatchResult,
}

impl StatusNotifier {
    /// Handles received bytes of a connection, before which the operating system had accepted `written` bytes of
    /// the request. Returns the messages whose notifications are answered and not sent again, or `None` while the
    /// response is incomplete. A notification that is rejected in a batch of its own counts as acknowledged: sent
    /// again, it would be rejected again. After an answer or an error, the connection has to be closed.
    ///
    /// # Errors
    ///
    /// If the bytes are no valid answer to the batch. Its notifications are sent again.
    pub fn receive(
        &mut self,
        id: ConnectionId,
        bytes: &[u8],
        written: u64,
        now: Time,
    ) -> Result<Option<Acknowledged>, NotificationError> {
        let Some(connection) = self.connections.get_mut(id) else { return Ok(None) };
        connection.response.extend_from_slice(bytes);
        match connection.read_answer(written) {
            Ok(None) => Ok(None),
            Ok(Some(result)) => Ok(Some(self.answered(id, result, now))),
            Err(error) => {
                self.disconnected(id, now);
                Err(error)
            }
        }
    }

    fn answered(&mut self, id: ConnectionId, result: BatchResult, now: Time) -> Acknowledged {
        self.connections.valid_answer();
        let messages = self.connections.remove(id).map(|connection| connection.messages);
        let mut messages = messages.unwrap_or_default();
        if result == BatchResult::Rejected && messages.len() > 1 {
            self.queue.split(&messages, now);
            return Acknowledged { messages: vec![], result };
        }
        messages.retain(|&message| self.queue.remove(message));
        Acknowledged { messages, result }
    }
}

impl NotifierConnection {
    /// Returns the answer to the batch, or `None` while it is incomplete.
    fn read_answer(&self, written: u64) -> Result<Option<BatchResult>, NotificationError> {
        let final_response = &self.response[interim_length(&self.response)..];
        if final_response.is_empty() && self.response.len() <= MAX_HEAD_BYTES {
            return Ok(None);
        }
        let attribution = Attribution::of_unnamed(
            self.request_progress(written),
            &ResponseHistory::default(),
            final_response,
        );
        if !attribution.is_certain() {
            return Err(NotificationError::Unsolicited);
        }
        let head = match parse_response(&self.response) {
            ParsedResponse::Incomplete { .. } => return Ok(None),
            ParsedResponse::Malformed { .. } => return Err(NotificationError::Malformed),
            ParsedResponse::Head(head) => head,
        };
        let body_length = head.body.ok_or(NotificationError::UnboundedBody(head.status))?;
        if self.response.len() < head.length + body_length {
            return Ok(None);
        }
        match head.status {
            200 | 204 => Ok(Some(BatchResult::Accepted)),
            400 => Ok(Some(BatchResult::Rejected)),
            status => Err(NotificationError::Status(status)),
        }
    }

    fn request_progress(&self, written: u64) -> RequestProgress {
        if !self.awaits_answer() {
            return RequestProgress::Incomplete;
        }
        RequestProgress::new(self.request_bytes, written)
    }
}
