//! The header fields of a parsed head, as positions in its bytes.

use crate::parse_decimal;
use std::ops::Range;

/// Name of the field with the length of the body in bytes.
const CONTENT_LENGTH: &str = "content-length";
/// Name of the field with the transfer codings of the body, such as `chunked`.
const TRANSFER_ENCODING: &str = "transfer-encoding";
/// Name of the field with the connection options.
const CONNECTION: &str = "connection";
/// Value of [`CONNECTION`] by which the sender closes the connection after the message.
const CLOSE: &[u8] = b"close";

/// A `Content-Length` that is not one decimal number, or is given more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidContentLength;

#[derive(Clone, Debug, PartialEq, Eq)]
struct FieldRange {
    name: Range<usize>,
    value: Range<usize>,
}

/// Header fields in the order of the head, as positions in the bytes that the head was parsed from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fields(Vec<FieldRange>);

impl Fields {
    /// Returns the fields of a head that was parsed from these bytes.
    pub(crate) fn new(bytes: &[u8], headers: &[httparse::Header<'_>]) -> Fields {
        let range = |header: &httparse::Header<'_>| FieldRange {
            name: range_within(bytes, header.name.as_bytes()),
            value: range_within(bytes, header.value),
        };
        Fields(headers.iter().map(range).collect())
    }

    /// Returns the values of all fields of this name (in any case), without surrounding white space.
    pub(crate) fn values<'a>(
        &'a self,
        bytes: &'a [u8],
        name: &'static str,
    ) -> impl Iterator<Item = &'a [u8]> + 'a {
        let has_name = move |field: &&FieldRange| {
            let field_name = &bytes[field.name.clone()];
            field_name.eq_ignore_ascii_case(name.as_bytes())
        };
        self.0.iter().filter(has_name).map(|field| bytes[field.value.clone()].trim_ascii())
    }

    /// Returns the value of `Content-Length`, or `None` without the field. An invalid value is an error as
    /// soon as the head is complete, so that no reader waits for a body that never arrives.
    pub(crate) fn content_length(&self, bytes: &[u8]) -> Result<Option<u64>, InvalidContentLength> {
        let mut values = self.values(bytes, CONTENT_LENGTH);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(InvalidContentLength);
        }
        parse_decimal(value).map(Some).ok_or(InvalidContentLength)
    }

    pub(crate) fn has_transfer_encoding(&self, bytes: &[u8]) -> bool {
        self.values(bytes, TRANSFER_ENCODING).next().is_some()
    }

    /// Whether the sender closes the connection after this message.
    pub(crate) fn has_connection_close(&self, bytes: &[u8]) -> bool {
        self.values(bytes, CONNECTION).any(|value| value.eq_ignore_ascii_case(CLOSE))
    }
}

/// Returns the position of `part` in `bytes`, of which it must be a subslice.
pub(crate) fn range_within(bytes: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - bytes.as_ptr() as usize;
    start..start + part.len()
}
