//! Walks over a message's bytes that check every length and count against the bytes that are there, without
//! allocating.
//!
//! The decoder reserves memory for as many elements as a count claims; these walks make sure that each claimed
//! element has at least one byte behind it. They never look at what the fields mean.

mod batch;
mod cursor;
mod request;
mod response;

pub use batch::{batch, BatchHead};
pub(crate) use batch::{BATCH_MAGIC, NO_COMPRESSION};
pub use cursor::Cursor;
pub use request::{api_versions_request, fetch_request, metadata_request, produce_request};
pub use response::{metadata_response, produce_response};

use crate::codes::Malformed;

/// First version of each API with compact lengths and tagged fields.
const PRODUCE_FLEXIBLE_SINCE: i16 = 9;
const METADATA_FLEXIBLE_SINCE: i16 = 9;
const API_VERSIONS_FLEXIBLE_SINCE: i16 = 3;
/// Bytes of the id of a topic.
const UUID_BYTES: usize = 16;

/// Whether the bytes have the shape that was walked.
type Walk = Result<(), Malformed>;
