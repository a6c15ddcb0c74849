//! Counts that only grow, over restarts too: what happened to messages and attempts, for each destination and
//! class and for each route apart.
//!
//! The counts live in memory. Each change is also put into a frame for a log, so that a process that dies loses
//! none that it had told anyone of; from time to time all of them go into a snapshot, after which a new log begins.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Field {
    /// Messages taken.
    Taken,
    /// Served within the aim.
    InAim,
    /// Served after it.
    Late,
    /// Handed back after they were taken.
    Refused,
    /// Failed.
    Failed,
    /// The client went away.
    Withdrawn,
    /// Turned away unseen.
    TurnedAway,
    /// Attempts begun.
    Attempts,
    /// Of these, while another was out.
    Copies,
    /// Attempts served.
    Served,
    /// Attempts called off.
    Cancelled,
    /// Attempts refused above the limit.
    Full,
    /// Of these, with a wait told.
    ToldWaits,
    /// Attempts answered with an error.
    Errors,
    /// Attempts without an answer in time.
    TimedOut,
    /// Attempts whose connection broke.
    Resets,
    /// Attempts that got no connection, or were not sent.
    NotSent,
    /// Worth of messages taken, in thousandths.
    WorthAsked,
    /// Worth served within the aim, in thousandths.
    WorthInAim,
    /// Worth served after it, in thousandths.
    WorthLate,
    /// Worth not served, in thousandths.
    WorthLost,
    /// Points of reports dropped because a receiver did not take them.
    PointsDropped,
    /// Points that came a report later because of the bound of one.
    PointsPutOff,
    /// Connections to a receiver that failed or broke.
    OutletFailures,
    /// Packets taken in from the host's collectd that were turned down.
    PacketsBad,
}

/// How many fields there are.
pub const FIELDS: usize = 25;

impl Field {
    /// All of them, in order.
    pub const ALL: [Field; FIELDS] = [
        Field::Taken,
        Field::InAim,
        Field::Late,
        Field::Refused,
        Field::Failed,
        Field::Withdrawn,
        Field::TurnedAway,
        Field::Attempts,
        Field::Copies,
        Field::Served,
        Field::Cancelled,
        Field::Full,
        Field::ToldWaits,
        Field::Errors,
        Field::TimedOut,
        Field::Resets,
        Field::NotSent,
        Field::WorthAsked,
        Field::WorthInAim,
        Field::WorthLate,
        Field::WorthLost,
        Field::PointsDropped,
        Field::PointsPutOff,
        Field::OutletFailures,
        Field::PacketsBad,
    ];

    /// Its name in series.
    pub fn name(self) -> &'static str {
        match self {
            Field::Taken => "taken",
            Field::InAim => "in_aim",
            Field::Late => "late",
            Field::Refused => "refused",
            Field::Failed => "failed",
            Field::Withdrawn => "withdrawn",
            Field::TurnedAway => "turned_away",
            Field::Attempts => "attempts",
            Field::Copies => "copies",
            Field::Served => "served",
            Field::Cancelled => "cancelled",
            Field::Full => "full",
            Field::ToldWaits => "told_waits",
            Field::Errors => "errors",
            Field::TimedOut => "timed_out",
            Field::Resets => "resets",
            Field::NotSent => "not_sent",
            Field::WorthAsked => "worth_asked_milli",
            Field::WorthInAim => "worth_in_aim_milli",
            Field::WorthLate => "worth_late_milli",
            Field::WorthLost => "worth_lost_milli",
            Field::PointsDropped => "points_dropped",
            Field::PointsPutOff => "points_put_off",
            Field::OutletFailures => "outlet_failures",
            Field::PacketsBad => "packets_bad",
        }
    }

    fn from_u64(n: u64) -> Option<Field> {
        Field::ALL.get(usize::try_from(n).ok()?).copied()
    }
}

/// The counts of one cell, by field.
pub type Counts = [u64; FIELDS];

/// What a cell of counts is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CounterKey {
    /// Messages and attempts of a destination and a class, by its number in the settings.
    Cell(u32, u8),
    /// Attempts over a route apart, by its endpoint.
    Route(u32),
    /// The reporting itself.
    Reports,
}

