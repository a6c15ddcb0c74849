//! Frames of the log of counts: the length and the CRC-32C of a body, 32 bits each with the least significant byte
//! first, and the body; and the variable-length numbers within it.

/// Bytes of a frame before its body.
pub(super) const HEADER_BYTES: usize = 8;
/// A longer body is taken for damage.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The low seven bits of a byte hold digits of a variable-length number; the eighth says that more follow.
const VARINT_DIGITS: u8 = 0x7f;
const VARINT_MORE: u8 = 0x80;

/// A body with its header.
pub(super) fn encode(body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(crc32c::crc32c(body).to_le_bytes());
    frame.extend(body);
    frame
}

/// The body of the frame at an offset; none if it is cut or damaged.
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

/// Appends a number, seven bits a byte, the least significant first.
pub(super) fn write_varint(out: &mut Vec<u8>, mut number: u64) {
    while number >= u64::from(VARINT_MORE) {
        out.push(number as u8 | VARINT_MORE);
        number >>= 7;
    }
    out.push(number as u8);
}

/// Takes a number off the front of a body; none if it is cut or too long.
pub(super) fn read_varint(body: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..u64::BITS).step_by(7) {
        let (&byte, rest) = body.split_first()?;
        *body = rest;
        number |= u64::from(byte & VARINT_DIGITS).checked_shl(shift)?;
        if byte < VARINT_MORE {
            return Some(number);
        }
    }
    None
}
