//! What the journal holds, and what it comes to when it is read again.
//!
//! | record | written before |
//! | --- | --- |
//! | taken | the client is told |
//! | sent | the first byte of the call |
//! | never ran | the message is sent again |
//! | ended | the platform is told; for a delivered one, before anything else is done for it |
//! | told | the notice is forgotten |
//! | names | all that follows: what places of classes and zones mean in it |
//! | known | nothing; a new file begins with those of the file before |
//! | rests | the next message of the key is sent |
//!
//! An attempt that was sent and is not known never to have run may have run.

use linnetcart::Time;
use linnetcart_journal::Record as Raw;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A message was taken on.
    Taken(u32, Message),
    /// An attempt began.
    Sent {
        /// The message.
        message: u32,
        /// The attempt, counted from 0.
        attempt: Attempt,
    },
    /// An attempt never ran.
    NeverRan {
        /// The message.
        message: u32,
        /// The attempt's number.
        attempt: u16,
    },
    /// A message is over.
    Ended {
        /// The message.
        message: u32,
        /// How.
        end: End,
    },
    /// The platform has heard of its end.
    Told {
        /// The message.
        message: u32,
    },
    /// Names of the classes and zones that records after this give by their places.
    Names {
        /// Of the classes.
        classes: Vec<String>,
        /// Of the zones.
        zones: Vec<String>,
    },
    /// A message that is over and may be handed in once more under its id.
    Known(Known),
    /// An attempt for a key ended and may run on: the key rests until then, nanoseconds of the wall clock.
    Rests {
        /// The key.
        line: u64,
        /// Until when.
        until: Time,
    },
}

/// What is remembered of a message that is over: enough to know it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// Stands for its id.
    pub id: u64,
    /// Stands for the rest of it.
    pub content: u64,
    /// Until then, nanoseconds of the wall clock.
    pub until: Time,
}

/// A message as it was handed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its id.
    pub id: Vec<u8>,
    /// Its idempotency key.
    pub token: Option<Vec<u8>>,
    /// Its class.
    pub class: u8,
    /// Its destination.
    pub destination: u32,
    /// The key that it keeps order by; 0 for none.
    pub line: u64,
    /// When its time is up, nanoseconds of the wall clock.
    pub due: Time,
    /// Its body.
    pub body: Vec<u8>,
}

/// A place that no name of this process's settings has.
pub const ELSEWHERE: u8 = u8::MAX;

/// The number that stands for bytes in the journal. Not for bytes that someone chose to collide.
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}

impl Message {
    /// What is remembered of it when it is over.
    pub fn known(&self) -> Known {
        let place = [&self.destination.to_le_bytes()[..], &self.line.to_le_bytes(), &[self.class]].concat();
        Known { id: digest(&[&self.id]), content: digest(&[&place, &self.body]), until: self.due }
    }

    /// Its id, for people.
    pub fn id(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.id)
    }
}

/// An attempt that began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its number, counted from 0.
    pub number: u16,
    /// Zone of its endpoint.
    pub zone: u8,
    /// When, nanoseconds of the wall clock.
    pub at: Time,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Failed.
    Failed,
    /// Returned, to come back after so many milliseconds; 0: not said.
    Returned(u32),
}

const TAKEN: u8 = 1;
const SENT: u8 = 2;
const NEVER_RAN: u8 = 3;
const ENDED: u8 = 4;
const TOLD: u8 = 5;
const NAMES: u8 = 6;
const KNOWN: u8 = 7;
const RESTS: u8 = 8;
const NO_TOKEN: u16 = u16::MAX;

