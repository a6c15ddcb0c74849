//! Encoding of packets for collectd.

use super::security::InitializationVector;
use super::{high_resolution, part_type, security, value_type};
use super::{MetricValue, MAX_NAME_BYTES, PART_HEADER_BYTES};
use crate::series::{Point, PointValue, SeriesSubject};
use crate::settings::Security;

/// Plugin name of all values and notifications of a courier.
const PLUGIN: &str = "linnetcart";

/// The severity of a notification, with its number in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Something failed.
    Failure = 1,
    /// Something needs attention.
    Warning = 2,
    /// The fault is over.
    Okay = 4,
}

/// Encodes packets that have the same host, timestamp and interval.
#[derive(Clone, Debug)]
pub struct PacketEncoder<'a> {
    /// Host name under which the receiver stores the values.
    pub host: &'a str,
    /// Timestamp of all items, in nanoseconds since 1970.
    pub time: u64,
    /// Interval between two reports, in nanoseconds.
    pub interval: u64,
    /// How packets are secured.
    pub security: &'a Security,
    /// Maximum size of a packet in bytes.
    pub max_bytes: usize,
}

impl PacketEncoder<'_> {
    /// Encodes points in packets that are filled up to the maximum size. Each packet repeats the parts that
    /// its values need, so that it can be decoded if others are lost. `next_iv` returns a new initialization
    /// vector for each encrypted packet.
    pub fn points(
        &self,
        points: &[Point],
        next_iv: &mut dyn FnMut() -> InitializationVector,
    ) -> Vec<Vec<u8>> {
        let capacity = self.max_bytes - security::overhead(self.security);
        let empty = self.begin();
        let mut packets = Vec::new();
        let mut packet = empty.clone();
        let mut previous = None;
        for point in points {
            let value = ValueParts::new(point);
            let mut parts = value.parts(previous.as_ref());
            if packet.len() + parts.len() > capacity && previous.is_some() {
                let full = std::mem::replace(&mut packet, empty.clone());
                packets.push(self.seal(full, next_iv));
                parts = value.parts(None);
            }
            packet.extend(parts);
            previous = Some(value);
        }
        if previous.is_some() {
            packets.push(self.seal(packet, next_iv));
        }
        packets
    }

    /// Encodes a notification; its text is truncated to the maximum length of a string.
    pub fn notification(
        &self,
        plugin_instance: &str,
        severity: Severity,
        text: &str,
        next_iv: &mut dyn FnMut() -> InitializationVector,
    ) -> Vec<u8> {
        let mut packet = self.begin();
        write_text(&mut packet, part_type::PLUGIN_INSTANCE, plugin_instance);
        write_text(&mut packet, part_type::TYPE, "gauge");
        write_text(&mut packet, part_type::TYPE_INSTANCE, "state");
        write_part(&mut packet, part_type::SEVERITY, &(severity as u64).to_be_bytes());
        write_text(&mut packet, part_type::MESSAGE, text);
        self.seal(packet, next_iv)
    }

    /// Encodes the parts at the beginning of each packet: host, timestamp, interval and plugin.
    fn begin(&self) -> Vec<u8> {
        let mut packet = Vec::with_capacity(self.max_bytes);
        let time = high_resolution(self.time);
        let interval = high_resolution(self.interval);
        write_text(&mut packet, part_type::HOST, self.host);
        write_part(&mut packet, part_type::HIGH_RESOLUTION_TIME, &time.to_be_bytes());
        write_part(&mut packet, part_type::HIGH_RESOLUTION_INTERVAL, &interval.to_be_bytes());
        write_text(&mut packet, part_type::PLUGIN, PLUGIN);
        packet
    }

    /// Signs or encrypts the parts as configured, and returns the packet.
    fn seal(&self, parts: Vec<u8>, next_iv: &mut dyn FnMut() -> InitializationVector) -> Vec<u8> {
        match self.security {
            Security::None => parts,
            Security::Sign(user) => security::sign(&parts, user),
            Security::Encrypt(user) => security::encrypt(&parts, user, next_iv()),
        }
    }
}

