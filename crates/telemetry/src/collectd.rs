//! collectd's binary network protocol: packets of type-length-value parts, plain, signed or encrypted.
//!
//! A part consists of its type, its length including these four bytes (both big-endian `u16`) and its
//! content. Strings end with a zero byte. A part applies to all following items, until a later part of that
//! type replaces it. This module encodes and decodes packets; it never sends or receives them.

mod decode;
mod encode;
mod security;
#[cfg(test)]
mod tests;

pub use decode::read;
pub use encode::{PacketEncoder, Severity};
pub use security::InitializationVector;

/// Size of the type and the length of a part.
const PART_HEADER_BYTES: usize = 4;
/// Maximum length of an encoded string in bytes, including its zero byte.
const MAX_NAME_BYTES: usize = 128;
/// Number of fractional bits of a high-resolution time, a fixed-point number in units of 2^-30 seconds.
const TIME_FRACTION_BITS: u32 = 30;
const TIME_FRACTION_MASK: u64 = (1 << TIME_FRACTION_BITS) - 1;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Types of parts, as numbered by the protocol.
mod part_type {
    pub const HOST: u16 = 0x0000;
    pub const TIME: u16 = 0x0001;
    pub const PLUGIN: u16 = 0x0002;
    pub const PLUGIN_INSTANCE: u16 = 0x0003;
    pub const TYPE: u16 = 0x0004;
    pub const TYPE_INSTANCE: u16 = 0x0005;
    pub const VALUES: u16 = 0x0006;
    pub const INTERVAL: u16 = 0x0007;
    pub const HIGH_RESOLUTION_TIME: u16 = 0x0008;
    pub const HIGH_RESOLUTION_INTERVAL: u16 = 0x0009;
    pub const MESSAGE: u16 = 0x0100;
    pub const SEVERITY: u16 = 0x0101;
    pub const SIGNATURE: u16 = 0x0200;
    pub const ENCRYPTION: u16 = 0x0210;
}

/// Types of values within a part of type `VALUES`, as numbered by the protocol.
mod value_type {
    pub const COUNTER: u8 = 0;
    pub const GAUGE: u8 = 1;
    pub const DERIVE: u8 = 2;
    pub const ABSOLUTE: u8 = 3;
}

/// A value with its type (collectd's data source type).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MetricValue {
    /// A counter that grows and wraps around.
    Counter(u64),
    /// A current value.
    Gauge(f64),
    /// A running total, of which receivers store the rate of change. It may decrease and does not wrap.
    Derive(i64),
    /// A count since the last report.
    Absolute(u64),
}

impl MetricValue {
    /// Returns the value as a floating-point number.
    pub fn as_f64(self) -> f64 {
        match self {
            MetricValue::Counter(count) | MetricValue::Absolute(count) => count as f64,
            MetricValue::Gauge(value) => value,
            MetricValue::Derive(value) => value as f64,
        }
    }
}

/// Identifier and time of a list of values or of a notification.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ItemHeader {
    /// Name of the host that the values or the notification describe.
    pub host: String,
    /// Timestamp, in units of 2^-30 seconds since 1970.
    pub time: u64,
    /// Interval between two reports, in units of 2^-30 seconds.
    pub interval: u64,
    /// Name of the collectd plugin that collected the values, such as `interface`.
    pub plugin: String,
    /// Instance of the plugin, such as the name of an interface.
    pub plugin_instance: String,
    /// Type of the values, as defined in `types.db`.
    pub type_name: String,
    /// Instance of the type, which distinguishes values of one type.
    pub type_instance: String,
}

/// An item of a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum PacketItem {
    /// A list of values.
    Values {
        /// Identifier and time of the values.
        header: ItemHeader,
        /// The values.
        values: Vec<MetricValue>,
    },
    /// A notification.
    Notification {
        /// Identifier and time of the notification.
        header: ItemHeader,
        /// The severity as sent, which may be invalid; see [`Severity`] for the values of the protocol.
        severity: u64,
        /// The text that describes the event to an operator.
        text: String,
    },
}

/// Why a packet was rejected. The text is `last_bad` in `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// A part is truncated, or its length is invalid.
    #[error("at byte {offset}: a part's length cannot be")]
    InvalidLength {
        /// Byte offset of the part in the packet, or in the decrypted parts of an encrypted packet.
        offset: usize,
    },
    /// The content of a part is invalid.
    #[error("at byte {offset}: what the part holds cannot be")]
    InvalidContent {
        /// Byte offset of the part in the packet, or in the decrypted parts of an encrypted packet.
        offset: usize,
    },
    /// A signature or an encrypted part is at a position where it is not allowed.
    #[error("at byte {offset}: parts are nested wrongly")]
    MisplacedSecurity {
        /// Byte offset of the part in the packet, or in the decrypted parts of an encrypted packet.
        offset: usize,
    },
    /// The signature or the checksum does not match with any key of the user.
    #[error("signature, sum or key of user `{user}` is wrong")]
    NotAuthentic {
        /// The user named in the packet.
        user: String,
    },
    /// No key is configured for the user.
    #[error("no key is set for user `{user}`")]
    UnknownUser {
        /// The user named in the packet.
        user: String,
    },
    /// The packet is not signed or encrypted as [`Require`](crate::settings::Require) demands.
    #[error("the packet must be signed or encrypted")]
    InsufficientSecurity,
}

/// Converts nanoseconds to collectd's high-resolution time in units of 2^-30 seconds, rounding down.
pub fn high_resolution(nanos: u64) -> u64 {
    let seconds = nanos / NANOS_PER_SECOND;
    let subsecond_nanos = nanos % NANOS_PER_SECOND;
    (seconds << TIME_FRACTION_BITS) | ((subsecond_nanos << TIME_FRACTION_BITS) / NANOS_PER_SECOND)
}

/// Converts collectd's high-resolution time in units of 2^-30 seconds to nanoseconds, rounding down.
pub fn nanos(high_resolution: u64) -> u64 {
    let seconds = high_resolution >> TIME_FRACTION_BITS;
    let fraction = high_resolution & TIME_FRACTION_MASK;
    let subsecond_nanos = (fraction * NANOS_PER_SECOND) >> TIME_FRACTION_BITS;
    seconds.saturating_mul(NANOS_PER_SECOND).saturating_add(subsecond_nanos)
}
