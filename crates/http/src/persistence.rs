//! Persistence of connections: whether a connection stays open after a message (RFC 9112, section 9.3).

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
    /// Returns the persistence after a message. A message of HTTP/1.0 ends the connection, one of HTTP/1.1
    /// only with `Connection: close`.
    pub(crate) fn after_message(minor_version: Option<u8>, fields: &Fields, bytes: &[u8]) -> Persistence {
        if minor_version == HTTP_1_0_MINOR_VERSION || fields.has_connection_close(bytes) {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }
}
