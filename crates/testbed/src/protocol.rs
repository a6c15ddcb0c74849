//! What the testbed's own clients, relay and message receivers agree on when they speak Kafka.

/// Bytes of a frame, at most.
pub(crate) const MAX_FRAME_BYTES: usize = 1 << 20;
/// The version of Produce requests.
pub(crate) const PRODUCE_VERSION: i16 = 9;
/// Connections of an event loop, at most.
pub(crate) const MAX_CONNECTIONS: usize = 60_000;
/// Produce requests are acknowledged once every replica has the records.
pub(crate) const ALL_REPLICAS: i16 = -1;