impl Record {
    /// Kind and payload, as the journal takes them.
    pub fn encode(&self) -> (u8, Vec<u8>) {
        let mut out = Vec::new();
        let kind = match self {
            Record::Taken(message, m) => {
                out.extend(message.to_le_bytes());
                out.push(m.class);
                out.extend(m.destination.to_le_bytes());
                out.extend(m.line.to_le_bytes());
                out.extend(m.due.to_le_bytes());
                out.extend((m.id.len() as u16).to_le_bytes());
                out.extend(&m.id);
                out.extend(m.token.as_ref().map_or(NO_TOKEN, |t| t.len() as u16).to_le_bytes());
                out.extend(m.token.iter().flatten());
                out.extend(&m.body);
                TAKEN
            }
            Record::Sent { message, attempt } => {
                out.extend(message.to_le_bytes());
                out.extend(attempt.number.to_le_bytes());
                out.push(attempt.zone);
                out.extend(attempt.at.to_le_bytes());
                SENT
            }
            Record::NeverRan { message, attempt } => {
                out.extend(message.to_le_bytes());
                out.extend(attempt.to_le_bytes());
                NEVER_RAN
            }
            Record::Ended { message, end } => {
                out.extend(message.to_le_bytes());
                let (how, after) = match end {
                    End::Delivered => (0, 0),
                    End::Failed => (1, 0),
                    End::Returned(after) => (2, *after),
                };
                out.push(how);
                out.extend(after.to_le_bytes());
                ENDED
            }
            Record::Told { message } => {
                out.extend(message.to_le_bytes());
                TOLD
            }
            Record::Names { classes, zones } => {
                out.extend(serde_json::json!([classes, zones]).to_string().into_bytes());
                NAMES
            }
            Record::Known(k) => {
                [k.id, k.content, k.until].iter().for_each(|n| out.extend(n.to_le_bytes()));
                KNOWN
            }
            Record::Rests { line, until } => {
                [line, until].iter().for_each(|n| out.extend(n.to_le_bytes()));
                RESTS
            }
        };
        (kind, out)
    }

    /// Reads a record; `None` if it is none of ours.
    pub fn decode(raw: &Raw) -> Option<Record> {
        let mut f = Fields(&raw.payload);
        match raw.kind {
            NAMES => {
                let (classes, zones) = serde_json::from_slice(&raw.payload).ok()?;
                return Some(Record::Names { classes, zones });
            }
            KNOWN => return Some(Record::Known(Known { id: f.u64()?, content: f.u64()?, until: f.u64()? })),
            RESTS => return Some(Record::Rests { line: f.u64()?, until: f.u64()? }),
            _ => {}
        }
        let message = f.u32()?;
        Some(match raw.kind {
            TAKEN => {
                let (class, destination, line, due) = (f.u8()?, f.u32()?, f.u64()?, f.u64()?);
                let n = f.u16()?;
                let id = f.bytes(usize::from(n))?.to_vec();
                let token = match f.u16()? {
                    NO_TOKEN => None,
                    n => Some(f.bytes(usize::from(n))?.to_vec()),
                };
                let body = f.0.to_vec();
                Record::Taken(message, Message { id, token, class, destination, line, due, body })
            }
            SENT => {
                let attempt = Attempt { number: f.u16()?, zone: f.u8()?, at: f.u64()? };
                Record::Sent { message, attempt }
            }
            NEVER_RAN => Record::NeverRan { message, attempt: f.u16()? },
            ENDED => {
                let (how, after) = (f.u8()?, f.u32()?);
                let end = match how {
                    0 => End::Delivered,
                    1 => End::Failed,
                    2 => End::Returned(after),
                    _ => return None,
                };
                Record::Ended { message, end }
            }
            TOLD => Record::Told { message },
            _ => return None,
        })
    }
}

struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn bytes(&mut self, n: usize) -> Option<&'a [u8]> {
        let (now, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(now)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    fn u8(&mut self) -> Option<u8> {
        self.array().map(u8::from_le_bytes)
    }

    fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }
}

/// A message that is still owed something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owed {
    /// The message.
    pub message: Message,
    /// Attempts so far.
    pub attempts: u16,
    /// Those of them that may have run.
    pub maybe: Vec<Attempt>,
    /// It is over, and the platform has not heard of it.
    pub end: Option<End>,
}

/// What is owed after these records, by message number in the order of taking.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    /// Messages that are owed something.
    pub owed: BTreeMap<u32, Owed>,
    /// Every message that any record names has a lower number.
    pub next: u32,
    /// Records that could not be understood, or name a message that is not there.
    pub strange: usize,
    /// Messages that are over and whose time is not up, as far as the journal still has them.
    pub known: Vec<Known>,
    /// Until when keys rest.
    pub rests: BTreeMap<u64, Time>,
}

