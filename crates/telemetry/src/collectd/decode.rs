//! Decoding of packets from collectd.

use super::security::{self, UserKeys};
use super::{part_type, value_type};
use super::{ItemHeader, MetricValue, PacketError, PacketItem};
use super::{MAX_NAME_BYTES, PART_HEADER_BYTES, TIME_FRACTION_BITS};
use crate::settings::Require;

/// Maximum number of values in a list; the types that collectd defines in `types.db` have fewer.
const MAX_VALUES: usize = 64;
/// Size of the numeric part of a value, a 64-bit integer or floating-point number.
const NUMBER_BYTES: usize = 8;
/// Size of a value: its type and its number.
const VALUE_BYTES: usize = 1 + NUMBER_BYTES;
/// Size of the number of values before a list.
const VALUE_COUNT_BYTES: usize = 2;
/// Maximum length of a received string in bytes, including its zero byte. Newer versions of collectd send
/// longer strings than [`MAX_NAME_BYTES`].
const MAX_STRING_BYTES: usize = MAX_NAME_BYTES * 8;

/// Decodes the items of a packet. Returns an error, and no items, if any part is invalid or not secured as
/// required.
pub fn read(packet: &[u8], keys: &UserKeys, require: Require) -> Result<Vec<PacketItem>, PacketError> {
    let mut decoder = Decoder { keys, require, items: Vec::new() };
    decoder.decode(packet, PacketSecurity::None)?;
    Ok(decoder.items)
}

/// How the parts that are being decoded were secured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PacketSecurity {
    None,
    Signed,
    Encrypted,
}

impl PacketSecurity {
    fn satisfies(self, require: Require) -> bool {
        match require {
            Require::Nothing => true,
            Require::Signed => self != PacketSecurity::None,
            Require::Encrypted => self == PacketSecurity::Encrypted,
        }
    }
}

/// A part of a packet, with its offset and its end in the packet.
#[derive(Clone, Copy)]
struct Part<'a> {
    offset: usize,
    end: usize,
    part_type: u16,
    content: &'a [u8],
}

struct Decoder<'a> {
    keys: &'a UserKeys,
    require: Require,
    items: Vec<PacketItem>,
}

/// The values of the parts so far, each of which applies to all items until another part of its type.
#[derive(Default)]
struct Description {
    header: ItemHeader,
    severity: u64,
}

impl Decoder<'_> {
    fn decode(&mut self, packet: &[u8], mut security: PacketSecurity) -> Result<(), PacketError> {
        let mut description = Description::default();
        let mut offset = 0;
        while offset < packet.len() {
            let part = Part::read(packet, offset)?;
            let is_first = offset == 0;
            let may_be_secured = is_first && security == PacketSecurity::None;
            match part.part_type {
                part_type::SIGNATURE if may_be_secured => {
                    security::verify(part.content, &packet[part.end..], self.keys)?;
                    security = PacketSecurity::Signed;
                }
                part_type::ENCRYPTION if may_be_secured && part.end == packet.len() => {
                    let parts = security::decrypt(part.content, self.keys)?;
                    return self.decode(&parts, PacketSecurity::Encrypted);
                }
                part_type::SIGNATURE | part_type::ENCRYPTION => {
                    return Err(PacketError::MisplacedSecurity { offset });
                }
                _ if !security.satisfies(self.require) => return Err(PacketError::InsufficientSecurity),
                _ => self.items.extend(description.apply(part)?),
            }
            offset = part.end;
        }
        Ok(())
    }
}

