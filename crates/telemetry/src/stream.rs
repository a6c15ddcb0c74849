//! A stream of reports as a receiver sees it: the last value of each series, and whether a count fell.

use crate::counts::Field;
use crate::graphite;
use std::collections::BTreeMap;

/// A pickled list is no longer; a connection that says otherwise makes no sense.
const LONGEST: usize = 4 << 20;
/// Series kept at most; beyond it new ones are passed over and counted.
const MOST: usize = 1_000_000;

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
    /// What could not be read, and the last reason.
    pub bad: u64,
    /// The last reason.
    pub last_bad: Option<String>,
    /// Series passed over.
    pub beyond: u64,
}

impl Stream {
    /// A point.
    pub fn point(&mut self, name: &str, value: f64, at: u64) {
        self.points += 1;
        if self.last.len() >= MOST && !self.last.contains_key(name) {
            self.beyond += 1;
            return;
        }
        let field = name.split(';').next().and_then(|n| n.rsplit('.').next()).unwrap_or("");
        let count = Field::ALL.iter().any(|f| f.name() == field);
        if let Some((then, was)) = self.last.insert(name.to_owned(), (at, value)) {
            if (at < then || (count && value < was)) && self.fell.len() < 100 {
                self.fell.push(format!("{name}: {was} at {then}, then {value} at {at}"));
            }
        }
    }

    /// Something could not be read.
    pub fn bad(&mut self, why: impl ToString) {
        self.bad += 1;
        self.last_bad = Some(why.to_string());
    }

    /// The last value of a series.
    pub fn value(&self, name: &str) -> Option<f64> {
        self.last.get(name).map(|p| p.1)
    }

    /// Takes whole lines or frames from what a connection holds, and shows each point; false when it makes no
    /// sense. A frame begins with its length, whose first byte is zero; a line does not.
    pub fn take(&mut self, held: &mut Vec<u8>, mut each: impl FnMut(&str, f64, u64)) -> bool {
        let mut at = 0;
        while let Some(&first) = held.get(at) {
            if first == 0 {
                let Some(length) = held.get(at..at + 4).and_then(|l| l.try_into().ok()) else { break };
                let length = u32::from_be_bytes(length) as usize;
                if length > LONGEST {
                    self.bad(format!("a frame of {length} bytes"));
                    return false;
                }
                let Some(body) = held.get(at + 4..at + 4 + length) else { break };
                match graphite::read_pickle(body) {
                    Some(list) => list.iter().for_each(|(name, value, time)| {
                        self.point(name, *value, *time);
                        each(name, *value, *time);
                    }),
                    None => self.bad("a frame that is no pickled list"),
                }
                at += 4 + length;
            } else {
                let Some(end) = held[at..].iter().position(|&b| b == b'\n') else { break };
                let line = String::from_utf8_lossy(&held[at..at + end]).into_owned();
                match graphite::read_line(&line) {
                    Some((name, value, time)) => {
                        self.point(name, value, time);
                        each(name, value, time);
                    }
                    None => self.bad(format!("a line that is no point: {line:.80}")),
                }
                at += end + 1;
            }
        }
        held.drain(..at);
        held.len() <= LONGEST + 4
    }
}