/// From places in the journal to places in the settings, by name.
struct Places {
    classes: Vec<u8>,
    zones: Vec<u8>,
}

impl Places {
    fn of(names: &[String], here: &[String]) -> Vec<u8> {
        let place = |n: &String| here.iter().position(|h| h == n).map_or(ELSEWHERE, |p| p as u8);
        names.iter().map(place).collect()
    }

    fn here(places: &[u8], place: u8) -> u8 {
        places.get(usize::from(place)).copied().unwrap_or(ELSEWHERE)
    }
}

impl Replay {
    /// Goes through the records, with the names that the settings have now: a class or zone is the one of its
    /// name, wherever it stands now. A record that comes twice counts once.
    pub fn of(records: &[Raw], classes: &[String], zones: &[String]) -> Replay {
        let mut replay = Replay { next: 1, ..Replay::default() };
        let mut over = std::collections::BTreeSet::new();
        // A file without names is of a time when places were all there was.
        let mut places: Option<Places> = None;
        for raw in records {
            let Some(mut record) = Record::decode(raw) else {
                replay.strange += 1;
                continue;
            };
            let number = match &mut record {
                Record::Names { classes: c, zones: z } => {
                    places = Some(Places { classes: Places::of(c, classes), zones: Places::of(z, zones) });
                    continue;
                }
                Record::Known(known) => {
                    replay.known.push(*known);
                    continue;
                }
                Record::Rests { line, until } => {
                    let rests = replay.rests.entry(*line).or_default();
                    *rests = (*rests).max(*until);
                    continue;
                }
                Record::Taken(message, m) => {
                    places.iter().for_each(|p| m.class = Places::here(&p.classes, m.class));
                    *message
                }
                Record::Sent { message, attempt } => {
                    places.iter().for_each(|p| attempt.zone = Places::here(&p.zones, attempt.zone));
                    *message
                }
                Record::NeverRan { message, .. }
                | Record::Ended { message, .. }
                | Record::Told { message } => *message,
            };
            replay.next = replay.next.max(number.saturating_add(1));
            if let Record::Taken(_, message) = record {
                let owed = Owed { message, attempts: 0, maybe: vec![], end: None };
                if !over.contains(&number) {
                    replay.owed.entry(number).or_insert(owed);
                }
                continue;
            }
            let Some(owed) = replay.owed.get_mut(&number) else {
                replay.strange += usize::from(!over.contains(&number));
                continue;
            };
            match record {
                // Also one of a lower number than what is counted: a new file counts attempts that wait for their
                // connection, and they are sent after it was begun.
                Record::Sent { attempt, .. } => {
                    owed.attempts = owed.attempts.max(attempt.number.saturating_add(1));
                    owed.maybe.retain(|a| a.number != attempt.number);
                    owed.maybe.push(attempt);
                }
                Record::NeverRan { attempt, .. } => {
                    owed.attempts = owed.attempts.max(attempt.saturating_add(1));
                    owed.maybe.retain(|a| a.number != attempt);
                }
                Record::Ended { end: End::Delivered, .. } | Record::Told { .. } => {
                    let gone = replay.owed.remove(&number);
                    let gone = gone.filter(|owed| !matches!(owed.end, Some(End::Returned(_))));
                    replay.known.extend(gone.map(|owed| owed.message.known()));
                    over.insert(number);
                }
                Record::Ended { end, .. } => owed.end = Some(end),
                Record::Taken(..) | Record::Names { .. } | Record::Known(_) | Record::Rests { .. } => {}
            }
        }
        replay
    }
}

impl Owed {
    /// The records that come to this.
    pub fn records(&self, number: u32) -> Vec<Record> {
        let mut all = vec![Record::Taken(number, self.message.clone())];
        all.extend(self.maybe.iter().map(|&attempt| Record::Sent { message: number, attempt }));
        // Attempts that never ran count; the last one stands for all of them.
        let last = self.attempts.checked_sub(1).filter(|&n| self.maybe.iter().all(|a| a.number != n));
        all.extend(last.map(|attempt| Record::NeverRan { message: number, attempt }));
        all.extend(self.end.map(|end| Record::Ended { message: number, end }));
        all
    }
}

#[cfg(test)]
mod tests;