/// All counts.
#[derive(Clone, Debug, Default)]
pub struct CounterStore {
    classes: Vec<String>,
    cells: BTreeMap<CounterKey, Counts>,
    /// Counts of classes that the settings no longer have: they come back with the class.
    other: BTreeMap<(u32, String), Counts>,
    changed: BTreeMap<CounterKey, Counts>,
    most: usize,
    beyond: u64,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct SavedCell {
    destination: Option<u32>,
    class: Option<String>,
    route: Option<u32>,
    counts: BTreeMap<String, u64>,
}

/// All counts as they are saved.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Saved {
    cells: Vec<SavedCell>,
    /// Names of series and whose they are.
    pub names: BTreeMap<String, u32>,
    /// The last time that a series was stamped with, in seconds since 1970.
    pub stamp: u64,
}

/// A frame of the log.
#[derive(Debug, Serialize, Deserialize)]
pub enum CounterLogEntry {
    /// The classes that numbers in the frames after it mean.
    Classes(Vec<String>),
    /// A name of series now belongs to a destination.
    Name(String, u32),
    /// Series were stamped up to then.
    Stamp(u64),
}

const DELTAS: u8 = 1;
const MARK: u8 = 2;
/// A frame's length and checksum.
const HEAD: usize = 8;
/// No frame is longer.
const FRAME: usize = 16 << 20;

impl CounterStore {
    /// Counts of a courier with these classes, going on from what was saved; at most so many cells.
    pub fn new(classes: Vec<String>, most: usize) -> CounterStore {
        CounterStore { classes, most, ..CounterStore::default() }
    }

    /// Adds to a count; true if there is a place for it. Cells beyond the bound are counted together, see
    /// [`Book::beyond`].
    pub fn add(&mut self, of: CounterKey, field: Field, by: u64) -> bool {
        if by == 0 {
            return false;
        }
        if self.cells.len() >= self.most && of != CounterKey::Reports && !self.cells.contains_key(&of) {
            self.beyond += by;
            return false;
        }
        self.cells.entry(of).or_insert([0; FIELDS])[field as usize] += by;
        self.changed.entry(of).or_insert([0; FIELDS])[field as usize] += by;
        true
    }

    /// What was counted for cells beyond the bound, all together and since the start.
    pub fn beyond(&self) -> u64 {
        self.beyond
    }

    /// All cells.
    pub fn cells(&self) -> &BTreeMap<CounterKey, Counts> {
        &self.cells
    }

