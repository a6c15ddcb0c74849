//! A stream of reports as a receiver sees it: the last value of each series, and whether a count fell.
//!
//! For receivers in tests and tools; the courier itself has no use for it. Couriers may be hostile to a receiver:
//! what is kept is bounded.

use crate::counts::Field;
use crate::graphite;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A pickled list is no longer; a connection that announces a longer one makes no sense.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes of the length before a pickled list.
const FRAME_LENGTH_BYTES: usize = 4;
/// Series kept at most; beyond it new ones are passed over and counted.
const MAX_SERIES: usize = 1_000_000;
/// Descriptions of falls kept at most.
const MAX_FALLS: usize = 100;

/// What came in.
#[derive(Debug, Default)]
pub struct Stream {
    /// The last value of each series, and its time in seconds.
    pub last: BTreeMap<String, (u64, f64)>,
    /// Counts that fell, and times that went back, in words; the first hundred.
    pub fell: Vec<String>,
    /// Points.
    pub points: u64,
    /// Bytes.
    pub bytes: u64,
    /// Notifications of collectd: of what, severity, text.
    pub notices: Vec<(String, u64, String)>,
    /// Items that could not be read.
    pub bad: u64,
    /// Why the last one could not be read.
    pub last_bad: Option<String>,
    /// Points of series beyond the limit.
    pub beyond: u64,
}

/// Why an item of a stream could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// A frame announces more than a receiver accepts.
    #[error("a frame of {bytes} bytes")]
    FrameTooLong {
        /// The length that it announces.
        bytes: usize,
    },
    /// A frame holds something else than a pickled list of points.
    #[error("a frame that is no pickled list")]
    InvalidFrame,
    /// A line is not a point.
    #[error("a line that is no point: {line:.80}")]
    InvalidLine {
        /// The line.
        line: String,
    },
}

/// The next item of what a connection holds.
enum Item {
    /// Points, and how many bytes they took.
    Points(Vec<(String, f64, u64)>, usize),
    /// Something that could not be read, and how many bytes it took.
    Invalid(StreamError, usize),
    /// More bytes are needed.
    Incomplete,
    /// Nothing after this can be read.
    Nonsense(StreamError),
}

impl Stream {
    /// A point.
    pub fn point(&mut self, name: &str, value: f64, time: u64) {
        self.points += 1;
        if self.last.len() >= MAX_SERIES && !self.last.contains_key(name) {
            self.beyond += 1;
            return;
        }
        let Some((time_before, value_before)) = self.last.insert(name.to_owned(), (time, value)) else {
            return;
        };
        let goes_back = time < time_before;
        let falls = is_counter(name) && value < value_before;
        if (goes_back || falls) && self.fell.len() < MAX_FALLS {
            self.fell.push(format!("{name}: {value_before} at {time_before}, then {value} at {time}"));
        }
    }

    /// Something could not be read.
    pub fn bad(&mut self, reason: impl ToString) {
        self.bad += 1;
        self.last_bad = Some(reason.to_string());
    }

    /// The last value of a series.
    pub fn value(&self, name: &str) -> Option<f64> {
        self.last.get(name).map(|(_, value)| *value)
    }

    /// Takes complete lines and frames from what a connection holds, and shows each point; false when it makes no
    /// sense.
    pub fn take(&mut self, held: &mut Vec<u8>, mut each: impl FnMut(&str, f64, u64)) -> bool {
        let mut offset = 0;
        loop {
            match next_item(&held[offset..]) {
                Item::Points(points, length) => {
                    for (name, value, time) in points {
                        self.point(&name, value, time);
                        each(&name, value, time);
                    }
                    offset += length;
                }
                Item::Invalid(error, length) => {
                    self.bad(error);
                    offset += length;
                }
                Item::Incomplete => break,
                Item::Nonsense(error) => {
                    self.bad(error);
                    return false;
                }
            }
        }
        held.drain(..offset);
        held.len() <= MAX_FRAME_BYTES + FRAME_LENGTH_BYTES
    }
}

/// Whether the values of a series only grow: the last part of its name, before any tags, is a counted field.
fn is_counter(name: &str) -> bool {
    let path = name.split(';').next().unwrap_or(name);
    let metric = path.rsplit('.').next().unwrap_or(path);
    Field::from_name(metric).is_some()
}

/// A frame begins with its length, whose first byte is zero; a line does not.
fn next_item(bytes: &[u8]) -> Item {
    match bytes.first() {
        None => Item::Incomplete,
        Some(0) => next_frame(bytes),
        Some(_) => next_line(bytes),
    }
}

fn next_frame(bytes: &[u8]) -> Item {
    let Some((&length, rest)) = bytes.split_first_chunk::<FRAME_LENGTH_BYTES>() else {
        return Item::Incomplete;
    };
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Item::Nonsense(StreamError::FrameTooLong { bytes: length });
    }
    let Some(body) = rest.get(..length) else { return Item::Incomplete };
    let frame_bytes = FRAME_LENGTH_BYTES + length;
    match graphite::read_pickle(body) {
        Some(points) => Item::Points(points, frame_bytes),
        None => Item::Invalid(StreamError::InvalidFrame, frame_bytes),
    }
}

fn next_line(bytes: &[u8]) -> Item {
    let Some(length) = bytes.iter().position(|&byte| byte == b'\n') else { return Item::Incomplete };
    let line = String::from_utf8_lossy(&bytes[..length]);
    let line_bytes = length + 1;
    match graphite::read_line(&line) {
        Some((name, value, time)) => Item::Points(vec![(name.to_owned(), value, time)], line_bytes),
        None => Item::Invalid(StreamError::InvalidLine { line: line.into_owned() }, line_bytes),
    }
}
