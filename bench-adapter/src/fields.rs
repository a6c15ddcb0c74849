//! Sequential reader of little-endian fields.
//!
//! Each method consumes the bytes that it returns. If too few remain, it fails and consumes nothing.

use crate::error::RecordError;

/// Reads the fields of a record or of a header in order.
pub(crate) struct FieldReader<'a> {
    unread: &'a [u8],
}

impl<'a> FieldReader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        FieldReader { unread: bytes }
    }

    /// Returns the number of bytes that are not read yet.
    pub(crate) fn remaining(&self) -> usize {
        self.unread.len()
    }

    /// Whether all bytes have been read.
    pub(crate) fn is_empty(&self) -> bool {
        self.unread.is_empty()
    }

    /// Reads the next `count` bytes.
    pub(crate) fn bytes(&mut self, count: usize) -> Result<&'a [u8], RecordError> {
        let too_short = RecordError::TooShort { expected: count, remaining: self.remaining() };
        let (bytes, unread) = self.unread.split_at_checked(count).ok_or(too_short)?;
        self.unread = unread;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], RecordError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, RecordError> {
        Ok(u8::from_le_bytes(self.array()?))
    }

    pub(crate) fn u16(&mut self) -> Result<u16, RecordError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub(crate) fn u32(&mut self) -> Result<u32, RecordError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub(crate) fn u64(&mut self) -> Result<u64, RecordError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub(crate) fn f32(&mut self) -> Result<f32, RecordError> {
        Ok(f32::from_le_bytes(self.array()?))
    }
}
