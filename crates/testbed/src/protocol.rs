//! Parameters of the Kafka protocol that the testbed's clients, relay and message receivers share.

/// Maximum size of a frame in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 1 << 20;
/// The API version of Produce requests.
pub(crate) const PRODUCE_VERSION: i16 = 9;
/// Maximum number of connections that one event loop serves.
pub(crate) const MAX_CONNECTIONS: usize = 60_000;
/// The value of `acks` with which a Produce request is acknowledged once every replica has the records.
pub(crate) const ALL_REPLICAS: i16 = -1;