impl Description {
    /// Applies a part. Returns the item if the part completes one.
    fn apply(&mut self, part: Part<'_>) -> Result<Option<PacketItem>, PacketError> {
        let header = &mut self.header;
        match part.part_type {
            part_type::HOST => {
                header.host = part.string()?;
                header.plugin_instance = String::new();
            }
            part_type::PLUGIN => header.plugin = part.string()?,
            part_type::PLUGIN_INSTANCE => header.plugin_instance = part.string()?,
            part_type::TYPE => header.type_name = part.string()?,
            part_type::TYPE_INSTANCE => header.type_instance = part.string()?,
            part_type::TIME => header.time = part.seconds()?,
            part_type::INTERVAL => header.interval = part.seconds()?,
            part_type::HIGH_RESOLUTION_TIME => header.time = part.number()?,
            part_type::HIGH_RESOLUTION_INTERVAL => header.interval = part.number()?,
            part_type::SEVERITY => self.severity = part.number()?,
            part_type::MESSAGE => {
                let text = part.string()?;
                let (header, severity) = (header.clone(), self.severity);
                return Ok(Some(PacketItem::Notification { header, severity, text }));
            }
            part_type::VALUES => {
                let values = part.values()?;
                return Ok(Some(PacketItem::Values { header: header.clone(), values }));
            }
            // Unknown types come from later versions and are ignored, as the protocol requires.
            _ => {}
        }
        Ok(None)
    }
}

impl<'a> Part<'a> {
    fn read(packet: &'a [u8], offset: usize) -> Result<Part<'a>, PacketError> {
        let invalid = PacketError::InvalidLength { offset };
        let Some(part_type) = read_u16(packet, offset) else { return Err(invalid) };
        let Some(length) = read_u16(packet, offset + 2) else { return Err(invalid) };
        let end = offset + usize::from(length);
        match packet.get(offset + PART_HEADER_BYTES..end) {
            Some(content) => Ok(Part { offset, end, part_type, content }),
            None => Err(invalid),
        }
    }

    fn invalid_content(&self) -> PacketError {
        PacketError::InvalidContent { offset: self.offset }
    }

    fn number(&self) -> Result<u64, PacketError> {
        let bytes = self.content.try_into().map_err(|_| self.invalid_content())?;
        Ok(u64::from_be_bytes(bytes))
    }

    /// Reads a number of seconds, and converts it to units of 2^-30 seconds.
    fn seconds(&self) -> Result<u64, PacketError> {
        self.number()?.checked_mul(1 << TIME_FRACTION_BITS).ok_or(self.invalid_content())
    }

    fn string(&self) -> Result<String, PacketError> {
        let (&last, text) = self.content.split_last().ok_or(self.invalid_content())?;
        if last != 0 || text.len() >= MAX_STRING_BYTES || text.contains(&0) {
            return Err(self.invalid_content());
        }
        let text = std::str::from_utf8(text).map_err(|_| self.invalid_content())?;
        Ok(text.to_owned())
    }

    fn values(&self) -> Result<Vec<MetricValue>, PacketError> {
        let count = read_u16(self.content, 0).ok_or(self.invalid_content())?;
        let count = usize::from(count);
        if count > MAX_VALUES || self.content.len() != VALUE_COUNT_BYTES + VALUE_BYTES * count {
            return Err(self.invalid_content());
        }
        let (types, numbers) = self.content[VALUE_COUNT_BYTES..].split_at(count);
        let (numbers, _) = numbers.as_chunks::<NUMBER_BYTES>();
        let mut values = Vec::with_capacity(count);
        for (&value_type, &number) in types.iter().zip(numbers) {
            values.push(read_value(value_type, number).ok_or(self.invalid_content())?);
        }
        Ok(values)
    }
}

fn read_value(value_type: u8, number: [u8; NUMBER_BYTES]) -> Option<MetricValue> {
    match value_type {
        value_type::COUNTER => Some(MetricValue::Counter(u64::from_be_bytes(number))),
        value_type::GAUGE => Some(MetricValue::Gauge(f64::from_le_bytes(number))),
        value_type::DERIVE => Some(MetricValue::Derive(i64::from_be_bytes(number))),
        value_type::ABSOLUTE => Some(MetricValue::Absolute(u64::from_be_bytes(number))),
        _ => None,
    }
}

fn read_u16(bytes: &[u8], offset: usize) -> Option<u16> {
    let bytes = bytes.get(offset..offset + 2)?;
    Some(u16::from_be_bytes(bytes.try_into().ok()?))
}
