//! Decoding of the chunked transfer coding (`Transfer-Encoding: chunked`, RFC 9112, section 7.1).

/// Maximum number of bytes of an incomplete chunk size line, including extensions.
const MAX_SIZE_LINE_BYTES: usize = 64;
/// Maximum number of hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 8;
/// Number of bytes of the CRLF after a chunk's data.
const LINE_END_BYTES: usize = 2;

/// A malformed chunked body, or a chunk size line that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the chunked body is malformed, or has a chunk size line that is too long")]
pub struct InvalidChunk;

/// Decodes a chunked body incrementally. It buffers at most one incomplete size line.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    /// The last bytes received, which are not decoded yet: an incomplete size line.
    undecoded: Vec<u8>,
    /// Number of bytes of the current chunk, including its CRLF, that are not decoded; `None` before a size
    /// line.
    chunk_remaining: Option<usize>,
    /// The size line of the last chunk (size 0) is decoded.
    finished: bool,
}

impl ChunkedDecoder {
    /// Decodes received bytes and appends the data of the chunks to `out`. Returns `true` once the size line
    /// of the last chunk (size 0) has arrived; trailers are not read.
    ///
    /// # Errors
    ///
    /// If the body is malformed, or a chunk size line is too long.
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

    /// Reads the size line at `position` and notes how many bytes of the chunk follow it. Returns the length
    /// of the line with its line end, in bytes, or 0 while the line is incomplete.
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

    /// Appends the available data of the current chunk to `out`. Returns the number of bytes consumed,
    /// including those of the CRLF.
    fn copy_chunk(&mut self, position: usize, remaining: usize, out: &mut Vec<u8>) -> usize {
        let consumed = remaining.min(self.undecoded.len() - position);
        let data = consumed.min(remaining.saturating_sub(LINE_END_BYTES));
        out.extend_from_slice(&self.undecoded[position..position + data]);
        self.chunk_remaining = if consumed < remaining { Some(remaining - consumed) } else { None };
        consumed
    }
}

/// Returns the size in a size line, a hexadecimal number. Chunk extensions after a semicolon are ignored.
fn parse_size_line(line: &[u8]) -> Result<usize, InvalidChunk> {
    let line = line.trim_ascii();
    let digits = line.split(|&byte| byte == b';').next().unwrap_or(line).trim_ascii();
    let digits = std::str::from_utf8(digits).map_err(|_| InvalidChunk)?;
    if digits.len() > MAX_SIZE_DIGITS || digits.starts_with('+') {
        return Err(InvalidChunk);
    }
    usize::from_str_radix(digits, 16).map_err(|_| InvalidChunk)
}
