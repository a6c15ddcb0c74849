//! Size limits, and the parser of decimal numbers in heads.

/// Maximum number of bytes of a head: the request or status line and the header fields.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields of a head.
pub const MAX_HEADER_FIELDS: usize = 64;
/// Maximum number of bytes of a body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum number of decimal digits of a number: 10^18 - 1 fits into 64 bits.
const MAX_DECIMAL_DIGITS: usize = 18;

/// Parses a number of 1 to 18 decimal digits. Returns `None` for anything else, such as a sign or a space.
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
