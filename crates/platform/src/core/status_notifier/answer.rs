//! Answers of discovery to batches of status notifications.

use super::{StatusNotifier, MAX_BATCH};
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
    /// Handles received bytes, before which the operating system had accepted `written` bytes of the request.
    /// Returns the messages whose notifications are answered and not sent again, or `None` while the response
    /// is incomplete. A notification that is rejected in a batch of its own counts as acknowledged: sent again,
    /// it would be rejected again and block the queue. After an answer or an error, the connection has to be
    /// closed.
    pub fn receive(&mut self, bytes: &[u8], written: u64) -> Result<Option<Acknowledged>, NotificationError> {
        self.response.extend_from_slice(bytes);
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
        let result = match head.status {
            200 | 204 => BatchResult::Accepted,
            400 => BatchResult::Rejected,
            status => return Err(NotificationError::Status(status)),
        };
        self.reconnect.reset_backoff();
        Ok(Some(Acknowledged { messages: self.finish_batch(result), result }))
    }

    fn request_progress(&self, written: u64) -> RequestProgress {
        if self.sent == 0 {
            return RequestProgress::Incomplete;
        }
        RequestProgress::new(self.request_bytes, written)
    }

    /// Handles the close of the connection after an answer: the next batch is sent on a new one, at once.
    pub fn answered(&mut self, now: Time) {
        self.connection = None;
        self.sent = 0;
        self.reconnect.schedule_retry(now);
    }

    /// Removes the answered batch from the queue and returns its messages. A rejected batch of several
    /// notifications stays queued, and its notifications are sent one by one.
    fn finish_batch(&mut self, result: BatchResult) -> Vec<u32> {
        let sent = std::mem::take(&mut self.sent);
        let done = match result {
            BatchResult::Accepted => {
                self.batch_limit = (2 * self.batch_limit).min(MAX_BATCH);
                sent
            }
            BatchResult::Rejected if sent > 1 => {
                self.batch_limit = 1;
                0
            }
            BatchResult::Rejected => sent,
        };
        self.queue.drain(..done).map(|notification| notification.message).collect()
    }
}
