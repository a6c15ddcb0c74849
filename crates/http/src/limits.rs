//! Size limits, and the only accepted form of numbers.

/// Maximum number of bytes of a head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields of a head.
pub const MAX_HEADER_FIELDS: usize = 64;
/// Maximum number of bytes of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum number of decimal digits; every such number fits into 64 bits.
const MAX_DECIMAL_DIGITS: usize = 18;

/// Reads a number that consists of decimal digits only. Returns `None` for anything else and for more than 18
/// digits.
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
