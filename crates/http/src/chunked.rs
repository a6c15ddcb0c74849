//! Decoding of chunked bodies (`Transfer-Encoding: chunked`).

/// Maximum number of bytes of a chunk's size line.
const MAX_SIZE_LINE_BYTES: usize = 64;
/// Maximum number of hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 8;
/// Number of bytes of the line end after a chunk's data.
const LINE_END_BYTES: usize = 2;

/// A body that is not validly chunked, or a size line that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the body does not come in chunks as it should")]
pub struct InvalidChunk;

/// Decodes a chunked body incrementally. It buffers at most one incomplete size line.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    undecoded: Vec<u8>,
    /// Number of bytes of the current chunk, including its line end, that are not decoded; `None` before a
    /// size line.
    chunk_remaining: Option<usize>,
    finished: bool,
}

impl ChunkedDecoder {
    /// Decodes received bytes and appends the body's bytes in them to `out`. Returns `true` once the body is
    /// complete.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<bool, InvalidChunk> {
        self.undecoded.extend_from_slice(bytes);
        let mut position = 0;
        while !self.finished {
            let consumed = match self.chunk_remaining {
                None => self.begin_chunk(position)?,
                Some(remaining) => self.copy_chunk(position, remaining, out),
            };
            if consumed == 0 {
                break;
            }
            position += consumed;
        }
        self.undecoded.drain(..position);
        Ok(self.finished)
    }

    /// Reads a size line and returns its length, or 0 while it is incomplete.
    fn begin_chunk(&mut self, position: usize) -> Result<usize, InvalidChunk> {
        let line = &self.undecoded[position..];
        let Some(line_end) = line.iter().position(|&byte| byte == b'\n') else {
            return if line.len() > MAX_SIZE_LINE_BYTES { Err(InvalidChunk) } else { Ok(0) };
        };
        let size = parse_size_line(&line[..line_end])?;
        self.finished = size == 0;
        self.chunk_remaining = Some(size + LINE_END_BYTES);
        Ok(line_end + 1)
    }

    /// Copies the available bytes of the current chunk and returns the number of bytes consumed.
    fn copy_chunk(&mut self, position: usize, remaining: usize, out: &mut Vec<u8>) -> usize {
        let consumed = remaining.min(self.undecoded.len() - position);
        let data = consumed.min(remaining.saturating_sub(LINE_END_BYTES));
        out.extend_from_slice(&self.undecoded[position..position + data]);
        self.chunk_remaining = if consumed < remaining { Some(remaining - consumed) } else { None };
        consumed
    }
}

/// Returns the size in a size line. Extensions after a semicolon are ignored.
fn parse_size_line(line: &[u8]) -> Result<usize, InvalidChunk> {
    let line = line.trim_ascii();
    let digits = line.split(|&byte| byte == b';').next().unwrap_or(line).trim_ascii();
    let digits = std::str::from_utf8(digits).map_err(|_| InvalidChunk)?;
    if digits.len() > MAX_SIZE_DIGITS || digits.starts_with('+') {
        return Err(InvalidChunk);
    }
    usize::from_str_radix(digits, 16).map_err(|_| InvalidChunk)
}
