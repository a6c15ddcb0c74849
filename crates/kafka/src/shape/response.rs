//! Validation of the bodies of responses.

use super::{Cursor, Walk, METADATA_FLEXIBLE_SINCE, PRODUCE_FLEXIBLE_SINCE, UUID_BYTES};

/// Validates the body of a Produce response, versions 3 to 12.
pub fn produce_response(body: &[u8], version: i16) -> Walk {
    let mut cursor = Cursor::of_version(body, version, PRODUCE_FLEXIBLE_SINCE);
    cursor.list(|topic| {
        // Name.
        topic.string()?;
        topic.list(|partition| produce_partition(partition, version))?;
        topic.tags()
    })?;
    let _throttle_time_ms = cursor.i32()?;
    cursor.tags()?;
    cursor.end()
}

fn produce_partition(cursor: &mut Cursor, version: i16) -> Walk {
    let _index = cursor.i32()?;
    let _error_code = cursor.i16()?;
    let _base_offset = cursor.i64()?;
    let _log_append_time_ms = cursor.i64()?;
    if version >= 5 {
        let _log_start_offset = cursor.i64()?;
    }
    if version >= 8 {
        cursor.list(record_error)?;
        // Error message of the partition.
        cursor.string()?;
    }
    cursor.tags()
}

fn record_error(cursor: &mut Cursor) -> Walk {
    let _batch_index = cursor.i32()?;
    // Error message of the record.
    cursor.string()?;
    cursor.tags()
}

/// Validates the body of a Metadata response, versions 0 to 12.
pub fn metadata_response(body: &[u8], version: i16) -> Walk {
    let mut cursor = Cursor::of_version(body, version, METADATA_FLEXIBLE_SINCE);
    if version >= 3 {
        let _throttle_time_ms = cursor.i32()?;
    }
    cursor.list(|broker| metadata_broker(broker, version))?;
    if version >= 2 {
        // Cluster id.
        cursor.string()?;
    }
    if version >= 1 {
        let _controller_id = cursor.i32()?;
    }
    cursor.list(|topic| metadata_topic(topic, version))?;
    if (8..=10).contains(&version) {
        let _cluster_authorized_operations = cursor.i32()?;
    }
    cursor.tags()?;
    cursor.end()
}

fn metadata_broker(cursor: &mut Cursor, version: i16) -> Walk {
    let _node_id = cursor.i32()?;
    // Host.
    cursor.string()?;
    let _port = cursor.i32()?;
    if version >= 1 {
        // Rack.
        cursor.string()?;
    }
    cursor.tags()
}

fn metadata_topic(cursor: &mut Cursor, version: i16) -> Walk {
    let _error_code = cursor.i16()?;
    // Name.
    cursor.string()?;
    if version >= 10 {
        let _id = cursor.take(UUID_BYTES)?;
    }
    if version >= 1 {
        let [_is_internal] = cursor.array()?;
    }
    cursor.list(|partition| metadata_partition(partition, version))?;
    if version >= 8 {
        let _authorized_operations = cursor.i32()?;
    }
    cursor.tags()
}

fn metadata_partition(cursor: &mut Cursor, version: i16) -> Walk {
    let _error_code = cursor.i16()?;
    let _index = cursor.i32()?;
    let _leader_id = cursor.i32()?;
    if version >= 7 {
        let _leader_epoch = cursor.i32()?;
    }
    // Replicas, and in-sync replicas.
    cursor.list(node_id)?;
    cursor.list(node_id)?;
    if version >= 5 {
        // Offline replicas.
        cursor.list(node_id)?;
    }
    cursor.tags()
}

fn node_id(cursor: &mut Cursor) -> Walk {
    cursor.i32().map(drop)
}
