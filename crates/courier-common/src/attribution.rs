//! Attribution: how surely a response belongs to the request that awaits it.
//!
//! An HTTP/1.1 response does not name its request. That it answers the awaited one is an inference from the
//! order of bytes on the connection, and everything concluded from the response (served, rejected, not
//! executed, a Retry-After, a load report, an acknowledgement) is as strong as that inference. A Kafka
//! response names its request by a correlation id, and responses come in the order of the requests.
//!
//! A peer or a network may deliver a response twice. On a connection that has carried other requests, a
//! response is therefore certain only if it differs from every earlier response on that connection. By
//! induction, no connection is ever one response behind.
//!
//! Only [`Attribution::Certain`] permits a conclusion from the content of a response. After any other
//! attribution the connection is closed, and [`Execution::after_close`] is all that is known of the request.

mod response_history;
mod seen_responses;

pub use response_history::ResponseHistory;
pub use seen_responses::SeenResponses;

/// How much of a request the operating system has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// Not the last byte: the peer cannot have the complete request.
    Incomplete,
    /// All of it: the peer may have the complete request.
    Complete,
}

impl RequestProgress {
    /// Compares the number of bytes that were queued on a connection, up to the end of the request, with the
    /// number that the operating system has accepted.
    pub fn new(queued_bytes: u64, written_bytes: u64) -> RequestProgress {
        if written_bytes < queued_bytes {
            RequestProgress::Incomplete
        } else {
            RequestProgress::Complete
        }
    }
}

/// How surely a response belongs to the request that awaits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// The response can belong to no other request.
    Certain,
    /// The response began before the last byte of the request was written, or no request awaits it.
    Unsolicited,
    /// The connection has carried an earlier request, and the response may be a copy of the response to it.
    Ambiguous,
    /// The response names an outstanding request that is not the oldest one, although responses come in the
    /// order of the requests.
    OutOfOrder,
}

impl Attribution {
    /// Attributes a response that does not name its request. `progress` is that of the request when the first
    /// byte of the response arrived; `history` are the earlier responses on the connection. `response` are the
    /// bytes from the start of its status line, up to its end or fewer.
    pub fn of_unnamed(progress: RequestProgress, history: &ResponseHistory, response: &[u8]) -> Attribution {
        match progress {
            RequestProgress::Incomplete => Attribution::Unsolicited,
            RequestProgress::Complete if history.may_repeat(response) => Attribution::Ambiguous,
            RequestProgress::Complete => Attribution::Certain,
        }
    }

    /// Attributes a response that names its request by `correlation`. `outstanding` are the correlation ids
    /// of the requests without a response on the connection, the oldest one first.
    pub fn of_correlated(correlation: i32, mut outstanding: impl Iterator<Item = i32>) -> Attribution {
        if outstanding.next() == Some(correlation) {
            Attribution::Certain
        } else if outstanding.any(|id| id == correlation) {
            Attribution::OutOfOrder
        } else {
            Attribution::Unsolicited
        }
    }

    /// Whether the content of the response may be believed.
    pub fn is_certain(self) -> bool {
        self == Attribution::Certain
    }
}

/// What is known about the execution of a request whose connection is closed without a response that is
/// certainly its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The peer never had the complete request.
    Never,
    /// The peer may have executed the request, or may still execute it.
    Possible,
}

impl Execution {
    /// Returns what is known when the connection is closed at this progress of the request.
    pub fn after_close(progress: RequestProgress) -> Execution {
        match progress {
            RequestProgress::Incomplete => Execution::Never,
            RequestProgress::Complete => Execution::Possible,
        }
    }
}

#[cfg(test)]
mod tests;
