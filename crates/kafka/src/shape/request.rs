//! Validation of the bodies of requests.

use super::cursor::LengthWidth;
use super::{
    Cursor, Walk, API_VERSIONS_FLEXIBLE_SINCE, METADATA_FLEXIBLE_SINCE, PRODUCE_FLEXIBLE_SINCE, UUID_BYTES,
};

/// Validates the body of a Produce request, versions 3 to 12.
pub fn produce_request(body: &[u8], version: i16) -> Walk {
    let mut cursor = Cursor::of_version(body, version, PRODUCE_FLEXIBLE_SINCE);
    // Transactional id.
    cursor.string()?;
    let _acks = cursor.i16()?;
    let _timeout_ms = cursor.i32()?;
    cursor.request_list(produce_topic)?;
    cursor.tags()?;
    cursor.end()
}

fn produce_topic(cursor: &mut Cursor) -> Walk {
    // Name.
    cursor.string()?;
    cursor.request_list(produce_partition)?;
    cursor.tags()
}

fn produce_partition(cursor: &mut Cursor) -> Walk {
    let _index = cursor.i32()?;
    // Records.
    cursor.nullable_bytes(LengthWidth::Long)?;
    cursor.tags()
}

/// Validates the body of a Metadata request, versions 0 to 12.
pub fn metadata_request(body: &[u8], version: i16) -> Walk {
    let mut cursor = Cursor::of_version(body, version, METADATA_FLEXIBLE_SINCE);
    cursor.request_list(|topic| {
        if version >= 10 {
            let _id = topic.take(UUID_BYTES)?;
        }
        // Name.
        topic.string()?;
        topic.tags()
    })?;
    let _flags = cursor.take(metadata_flag_bytes(version))?;
    cursor.tags()?;
    cursor.end()
}

/// Number of one-byte flags at the end of a Metadata request: whether topics may be created, and which
/// authorized operations are requested.
fn metadata_flag_bytes(version: i16) -> usize {
    match version {
        ..=3 => 0,
        4..=7 => 1,
        8..=10 => 3,
        _ => 2,
    }
}

/// Validates the body of a Fetch request, version 4.
pub fn fetch_request(body: &[u8]) -> Walk {
    let mut cursor = Cursor::new(body);
    let _replica = cursor.i32()?;
    let _max_wait_ms = cursor.i32()?;
    let _min_bytes = cursor.i32()?;
    let _max_bytes = cursor.i32()?;
    let [_isolation_level] = cursor.array()?;
    cursor.request_list(fetch_topic)?;
    cursor.end()
}

fn fetch_topic(cursor: &mut Cursor) -> Walk {
    // Name.
    cursor.string()?;
    cursor.request_list(fetch_partition)
}

fn fetch_partition(cursor: &mut Cursor) -> Walk {
    let _index = cursor.i32()?;
    let _fetch_offset = cursor.i64()?;
    let _max_bytes = cursor.i32()?;
    Ok(())
}

/// Validates the body of an ApiVersions request.
pub fn api_versions_request(body: &[u8], version: i16) -> Walk {
    let mut cursor = Cursor::of_version(body, version, API_VERSIONS_FLEXIBLE_SINCE);
    if version >= 3 {
        // Name and version of the client's software.
        cursor.string()?;
        cursor.string()?;
    }
    cursor.tags()?;
    cursor.end()
}
