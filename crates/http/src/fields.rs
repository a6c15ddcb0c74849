//! Header fields of a head that was read, by place in its bytes.

use crate::parse_decimal;
use std::ops::Range;

/// Name of the field that says how long the body is.
const CONTENT_LENGTH: &str = "content-length";
/// Name of the field that says that the body has no known length.
const TRANSFER_ENCODING: &str = "transfer-encoding";
/// Name of the field that says whether the connection stays open.
const CONNECTION: &str = "connection";
/// Value of [`CONNECTION`] with which the sender closes after this message.
const CLOSE: &[u8] = b"close";

/// A `Content-Length` that is not one decimal number, or is given more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidContentLength;

#[derive(Clone, Debug, PartialEq, Eq)]
struct FieldRange {
    name: Range<usize>,
    value: Range<usize>,
}

/// Header fields in their order. They refer to the bytes that the head was read from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Fields(Vec<FieldRange>);

impl Fields {
    /// The fields of a head that was read from these bytes.
    pub(crate) fn new(bytes: &[u8], headers: &[httparse::Header<'_>]) -> Fields {
        let range = |header: &httparse::Header<'_>| FieldRange {
            name: range_within(bytes, header.name.as_bytes()),
            value: range_within(bytes, header.value),
        };
        Fields(headers.iter().map(range).collect())
    }

    /// The values of all fields of this name, without white space around them.
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

    /// The length of the body, if one is given. It is checked before the body is there, so that no reader
    /// waits for what a wrong length claims.
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

    /// Whether the sender says that it closes the connection after this message.
    pub(crate) fn has_connection_close(&self, bytes: &[u8]) -> bool {
        self.values(bytes, CONNECTION).any(|value| value.eq_ignore_ascii_case(CLOSE))
    }
}

/// Where a part of these bytes stands in them.
pub(crate) fn range_within(bytes: &[u8], part: &[u8]) -> Range<usize> {
    let start = part.as_ptr() as usize - bytes.as_ptr() as usize;
    start..start + part.len()
}
