//! Walks over a message's bytes that check every length and count against what is there, without allocating.
//!
//! The decoder reserves room for as many elements as a count claims; these walks make sure that each claimed
//! element has at least one byte behind it.

use crate::codes::Malformed;

type Walk = Result<(), Malformed>;

/// A cursor over bytes.
pub struct Cursor<'a> {
    rest: &'a [u8],
    flexible: bool,
}

impl<'a> Cursor<'a> {
    /// At the start of these bytes; `flexible` versions have compact lengths and tagged fields.
    pub fn new(rest: &'a [u8], flexible: bool) -> Self {
        Cursor { rest, flexible }
    }

    /// Bytes that are left.
    pub fn left(&self) -> usize {
        self.rest.len()
    }

    /// The next `n` bytes.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let (now, rest) = self.rest.split_at_checked(n).ok_or(Malformed("length"))?;
        self.rest = rest;
        Ok(now)
    }

    /// The next `N` bytes as an array.
    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut a = [0; N];
        a.copy_from_slice(self.take(N)?);
        Ok(a)
    }

    /// A variable-length unsigned number of at most 32 bits.
    pub fn uvarint(&mut self) -> Result<u32, Malformed> {
        let long = self.uvarlong()?;
        u32::try_from(long).map_err(|_| Malformed("varint"))
    }

    fn uvarlong(&mut self) -> Result<u64, Malformed> {
        let mut value = 0u64;
        for shift in (0..64).step_by(7) {
            let byte = self.array::<1>()?[0];
            value |= u64::from(byte & 0x7f) << shift;
            if byte & 0x80 == 0 {
                return Ok(value);
            }
        }
        Err(Malformed("varint"))
    }

    /// A zigzag number of at most 64 bits.
    pub fn varlong(&mut self) -> Result<i64, Malformed> {
        let raw = self.uvarlong()?;
        Ok((raw >> 1) as i64 ^ -((raw & 1) as i64))
    }

    /// A zigzag length; -1 stands for nothing.
    fn zigzag_length(&mut self) -> Result<Option<usize>, Malformed> {
        match self.varlong()? {
            -1 => Ok(None),
            n => usize::try_from(n).map(Some).map_err(|_| Malformed("length")),
        }
    }

    /// A string, or bytes, that may be null; `wide` ones have a 4-byte length outside flexible versions.
    fn blob(&mut self, wide: bool) -> Result<&'a [u8], Malformed> {
        let n = if self.flexible {
            i64::from(self.uvarint()?) - 1
        } else if wide {
            i64::from(i32::from_be_bytes(self.array()?))
        } else {
            i64::from(i16::from_be_bytes(self.array()?))
        };
        match n {
            -1 => Ok(&[]),
            n => self.take(usize::try_from(n).map_err(|_| Malformed("length"))?),
        }
    }

    fn string(&mut self) -> Walk {
        self.blob(false).map(drop)
    }

    /// An array whose elements `each` walks over; null counts as empty.
    fn list(&mut self, mut each: impl FnMut(&mut Self) -> Walk) -> Walk {
        let n = if self.flexible {
            i64::from(self.uvarint()?) - 1
        } else {
            i64::from(i32::from_be_bytes(self.array()?))
        };
        let n = if n == -1 { 0 } else { usize::try_from(n).map_err(|_| Malformed("count"))? };
        if n > self.left() {
            return Err(Malformed("count"));
        }
        (0..n).try_for_each(|_| each(self))
    }

    fn tags(&mut self) -> Walk {
        if !self.flexible {
            return Ok(());
        }
        let n = self.uvarint()? as usize;
        if n > self.left() {
            return Err(Malformed("tag count"));
        }
        (0..n).try_for_each(|_| {
            self.uvarint()?;
            let size = self.uvarint()? as usize;
            self.take(size).map(drop)
        })
    }

    fn end(&self) -> Walk {
        if self.rest.is_empty() {
            Ok(())
        } else {
            Err(Malformed("end: bytes are left over"))
        }
    }
}

/// Body of a Produce request, versions 3 to 12.
pub fn produce_request(body: &[u8], version: i16) -> Walk {
    let mut c = Cursor::new(body, version >= 9);
    c.string()?;
    c.take(2 + 4)?;
    c.list(|c| {
        c.string()?;
        c.list(|c| {
            c.take(4)?;
            c.blob(true)?;
            c.tags()
        })?;
        c.tags()
    })?;
    c.tags()?;
    c.end()
}

/// Body of a Metadata request, versions 0 to 12.
pub fn metadata_request(body: &[u8], version: i16) -> Walk {
    let mut c = Cursor::new(body, version >= 9);
    c.list(|c| {
        if version >= 10 {
            c.take(16)?;
        }
        c.string()?;
        c.tags()
    })?;
    let flags = match version {
        ..=3 => 0,
        4..=7 => 1,
        8..=10 => 3,
        _ => 2,
    };
    c.take(flags)?;
    c.tags()?;
    c.end()
}