    /// Cells that changed since the last frame.
    pub fn changed(&self) -> impl Iterator<Item = CounterKey> + '_ {
        self.changed.keys().copied()
    }

    /// The changes since the last frame, as a frame for the log.
    pub fn frame(&mut self) -> Option<Vec<u8>> {
        if self.changed.is_empty() {
            return None;
        }
        let mut body = vec![DELTAS];
        for (&of, counts) in &self.changed {
            let (kind, number, class) = match of {
                CounterKey::Cell(dest, class) => (0, dest, class),
                CounterKey::Route(endpoint) => (1, endpoint, 0),
                CounterKey::Reports => (2, 0, 0),
            };
            for field in Field::ALL.into_iter().filter(|f| counts[*f as usize] > 0) {
                body.push(kind << 6 | field as u8);
                varint(&mut body, u64::from(number));
                varint(&mut body, u64::from(class));
                varint(&mut body, counts[field as usize]);
            }
        }
        self.changed.clear();
        Some(framed(&body))
    }

    /// All of it, to be saved.
    pub fn saved(&self, names: &BTreeMap<String, u32>, stamp: u64) -> Saved {
        let named = |counts: &Counts| {
            let all = Field::ALL.iter().map(|f| (f.name().to_owned(), counts[*f as usize]));
            all.filter(|c| c.1 > 0).collect()
        };
        let cell = |(of, counts): (&CounterKey, &Counts)| match *of {
            CounterKey::Cell(dest, class) => SavedCell {
                destination: Some(dest),
                class: self.classes.get(usize::from(class)).cloned(),
                route: None,
                counts: named(counts),
            },
            CounterKey::Route(route) => {
                SavedCell { destination: None, class: None, route: Some(route), counts: named(counts) }
            }
            CounterKey::Reports => {
                SavedCell { destination: None, class: None, route: None, counts: named(counts) }
            }
        };
        let other = self.other.iter().map(|((dest, class), counts)| SavedCell {
            destination: Some(*dest),
            class: Some(class.clone()),
            route: None,
            counts: named(counts),
        });
        let cells = self.cells.iter().map(cell).chain(other).collect();
        Saved { cells, names: names.clone(), stamp }
    }

    fn put(&mut self, dest: Option<u32>, class: Option<&str>, route: Option<u32>, field: Field, by: u64) {
        let number = |class: &str| self.classes.iter().position(|c| c == class).map(|n| n as u8);
        let counts = match (dest, class, route) {
            (Some(dest), Some(class), None) => match number(class) {
                Some(n) => self.cells.entry(CounterKey::Cell(dest, n)).or_insert([0; FIELDS]),
                None => self.other.entry((dest, class.to_owned())).or_insert([0; FIELDS]),
            },
            (None, None, Some(route)) => self.cells.entry(CounterKey::Route(route)).or_insert([0; FIELDS]),
            (None, None, None) => self.cells.entry(CounterKey::Reports).or_insert([0; FIELDS]),
            _ => return,
        };
        counts[field as usize] += by;
    }

    /// Takes over what a snapshot held.
    pub fn restore(&mut self, saved: &Saved) {
        for cell in &saved.cells {
            for (name, &by) in &cell.counts {
                if let Some(&field) = Field::ALL.iter().find(|f| f.name() == name) {
                    self.put(cell.destination, cell.class.as_deref(), cell.route, field, by);
                }
            }
        }
    }

    /// Takes over what a log held: whole frames up to the first that is cut or damaged. Gives the marks among
    /// them and how many bytes were good.
    pub fn replay(&mut self, log: &[u8]) -> (Vec<CounterLogEntry>, usize) {
        let (mut at, mut marks) = (0, Vec::new());
        let mut classes: Vec<String> = Vec::new();
        while let Some(body) = frame_at(log, at) {
            match body.split_first() {
                Some((&DELTAS, deltas)) if self.deltas(&classes, deltas).is_none() => break,
                Some((&MARK, json)) => match serde_json::from_slice(json) {
                    Ok(CounterLogEntry::Classes(names)) => classes = names,
                    Ok(mark) => marks.push(mark),
                    Err(_) => break,
                },
                _ => {}
            }
            at += HEAD + body.len();
        }
        (marks, at)
    }

    fn deltas(&mut self, classes: &[String], mut body: &[u8]) -> Option<()> {
        let mut all = Vec::new();
        while let Some((&head, rest)) = body.split_first() {
            body = rest;
            let field = Field::from_u64(u64::from(head & 0x3f))?;
            let number = u32::try_from(read_varint(&mut body)?).ok()?;
            let class = usize::try_from(read_varint(&mut body)?).ok()?;
            let by = read_varint(&mut body)?;
            all.push((head >> 6, number, class, field, by));
        }
        for (kind, number, class, field, by) in all {
            match kind {
                0 => self.put(Some(number), Some(classes.get(class)?), None, field, by),
                1 => self.put(None, None, Some(number), field, by),
                _ => self.put(None, None, None, field, by),
            }
        }
        Some(())
    }
}

/// A mark as a frame for the log.
pub fn mark(mark: &CounterLogEntry) -> Vec<u8> {
    let mut body = vec![MARK];
    // Strings and numbers only: this cannot fail.
    body.extend(serde_json::to_vec(mark).unwrap_or_default());
    framed(&body)
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(HEAD + body.len());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(crc32c::crc32c(body).to_le_bytes());
    frame.extend(body);
    frame
}

fn frame_at(log: &[u8], at: usize) -> Option<&[u8]> {
    let word = |from: usize| Some(u32::from_le_bytes(log.get(from..from + 4)?.try_into().ok()?));
    let (length, sum) = (word(at)? as usize, word(at + 4)?);
    let body = log.get(at + HEAD..(at + HEAD).checked_add(length)?).filter(|_| length <= FRAME)?;
    (crc32c::crc32c(body) == sum).then_some(body)
}

fn varint(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn read_varint(body: &mut &[u8]) -> Option<u64> {
    let mut n = 0u64;
    for shift in (0..64).step_by(7) {
        let (&byte, rest) = body.split_first()?;
        *body = rest;
        n |= u64::from(byte & 0x7f).checked_shl(shift)?;
        if byte < 0x80 {
            return Some(n);
        }
    }
    None
}

#[cfg(test)]
mod tests;
