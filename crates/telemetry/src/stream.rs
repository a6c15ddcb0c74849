//! A stream of reports as a receiver sees it: the last value of each series, and violations of monotonicity.
//!
//! Receivers in tests and tools use this module; the courier does not. The sender is not trusted, so this
//! module bounds the series, the recorded regressions and the length of a frame.

use crate::counts::Field;
use crate::graphite::{self, NamedPoint};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Maximum length of a pickled list in bytes. A connection that announces a longer one must be closed.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Size of the big-endian length before a pickled list.
const FRAME_LENGTH_BYTES: usize = 4;
/// Maximum number of stored series; points of further series are only counted.
const MAX_SERIES: usize = 1_000_000;
/// Maximum number of recorded regressions.
const MAX_REGRESSIONS: usize = 100;

/// Everything that a receiver received.
#[derive(Debug, Default)]
pub struct Stream {
    /// The last value of each series.
    pub series: BTreeMap<String, SeriesValue>,
    /// Descriptions of the points whose timestamp, or whose value in a series of counts, is less than that of
    /// the previous point of the series; only the first hundred.
    pub regressions: Vec<String>,
    /// Number of points received.
    pub points: u64,
    /// Number of bytes received; maintained by the receiver.
    pub bytes: u64,
    /// Notifications received in collectd's protocol; appended by the receiver.
    pub notifications: Vec<ReceivedNotification>,
    /// Number of items that could not be decoded.
    pub invalid_items: u64,
    /// Why the last invalid item could not be decoded; `None` if all items could be.
    pub last_error: Option<String>,
    /// Number of points that were not stored because of the maximum number of series.
    pub points_over_limit: u64,
}

/// The value of a series at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeriesValue {
    /// Timestamp of the point, in seconds since 1970.
    pub time_s: u64,
    /// The value.
    pub value: f64,
}

/// A notification received in collectd's protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedNotification {
    /// The plugin instance, which identifies the destination or independent route that changed state.
    pub subject: String,
    /// The severity, as defined by collectd's protocol.
    pub severity: u64,
    /// The text.
    pub text: String,
}

/// Why an item of a stream could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A frame announces more than a receiver accepts.
    #[error("a frame of {bytes} bytes is longer than {MAX_FRAME_BYTES} bytes")]
    FrameTooLong {
        /// The announced length of the pickled list in bytes.
        bytes: usize,
    },
    /// A frame does not hold a pickled list of points.
    #[error("a frame that is no pickled list")]
    InvalidFrame,
    /// A line is not a point of the plaintext format.
    #[error("not a plaintext point: {line:.80}")]
    InvalidLine {
        /// The line, with invalid UTF-8 replaced.
        line: String,
    },
}

/// The next item in the received bytes of a connection.
enum Item {
    /// Decoded points.
    Points {
        points: Vec<NamedPoint>,
        /// Length of the encoded item in bytes.
        bytes: usize,
    },
    /// An item that could not be decoded.
    Invalid {
        error: StreamError,
        /// Length in bytes of the encoded item, which is skipped.
        bytes: usize,
    },
    /// More bytes are needed.
    Incomplete,
    /// The end of the item is unknown, so nothing after its beginning can be decoded.
    Unreadable(StreamError),
}

impl Stream {
    /// Records a point, and a regression if its timestamp goes back or, for a counter, its value falls.
    pub fn record_point(&mut self, name: &str, value: f64, time_s: u64) {
        self.points += 1;
        if self.series.len() >= MAX_SERIES && !self.series.contains_key(name) {
            self.points_over_limit += 1;
            return;
        }
        let Some(before) = self.series.insert(name.to_owned(), SeriesValue { time_s, value }) else {
            return;
        };
        let goes_back = time_s < before.time_s;
        let falls = is_counter(name) && value < before.value;
        if (goes_back || falls) && self.regressions.len() < MAX_REGRESSIONS {
            let SeriesValue { time_s: time_before, value: value_before } = before;
            self.regressions
                .push(format!("{name}: {value_before} at {time_before}, then {value} at {time_s}"));
        }
    }

    /// Records an item that could not be decoded.
    pub fn record_invalid(&mut self, reason: impl ToString) {
        self.invalid_items += 1;
        self.last_error = Some(reason.to_string());
    }

    /// Returns the last value of a series, or `None` if there is no such series.
    pub fn value(&self, name: &str) -> Option<f64> {
        self.series.get(name).map(|last| last.value)
    }

    /// Removes complete lines and frames from the received bytes of a connection, records their points and
    /// passes each to `on_point`. Returns false if the connection must be closed, because nothing more can be
    /// decoded or an incomplete line is longer than any frame.
    #[must_use]
    pub fn consume(&mut self, received: &mut Vec<u8>, mut on_point: impl FnMut(&NamedPoint)) -> bool {
        let mut offset = 0;
        loop {
            match next_item(&received[offset..]) {
                Item::Points { points, bytes } => {
                    for point in points {
                        self.record_point(&point.name, point.value, point.time_s);
                        on_point(&point);
                    }
                    offset += bytes;
                }
                Item::Invalid { error, bytes } => {
                    self.record_invalid(error);
                    offset += bytes;
                }
                Item::Incomplete => break,
                Item::Unreadable(error) => {
                    self.record_invalid(error);
                    return false;
                }
            }
        }
        received.drain(..offset);
        received.len() <= MAX_FRAME_BYTES + FRAME_LENGTH_BYTES
    }
}

/// Whether a series is a counter: the last part of its name, before any tags, is the name of a [`Field`].
fn is_counter(name: &str) -> bool {
    let path = name.split(';').next().unwrap_or(name);
    let metric = path.rsplit('.').next().unwrap_or(path);
    Field::from_name(metric).is_some()
}

/// Decodes the first item. A frame begins with its big-endian length, whose first byte is zero because of
/// [`MAX_FRAME_BYTES`]; a line does not begin with a zero byte.
fn next_item(bytes: &[u8]) -> Item {
    match bytes.first() {
        None => Item::Incomplete,
        Some(0) => next_frame(bytes),
        Some(_) => next_line(bytes),
    }
}

fn next_frame(bytes: &[u8]) -> Item {
    let Some((&length, unread)) = bytes.split_first_chunk::<FRAME_LENGTH_BYTES>() else {
        return Item::Incomplete;
    };
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Item::Unreadable(StreamError::FrameTooLong { bytes: length });
    }
    let Some(body) = unread.get(..length) else { return Item::Incomplete };
    let bytes = FRAME_LENGTH_BYTES + length;
    match graphite::decode_pickle(body) {
        Some(points) => Item::Points { points, bytes },
        None => Item::Invalid { error: StreamError::InvalidFrame, bytes },
    }
}

fn next_line(bytes: &[u8]) -> Item {
    let Some(length) = bytes.iter().position(|&byte| byte == b'\n') else { return Item::Incomplete };
    let line = String::from_utf8_lossy(&bytes[..length]);
    let bytes = length + 1;
    match graphite::decode_line(&line) {
        Some(point) => Item::Points { points: vec![point], bytes },
        None => Item::Invalid { error: StreamError::InvalidLine { line: line.into_owned() }, bytes },
    }
}
