//! HTTP/1.1 framing for both sides: where requests, responses and bodies begin and end in a connection's bytes.
//!
//! It is free of I/O and bounded: a head, its fields and a body have a maximum, and what goes beyond is an
//! error that ends the connection. It never interprets a path, a field of the application or a body.
//!
//! It is stricter than the standard where leniency hides requests from one reader and not from another: a
//! length is one decimal number given once, and a request with `Transfer-Encoding` is rejected unread.
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used, missing_docs)]

mod chunked;
mod fields;
mod limits;
mod persistence;
mod request;
mod response;

pub use chunked::{ChunkedDecoder, InvalidChunk};
pub use limits::{parse_decimal, MAX_BODY_BYTES, MAX_HEADER_FIELDS, MAX_HEAD_BYTES};
pub use persistence::Persistence;
pub use request::{parse_request, DuplicateField, Request, RequestError};
pub use response::{encode_response, parse_response, ParsedResponse, ResponseHead};
