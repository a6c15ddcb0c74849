//! HTTP/1.1 framing for clients and servers: where requests, responses and bodies begin and end in a
//! connection's bytes.
//!
//! The crate performs no I/O, and all sizes are bounded: a head, its fields and a body beyond their maximum
//! are errors that end the connection. It never interprets a path, an application's header field or a body.
//!
//! The crate is stricter than RFC 9112 where two lenient readers could disagree on where a request ends
//! (request smuggling): a length is one decimal number given once, and a request with `Transfer-Encoding` is
//! rejected without reading its body.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod chunked;
mod fields;
mod limits;
mod persistence;
mod request;
mod response;
mod unframed;

pub use chunked::{ChunkedDecoder, InvalidChunk};
pub use limits::{parse_decimal, MAX_BODY_BYTES, MAX_HEADER_FIELDS, MAX_HEAD_BYTES};
pub use persistence::Persistence;
pub use request::{parse_request, request_length, DuplicateField, Request, RequestError, RequestLength};
pub use response::{
    encode_response, interim_length, parse_response, reason_phrase, EarlyStatus, ParsedResponse, ResponseHead,
};
pub use unframed::unframed_values;
