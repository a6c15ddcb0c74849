//! Header fields of a request that cannot be framed, or not yet: its head is incomplete, malformed or too long.
//!
//! Nothing that is found here may be acted on as a request. It only tells what a refused request names.

use crate::MAX_HEADER_FIELDS;

/// Iterates over the values of the header fields with this name in the first head of these bytes, without the white
/// space around them. Only lines that are complete are read, and at most [`MAX_HEADER_FIELDS`] values are returned.
pub fn unframed_values<'a>(bytes: &'a [u8], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    let complete = bytes.split_inclusive(|&byte| byte == b'\n').filter_map(|line| line.strip_suffix(b"\n"));
    let after_request_line = complete.map(<[u8]>::trim_ascii).skip(1);
    let head = after_request_line.take_while(|line| !line.is_empty());
    head.filter_map(move |line| value_of(line, name)).take(MAX_HEADER_FIELDS)
}

/// Returns the value of a header line if the line has this field name.
fn value_of<'a>(line: &'a [u8], name: &str) -> Option<&'a [u8]> {
    let colon = line.iter().position(|&byte| byte == b':')?;
    let (field_name, value) = (&line[..colon], &line[colon + 1..]);
    field_name.trim_ascii().eq_ignore_ascii_case(name.as_bytes()).then(|| value.trim_ascii())
}
