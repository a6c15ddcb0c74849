//! Whether a connection stays open after a message.

/// What becomes of a connection after a request or response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// It stays open for further requests.
    KeepAlive,
    /// It is closed.
    Close,
}

impl Persistence {
    /// HTTP/1.0 closes a connection after each message, HTTP/1.1 where a message says so.
    pub(crate) fn after(is_http_1_0: bool, has_connection_close: bool) -> Persistence {
        if is_http_1_0 || has_connection_close {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }
}
