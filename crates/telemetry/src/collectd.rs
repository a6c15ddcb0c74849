//! collectd's binary protocol: packets of typed parts, plain, signed or encrypted.
//!
//! A part is its type and its length with these four bytes, both 16 bits, most significant byte first, and
//! its content. Strings end in a zero byte. Parts describe what follows until another of their type comes.
//! This module encodes and decodes packets; it sends and receives none.

mod decode;
mod encode;
mod security;
#[cfg(test)]
mod tests;

pub use decode::read;
pub use encode::{PacketEncoder, Severity};
pub use security::InitializationVector;

/// Bytes of a part before its content: type and length.
const PART_HEADER_BYTES: usize = 4;
/// A name that is sent is no longer, with its zero byte.
const MAX_NAME_BYTES: usize = 128;

/// Types of parts.
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

/// Types of values within a part of values.
mod value_type {
    pub const COUNTER: u8 = 0;
    pub const GAUGE: u8 = 1;
    pub const DERIVE: u8 = 2;
    pub const ABSOLUTE: u8 = 3;
}

/// A value with its type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MetricValue {
    /// A count that grows, and wraps.
    Counter(u64),
    /// A figure of now.
    Gauge(f64),
    /// A figure whose rate of change matters.
    Derive(i64),
    /// A count since the last report.
    Absolute(u64),
}

impl MetricValue {
    /// The value as a number.
    pub fn as_f64(self) -> f64 {
        match self {
            MetricValue::Counter(count) | MetricValue::Absolute(count) => count as f64,
            MetricValue::Gauge(value) => value,
            MetricValue::Derive(value) => value as f64,
        }
    }
}

/// What a list of values, or a notification, is about, and when.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ItemHeader {
    /// The host.
    pub host: String,
    /// When, in units of 2^-30 seconds since 1970.
    pub time: u64,
    /// Time between two reports, in the same units.
    pub interval: u64,
    /// The plugin.
    pub plugin: String,
    /// Which instance of the plugin.
    pub plugin_instance: String,
    /// The type, as `types.db` has it.
    pub type_name: String,
    /// Which instance of the type.
    pub type_instance: String,
}

/// An item of a packet.
#[derive(Clone, Debug, PartialEq)]
pub enum PacketItem {
    /// A list of values.
    Values {
        /// Subject and time of the values.
        header: ItemHeader,
        /// The values.
        values: Vec<MetricValue>,
    },
    /// A notification.
    Notification {
        /// Subject and time of the notification.
        header: ItemHeader,
        /// The severity as sent; see [`Severity`] for the values of the protocol.
        severity: u64,
        /// The text.
        text: String,
    },
}

/// Why a packet was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PacketError {
    /// A part is cut, or its length is impossible.
    #[error("at byte {offset}: a part's length cannot be")]
    InvalidLength {
        /// Where the part begins.
        offset: usize,
    },
    /// A part's content is impossible.
    #[error("at byte {offset}: what the part holds cannot be")]
    InvalidContent {
        /// Where the part begins.
        offset: usize,
    },
    /// A signed or encrypted part where none may be.
    #[error("at byte {offset}: parts are nested wrongly")]
    MisplacedSecurity {
        /// Where the part begins.
        offset: usize,
    },
    /// The signature or the checksum is wrong.
    #[error("signature, sum or key of user `{user}` is wrong")]
    NotAuthentic {
        /// The user that the packet names.
        user: String,
    },
    /// There is no key for the user.
    #[error("no key is set for user `{user}`")]
    UnknownUser {
        /// The user that the packet names.
        user: String,
    },
    /// The packet is less secure than required.
    #[error("the packet must be signed or encrypted")]
    InsufficientSecurity,
}

/// Nanoseconds in collectd's units of 2^-30 seconds.
pub fn high_resolution(nanos: u64) -> u64 {
    let seconds = nanos / 1_000_000_000;
    let rest = nanos % 1_000_000_000;
    (seconds << 30) | ((rest << 30) / 1_000_000_000)
}

/// Collectd's units of 2^-30 seconds in nanoseconds.
pub fn nanos(high_resolution: u64) -> u64 {
    let seconds = high_resolution >> 30;
    let rest = (high_resolution & 0x3fff_ffff) * 1_000_000_000;
    seconds.saturating_mul(1_000_000_000).saturating_add(rest >> 30)
}
