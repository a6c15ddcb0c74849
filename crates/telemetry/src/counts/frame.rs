//! Framing of the counter log, and the variable-length numbers within a frame (unsigned LEB128).
//!
//! A frame is the length of its body in bytes and the CRC-32C of its body, both as little-endian `u32`, and
//! then the body.

/// Size of the length and the checksum before a body.
pub(super) const HEADER_BYTES: usize = 8;
/// Maximum length of a body in bytes; a longer one is treated as damage.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Number of value bits in each byte of a LEB128 number.
const VARINT_BITS_PER_BYTE: usize = 7;
/// The value bits of a byte of a LEB128 number.
const VARINT_VALUE_MASK: u8 = 0x7f;
/// Continuation bit, set in every byte of a LEB128 number except the last.
const VARINT_CONTINUES: u8 = 0x80;

/// Encodes a body as a frame.
pub(super) fn encode(body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(crc32c::crc32c(body).to_le_bytes());
    frame.extend(body);
    frame
}

/// Returns the body of the frame at this byte offset, or `None` if the frame is truncated or damaged.
pub(super) fn decode(log: &[u8], offset: usize) -> Option<&[u8]> {
    let length = read_u32(log, offset)? as usize;
    let checksum = read_u32(log, offset + 4)?;
    if length > MAX_BODY_BYTES {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let body = log.get(start..start + length)?;
    (crc32c::crc32c(body) == checksum).then_some(body)
}

fn read_u32(log: &[u8], offset: usize) -> Option<u32> {
    let bytes = log.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

/// Appends a number in LEB128.
pub(super) fn write_varint(out: &mut Vec<u8>, mut number: u64) {
    while number >= u64::from(VARINT_CONTINUES) {
        out.push(number as u8 | VARINT_CONTINUES);
        number >>= VARINT_BITS_PER_BYTE;
    }
    out.push(number as u8);
}

/// Removes a LEB128 number from the front of a body; `None` if it is truncated or longer than 64 bits need.
pub(super) fn read_varint(body: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..u64::BITS).step_by(VARINT_BITS_PER_BYTE) {
        let (&byte, unread) = body.split_first()?;
        *body = unread;
        number |= u64::from(byte & VARINT_VALUE_MASK).checked_shl(shift)?;
        if byte < VARINT_CONTINUES {
            return Some(number);
        }
    }
    None
}
