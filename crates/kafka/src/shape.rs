//! Validation of the lengths and counts of a message against its remaining bytes, without allocation.
//!
//! The decoder of the protocol library reserves memory for as many elements as a count claims. The functions
//! here walk over the message first and make sure that each claimed element has at least one byte. They never
//! interpret the values of fields.

mod batch;
mod cursor;
mod request;
mod response;

pub use batch::{batch, BatchHead};
pub(crate) use batch::{BATCH_MAGIC, NO_COMPRESSION};
pub use cursor::Cursor;
pub(crate) use cursor::MAX_TAGS;
pub use request::{api_versions_request, fetch_request, metadata_request, produce_request};
pub use response::{metadata_response, produce_response};

use crate::codes::Malformed;

/// First flexible version of each API (KIP-482), with compact lengths and tagged fields.
const PRODUCE_FLEXIBLE_SINCE: i16 = 9;
const METADATA_FLEXIBLE_SINCE: i16 = 9;
const API_VERSIONS_FLEXIBLE_SINCE: i16 = 3;
/// Size of a topic id, which is a UUID, in bytes.
const UUID_BYTES: usize = 16;

/// The result of walking over a part of a message: an error if a length or count exceeds the remaining bytes.
type Walk = Result<(), Malformed>;
