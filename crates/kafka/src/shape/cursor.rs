//! A cursor that walks over the bytes of a message.

use super::Walk;
use crate::codes::Malformed;

/// Number of value bits in each byte of a variable-length number.
const VARINT_BITS_PER_BYTE: usize = 7;
/// Flag of every byte of a variable-length number except the last.
const VARINT_CONTINUES: u8 = 0x80;
/// Maximum number of entries in an array of a request.
const MAX_REQUEST_ENTRIES: usize = 16_384;
/// Maximum number of tagged fields in one place.
pub(crate) const MAX_TAGS: u32 = 1024;
/// The length or count that encodes null.
const NULL: i64 = -1;

/// Width of the length field of strings and bytes in versions that are not flexible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LengthWidth {
    /// 2 bytes, used by strings.
    Short,
    /// 4 bytes, used by bytes and records.
    Long,
}

/// A cursor over the bytes of a message. Each method checks the next field and moves past it.
pub struct Cursor<'a> {
    unread: &'a [u8],
    /// Whether the version has compact lengths and tagged fields.
    flexible: bool,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor over bytes with lengths of fixed width and without tagged fields.
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { unread: bytes, flexible: false }
    }

    /// Creates a cursor over bytes with compact lengths and tagged fields.
    pub fn flexible(bytes: &'a [u8]) -> Self {
        Cursor { unread: bytes, flexible: true }
    }

    /// Creates a cursor over the body of a message in this version of an API, whose versions are flexible
    /// from `flexible_since` on.
    pub(super) fn of_version(body: &'a [u8], version: i16, flexible_since: i16) -> Self {
        Cursor { unread: body, flexible: version >= flexible_since }
    }

    /// Number of unread bytes.
    pub fn remaining(&self) -> usize {
        self.unread.len()
    }

    /// Reads the next `count` bytes. Fails if fewer remain.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        let (bytes, unread) = self.unread.split_at_checked(count).ok_or(Malformed("length"))?;
        self.unread = unread;
        Ok(bytes)
    }

    /// Reads the next `N` bytes as an array. Fails if fewer remain.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// Reads a number of 2 bytes.
    pub(crate) fn i16(&mut self) -> Result<i16, Malformed> {
        Ok(i16::from_be_bytes(self.array()?))
    }

    /// Reads a number of 4 bytes.
    pub(crate) fn i32(&mut self) -> Result<i32, Malformed> {
        Ok(i32::from_be_bytes(self.array()?))
    }

    /// Reads a number of 8 bytes.
    pub(crate) fn i64(&mut self) -> Result<i64, Malformed> {
        Ok(i64::from_be_bytes(self.array()?))
    }

    /// Reads a variable-length unsigned number (LEB128) of at most 32 bits.
    pub fn uvarint(&mut self) -> Result<u32, Malformed> {
        let long = self.uvarlong()?;
        u32::try_from(long).map_err(|_| Malformed("varint"))
    }

    /// Reads a variable-length unsigned number (LEB128) of at most 64 bits.
    fn uvarlong(&mut self) -> Result<u64, Malformed> {
        let mut value = 0u64;
        for shift in (0..u64::BITS).step_by(VARINT_BITS_PER_BYTE) {
            let [byte] = self.array()?;
            value |= u64::from(byte & !VARINT_CONTINUES) << shift;
            if byte & VARINT_CONTINUES == 0 {
                return Ok(value);
            }
        }
        Err(Malformed("varint"))
    }

    /// Reads a zigzag-encoded signed number of at most 64 bits.
    pub fn varlong(&mut self) -> Result<i64, Malformed> {
        let raw = self.uvarlong()?;
        let magnitude = (raw >> 1) as i64;
        let sign = (raw & 1) as i64;
        Ok(magnitude ^ -sign)
    }

    /// Reads a zigzag-encoded length; `None` for null.
    pub(super) fn zigzag_length(&mut self) -> Result<Option<usize>, Malformed> {
        match self.varlong()? {
            NULL => Ok(None),
            length => usize::try_from(length).map(Some).map_err(|_| Malformed("length")),
        }
    }

    /// Reads bytes with a zigzag-encoded length that must not be null; `name` names the field in errors.
    pub(super) fn zigzag_bytes(&mut self, name: &'static str) -> Result<&'a [u8], Malformed> {
        let length = self.zigzag_length()?.ok_or(Malformed(name))?;
        self.take(length)
    }

    /// Skips bytes with a zigzag-encoded length that may be null.
    pub(super) fn nullable_zigzag_bytes(&mut self) -> Walk {
        if let Some(length) = self.zigzag_length()? {
            self.take(length)?;
        }
        Ok(())
    }

    /// Reads a compact length or count of a flexible version; [`NULL`] for null.
    fn compact_length(&mut self) -> Result<i64, Malformed> {
        Ok(i64::from(self.uvarint()?) - 1)
    }

    /// Skips a string or bytes that may be null. `width` applies to versions that are not flexible.
    pub(super) fn nullable_bytes(&mut self, width: LengthWidth) -> Walk {
        let length = match width {
            _ if self.flexible => self.compact_length()?,
            LengthWidth::Short => i64::from(self.i16()?),
            LengthWidth::Long => i64::from(self.i32()?),
        };
        if length == NULL {
            return Ok(());
        }
        let length = usize::try_from(length).map_err(|_| Malformed("length"))?;
        self.take(length).map(drop)
    }

    /// Skips a string that may be null.
    pub(super) fn string(&mut self) -> Walk {
        self.nullable_bytes(LengthWidth::Short)
    }

    /// Skips an array, calling `walk_element` for each element; null counts as empty.
    pub(super) fn list(&mut self, mut walk_element: impl FnMut(&mut Self) -> Walk) -> Walk {
        let count = if self.flexible { self.compact_length()? } else { i64::from(self.i32()?) };
        if count == NULL {
            return Ok(());
        }
        let count = usize::try_from(count).map_err(|_| Malformed("count"))?;
        if count > self.remaining() {
            return Err(Malformed("count"));
        }
        for _ in 0..count {
            walk_element(self)?;
        }
        Ok(())
    }

    /// Like [`Cursor::list`], for an array of a request: one of more than [`MAX_REQUEST_ENTRIES`] is an error, because
    /// decoded entries take many times the memory of their bytes.
    pub(super) fn request_list(&mut self, mut walk_element: impl FnMut(&mut Self) -> Walk) -> Walk {
        let mut count = 0;
        self.list(|cursor| {
            count += 1;
            if count > MAX_REQUEST_ENTRIES {
                return Err(Malformed("count, it is too large"));
            }
            walk_element(cursor)
        })
    }

    /// Skips the tagged fields of a flexible version; other versions have none.
    pub(super) fn tags(&mut self) -> Walk {
        if !self.flexible {
            return Ok(());
        }
        let count = self.uvarint()?;
        if count as usize > self.remaining() || count > MAX_TAGS {
            return Err(Malformed("tag count"));
        }
        self.tagged_fields(count)
    }

    /// Skips `count` tagged fields.
    pub(crate) fn tagged_fields(&mut self, count: u32) -> Walk {
        for _ in 0..count {
            let _tag = self.uvarint()?;
            let size = self.uvarint()? as usize;
            self.take(size)?;
        }
        Ok(())
    }

    /// Checks that there are no trailing bytes.
    pub(super) fn end(&self) -> Walk {
        if self.unread.is_empty() {
            Ok(())
        } else {
            Err(Malformed("message: trailing bytes"))
        }
    }
}
