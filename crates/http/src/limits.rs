//! Bounds of what is read, and the one form that numbers are read in.

/// Bytes of a head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Fields of a head.
pub const MAX_HEADER_FIELDS: usize = 64;
/// Bytes of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Decimal digits of the longest number that is read; every such number fits into 64 bits.
const MAX_DECIMAL_DIGITS: usize = 18;

/// A whole number in decimal digits and nothing else; `None` also where it has more than 18 digits.
pub fn parse_decimal(value: &[u8]) -> Option<u64> {
    if value.is_empty() || value.len() > MAX_DECIMAL_DIGITS {
        return None;
    }
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let append_digit = |number: u64, digit: &u8| number * 10 + u64::from(digit - b'0');
    Some(value.iter().fold(0, append_digit))
}
