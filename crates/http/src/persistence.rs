//! Whether a connection stays open after a message.

use crate::fields::Fields;

/// The minor version of HTTP/1.0, as `httparse` gives it.
const HTTP_1_0_MINOR_VERSION: Option<u8> = Some(0);

/// Whether a connection stays open after a request or response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The connection stays open for further requests.
    KeepAlive,
    /// The connection is closed.
    Close,
}

impl Persistence {
    /// Returns the persistence after a message. HTTP/1.0 closes the connection after each message, HTTP/1.1
    /// only after one with `Connection: close`.
    pub(crate) fn after_message(minor_version: Option<u8>, fields: &Fields, bytes: &[u8]) -> Persistence {
        if minor_version == HTTP_1_0_MINOR_VERSION || fields.has_connection_close(bytes) {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }
}