/// The parts that describe a point and its value.
struct ValueParts {
    plugin_instance: String,
    type_name: &'static str,
    type_instance: &'static str,
    value: MetricValue,
}

impl ValueParts {
    /// Maps a point to collectd's types: counters to `derive`, gauges to `gauge`, and latencies to `latency`,
    /// which is in seconds.
    fn new(point: &Point) -> ValueParts {
        let (type_name, value) = match point.value {
            PointValue::Counter(count) => {
                ("derive", MetricValue::Derive(i64::try_from(count).unwrap_or(i64::MAX)))
            }
            PointValue::Gauge(value) => ("gauge", MetricValue::Gauge(value)),
            PointValue::Milliseconds(value) => ("latency", MetricValue::Gauge(value / 1000.0)),
        };
        ValueParts {
            plugin_instance: plugin_instance(&point.subject),
            type_name,
            type_instance: point.metric,
            value,
        }
    }

    /// Encodes the parts, except those that still apply from the previous value in the packet.
    fn parts(&self, previous: Option<&ValueParts>) -> Vec<u8> {
        let mut parts = Vec::new();
        if previous.is_none_or(|previous| previous.plugin_instance != self.plugin_instance) {
            write_text(&mut parts, part_type::PLUGIN_INSTANCE, &self.plugin_instance);
        }
        if previous.is_none_or(|previous| previous.type_name != self.type_name) {
            write_text(&mut parts, part_type::TYPE, self.type_name);
        }
        write_text(&mut parts, part_type::TYPE_INSTANCE, self.type_instance);
        write_values(&mut parts, &[self.value]);
        parts
    }
}

/// Returns the plugin instance under which collectd stores the series of a subject.
fn plugin_instance(subject: &SeriesSubject) -> String {
    match subject {
        SeriesSubject::Courier => "courier".to_owned(),
        SeriesSubject::Class(class) => format!("class-{class}"),
        SeriesSubject::Destination(destination) => format!("dest-{destination}"),
        SeriesSubject::DestinationAndClass { destination, class } => {
            format!("dest-{destination}-class-{class}")
        }
        SeriesSubject::Route { destination, endpoint } => format!("dest-{destination}-route-{endpoint}"),
    }
}

/// Appends a part: its type, its length and its content.
pub(super) fn write_part(out: &mut Vec<u8>, part_type: u16, content: &[u8]) {
    let length = (PART_HEADER_BYTES + content.len()) as u16;
    out.extend(part_type.to_be_bytes());
    out.extend(length.to_be_bytes());
    out.extend(content);
}

/// Appends a part with a zero-terminated string, truncated to the maximum length and without zero bytes.
fn write_text(out: &mut Vec<u8>, part_type: u16, text: &str) {
    let length = text.len().min(MAX_NAME_BYTES - 1);
    let mut content = text.as_bytes()[..length].to_vec();
    content.retain(|&byte| byte != 0);
    content.push(0);
    write_part(out, part_type, &content);
}

/// Appends a part of type `VALUES`: the number of values (16 bits), their types (8 bits each), then the
/// values (64 bits each).
fn write_values(out: &mut Vec<u8>, values: &[MetricValue]) {
    let mut content = (values.len() as u16).to_be_bytes().to_vec();
    for value in values {
        content.push(match value {
            MetricValue::Counter(_) => value_type::COUNTER,
            MetricValue::Gauge(_) => value_type::GAUGE,
            MetricValue::Derive(_) => value_type::DERIVE,
            MetricValue::Absolute(_) => value_type::ABSOLUTE,
        });
    }
    for value in values {
        match *value {
            MetricValue::Counter(count) | MetricValue::Absolute(count) => {
                content.extend(count.to_be_bytes());
            }
            // The protocol is big-endian except for gauges.
            MetricValue::Gauge(value) => content.extend(value.to_le_bytes()),
            MetricValue::Derive(value) => content.extend(value.to_be_bytes()),
        }
    }
    write_part(out, part_type::VALUES, &content);
}
