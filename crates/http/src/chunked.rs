//! Bodies that come in chunks (`Transfer-Encoding: chunked`).

/// Bytes of the longest line that says a chunk's size.
const MAX_SIZE_LINE_BYTES: usize = 64;
/// Hexadecimal digits of the largest chunk size.
const MAX_SIZE_DIGITS: usize = 8;
/// Bytes of the line end that follows a chunk's data.
const LINE_END_BYTES: usize = 2;

/// Bytes that are no chunks, or a chunk's size line that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body does not come in chunks as it should")]
pub struct InvalidChunk;

/// Decodes a chunked body as its bytes come. It keeps no more than the bytes of one unfinished size line.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    undecoded: Vec<u8>,
    /// Bytes of the current chunk that are still to come, with its line end; `None` before a size line.
    chunk_left: Option<usize>,
    finished: bool,
}

impl ChunkedDecoder {
    /// Adds bytes as they came, and appends the body's bytes in them to `out`. True once the body is complete.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<bool, InvalidChunk> {
        self.undecoded.extend_from_slice(bytes);
        let mut position = 0;
        while !self.finished {
            let consumed = match self.chunk_left {
                None => self.begin_chunk(position)?,
                Some(left) => self.copy_chunk(position, left, out),
            };
            if consumed == 0 {
                break;
            }
            position += consumed;
        }
        self.undecoded.drain(..position);
        Ok(self.finished)
    }

    /// Reads a size line; returns its bytes, 0 while it is incomplete.
    fn begin_chunk(&mut self, position: usize) -> Result<usize, InvalidChunk> {
        let rest = &self.undecoded[position..];
        let Some(line_end) = rest.iter().position(|&byte| byte == b'\n') else {
            return if rest.len() > MAX_SIZE_LINE_BYTES { Err(InvalidChunk) } else { Ok(0) };
        };
        let size = parse_size_line(&rest[..line_end])?;
        self.finished = size == 0;
        self.chunk_left = Some(size + LINE_END_BYTES);
        Ok(line_end + 1)
    }

    /// Copies what is there of the current chunk; returns the bytes consumed.
    fn copy_chunk(&mut self, position: usize, left: usize, out: &mut Vec<u8>) -> usize {
        let consumed = left.min(self.undecoded.len() - position);
        let data = consumed.min(left.saturating_sub(LINE_END_BYTES));
        out.extend_from_slice(&self.undecoded[position..position + data]);
        self.chunk_left = if consumed < left { Some(left - consumed) } else { None };
        consumed
    }
}

/// The size in a size line; extensions after a semicolon are ignored.
fn parse_size_line(line: &[u8]) -> Result<usize, InvalidChunk> {
    let line = line.trim_ascii();
    let digits = line.split(|&byte| byte == b';').next().unwrap_or(line).trim_ascii();
    let digits = std::str::from_utf8(digits).map_err(|_| InvalidChunk)?;
    if digits.len() > MAX_SIZE_DIGITS || digits.starts_with('+') {
        return Err(InvalidChunk);
    }
    usize::from_str_radix(digits, 16).map_err(|_| InvalidChunk)
}