/// Body of a Fetch request, version 4.
pub fn fetch_request(body: &[u8]) -> Walk {
    let mut c = Cursor::new(body, false);
    c.take(4 * 4 + 1)?;
    c.list(|c| {
        c.string()?;
        c.list(|c| c.take(4 + 8 + 4).map(drop))
    })?;
    c.end()
}

/// Body of an ApiVersions request.
pub fn api_versions_request(body: &[u8], version: i16) -> Walk {
    let mut c = Cursor::new(body, version >= 3);
    if version >= 3 {
        c.string()?;
        c.string()?;
    }
    c.tags()?;
    c.end()
}

/// Body of a Produce response, versions 3 to 12.
pub fn produce_response(body: &[u8], version: i16) -> Walk {
    let mut c = Cursor::new(body, version >= 9);
    c.list(|c| {
        c.string()?;
        c.list(|c| {
            c.take(4 + 2 + 8 + 8)?;
            if version >= 5 {
                c.take(8)?;
            }
            if version >= 8 {
                c.list(|c| {
                    c.take(4)?;
                    c.string()?;
                    c.tags()
                })?;
                c.string()?;
            }
            c.tags()
        })?;
        c.tags()
    })?;
    c.take(4)?;
    c.tags()?;
    c.end()
}

/// Body of a Metadata response, versions 0 to 12.
pub fn metadata_response(body: &[u8], version: i16) -> Walk {
    let mut c = Cursor::new(body, version >= 9);
    if version >= 3 {
        c.take(4)?;
    }
    c.list(|c| {
        c.take(4)?;
        c.string()?;
        c.take(4)?;
        if version >= 1 {
            c.string()?;
        }
        c.tags()
    })?;
    if version >= 2 {
        c.string()?;
    }
    if version >= 1 {
        c.take(4)?;
    }
    c.list(|c| {
        c.take(2)?;
        c.string()?;
        if version >= 10 {
            c.take(16)?;
        }
        if version >= 1 {
            c.take(1)?;
        }
        c.list(|c| {
            c.take(2 + 4 + 4)?;
            if version >= 7 {
                c.take(4)?;
            }
            let node = |c: &mut Cursor| c.take(4).map(drop);
            c.list(node)?;
            c.list(node)?;
            if version >= 5 {
                c.list(node)?;
            }
            c.tags()
        })?;
        if version >= 8 {
            c.take(4)?;
        }
        c.tags()
    })?;
    if (8..=10).contains(&version) {
        c.take(4)?;
    }
    c.tags()?;
    c.end()
}

/// What a batch of records is, as far as its head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHead {
    /// Bytes of the whole batch.
    pub size: usize,
    /// Its format.
    pub magic: u8,
    /// The codec of its records, 0 for none.
    pub codec: u8,
    /// It belongs to a transaction, or is a control batch.
    pub transactional: bool,
    /// Records that it claims.
    pub records: usize,
}

/// Head of the batch that these bytes begin with, and a walk over its records if they are not compressed.
pub fn batch(bytes: &[u8]) -> Result<BatchHead, Malformed> {
    let mut c = Cursor::new(bytes, false);
    let base = i64::from_be_bytes(c.array()?);
    let length = i32::from_be_bytes(c.array()?);
    let length = usize::try_from(length).map_err(|_| Malformed("batch length"))?;
    let mut c = Cursor::new(c.take(length)?, false);
    c.take(4)?;
    let magic = c.array::<1>()?[0];
    let size = 12 + length;
    if magic != 2 {
        return Ok(BatchHead { size, magic, codec: 0, transactional: false, records: 0 });
    }
    c.take(4)?;
    let attributes = i16::from_be_bytes(c.array()?);
    c.take(4)?;
    let first = i64::from_be_bytes(c.array()?);
    c.take(8 + 8 + 2 + 4)?;
    let records = i32::from_be_bytes(c.array()?);
    let records = usize::try_from(records).map_err(|_| Malformed("record count"))?;
    let head = BatchHead {
        size,
        magic,
        codec: (attributes & 7) as u8,
        transactional: attributes & 0x30 != 0,
        records,
    };
    if head.codec != 0 {
        return Ok(head);
    }
    if records > c.left() {
        return Err(Malformed("record count"));
    }
    for _ in 0..records {
        let size = c.zigzag_length()?.ok_or(Malformed("record length"))?;
        let mut r = Cursor::new(c.take(size)?, false);
        r.take(1)?;
        first.checked_add(r.varlong()?).ok_or(Malformed("timestamp"))?;
        let offset = i32::try_from(r.varlong()?).map_err(|_| Malformed("offset"))?;
        base.checked_add(i64::from(offset)).ok_or(Malformed("offset"))?;
        for _ in 0..2 {
            if let Some(n) = r.zigzag_length()? {
                r.take(n)?;
            }
        }
        let headers = r.zigzag_length()?.ok_or(Malformed("header count"))?;
        if headers > r.left() {
            return Err(Malformed("header count"));
        }
        for _ in 0..headers {
            let n = r.zigzag_length()?.ok_or(Malformed("header name"))?;
            r.take(n)?;
            if let Some(n) = r.zigzag_length()? {
                r.take(n)?;
            }
        }
        r.end()?;
    }
    c.end()?;
    Ok(head)
}
