//! The two connections to discovery: the watch on the list, and the notices on messages that ended undelivered.

use crate::config::News;
use linnetcart::Time;
use linnetcart_http::{parse_response, ChunkedDecoder, ParsedResponse};
use std::collections::VecDeque;
use std::net::SocketAddr;

const MS: Time = 1_000_000;
/// A connection that failed is made again after this, and each time later up to the most.
const GAP: Time = 20 * MS;
const MOST_GAP: Time = 500 * MS;
/// A connection that is not there by then has failed.
const CONNECT_WITHIN: Time = 1000 * MS;
/// A watch that is silent for this long is dead: a line comes every 2 s.
pub(super) const SILENT: Time = 2700 * MS;
/// A notice is answered at once; what is not by then is sent again. It goes out as its message's time ends and
/// has to be there 300 ms later: a connection that is dead has to be found and replaced before that.
const ANSWER_WITHIN: Time = 200 * MS;
/// Notices in one request.
const TOGETHER: usize = 64;
/// The most that an object of the watch may have: a list of thousands of endpoints.
const LINE: usize = 4 << 20;

/// State of a connection that is made again whenever it is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Down { retry: Time },
    Connecting { since: Time },
    Up,
}

/// When and how often it is tried.
#[derive(Debug)]
struct Line {
    state: State,
    gap: Time,
}

impl Line {
    fn new() -> Line {
        Line { state: State::Down { retry: 0 }, gap: GAP }
    }

    fn down(&mut self, now: Time) {
        self.state = State::Down { retry: now + self.gap };
        self.gap = (2 * self.gap).min(MOST_GAP);
    }

    /// True: a connection is to be made now.
    fn begins(&mut self, now: Time) -> bool {
        let due = matches!(self.state, State::Down { retry } if retry <= now);
        if due {
            self.state = State::Connecting { since: now };
        }
        due
    }

    /// A connection that is being made has taken too long.
    fn stuck(&self, now: Time) -> bool {
        matches!(self.state, State::Connecting { since } if since + CONNECT_WITHIN <= now)
    }

    fn wake(&self, up: Time) -> Time {
        match self.state {
            State::Down { retry } => retry,
            State::Connecting { since } => since + CONNECT_WITHIN,
            State::Up => up,
        }
    }
}

/// What a connection's owner is to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Nothing.
    Nothing,
    /// Make it.
    Connect,
    /// Give it up; it is made again later.
    Close,
}

/// The watch on the list.
#[derive(Debug)]
pub struct Watch {
    line: Line,
    heard: Time,
    head: Vec<u8>,
    /// The head is there.
    chunks: Option<ChunkedDecoder>,
    text: Vec<u8>,
    /// A whole object or an empty line has come, on this connection or one before.
    told: bool,
}

/// The watch sent what it should not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadWatch {
    /// Another answer than 200, or none at all.
    #[error("the watch was answered with {0}")]
    Answer(String),
    /// Something that is no news of the list.
    #[error("a line of the watch cannot be read: {0}")]
    Line(String),
    /// It ended.
    #[error("the watch ended")]
    Ended,
}

impl Watch {
    /// One that is not begun.
    pub fn new() -> Watch {
        Watch { line: Line::new(), heard: 0, head: vec![], chunks: None, text: vec![], told: false }
    }

    /// Whether discovery has said anything yet: all that it had by then, or that there is nothing new.
    pub fn has_told(&self) -> bool {
        self.told
    }

    /// What is to be done now.
    pub fn need(&mut self, now: Time) -> Need {
        let silent = self.line.state == State::Up && self.heard + SILENT <= now;
        if silent {
            // It took the connection, and what it has at discovery's return counts at once: anew without a gap.
            self.line.state = State::Down { retry: now };
            return Need::Close;
        }
        if self.line.stuck(now) {
            self.line.down(now);
            return Need::Close;
        }
        if self.line.begins(now) {
            return Need::Connect;
        }
        Need::Nothing
    }

    /// When to look again.
    pub fn wake(&self) -> Time {
        self.line.wake(self.heard + SILENT)
    }

    /// The connection is there; these bytes are to be sent.
    pub fn up(&mut self, now: Time, host: SocketAddr, index: u64) -> Vec<u8> {
        self.line.state = State::Up;
        (self.heard, self.chunks) = (now, None);
        self.head.clear();
        self.text.clear();
        format!("GET /v1/endpoints?follow=1&since={index} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
    }

    /// The connection is gone, or was given up.
    pub fn down(&mut self, now: Time) {
        self.line.down(now);
    }

    /// Begins anew at once, at another address.
    pub fn anew(&mut self) {
        *self = Watch { told: self.told, ..Watch::new() };
    }

    /// Bytes came: the news in them. After an error the connection is to be given up.
    pub fn bytes(&mut self, now: Time, bytes: &[u8]) -> (Vec<News>, Option<BadWatch>) {
        self.heard = now;
        let mut first = Vec::new();
        let mut rest = bytes;
        let chunks = match &mut self.chunks {
            Some(chunks) => chunks,
            None => {
                self.head.extend_from_slice(bytes);
                match parse_response(&self.head) {
                    ParsedResponse::Incomplete { .. } => return (vec![], None),
                    ParsedResponse::Head(head) if head.status == 200 && head.chunked => {
                        first.extend(self.head.drain(..).skip(head.length));
                        rest = &first;
                        self.chunks.insert(ChunkedDecoder::default())
                    }
                    ParsedResponse::Head(head) => {
                        return (vec![], Some(BadWatch::Answer(format!("status {}", head.status))))
                    }
                    ParsedResponse::Malformed { .. } => {
                        return (vec![], Some(BadWatch::Answer("noise".into())))
                    }
                }
            }
        };
        let over = chunks.push(rest, &mut self.text);
        let mut news = Vec::new();
        let mut at = 0;
        let mut bad = match over {
            Ok(true) => Some(BadWatch::Ended),
            Ok(false) => None,
            Err(e) => Some(BadWatch::Line(e.to_string())),
        };
        // An object may come indented, over several lines; what is not there whole waits for the rest.
        let mut objects = serde_json::Deserializer::from_slice(&self.text).into_iter::<News>();
        loop {
            match objects.next() {
                Some(Ok(one)) => {
                    news.push(one);
                    at = objects.byte_offset();
                }
                Some(Err(e)) if e.is_eof() => break,
                Some(Err(e)) => {
                    bad = Some(BadWatch::Line(e.to_string()));
                    break;
                }
                None => {
                    at = self.text.len();
                    break;
                }
            }
        }
        self.told |= at > 0;
        self.text.drain(..at);
        if self.text.len() > LINE {
            bad = Some(BadWatch::Line(format!("it has more than {LINE} bytes")));
        }
        if bad.is_none() {
            self.line.gap = GAP;
        }
        (news, bad)
    }
}

/// Notices that are not answered yet, in their order.
#[derive(Debug)]
pub struct Notices {
    line: Line,
    queue: VecDeque<(u32, Vec<u8>)>,
    /// So many of the first are out.
    out: usize,
    /// So many of the first may go together: one where a batch was turned down, to find the one at fault.
    together: usize,
    asked: Time,
    bytes: Vec<u8>,
}

impl Notices {
    /// None.
    pub fn new() -> Notices {
        Notices {
            line: Line::new(),
            queue: VecDeque::new(),
            out: 0,
            together: TOGETHER,
            asked: 0,
            bytes: vec![],
        }
    }

    /// Adds a message's.
    pub fn push(&mut self, message: u32, line: Vec<u8>) {
        self.queue.push_back((message, line));
    }

    /// Notices that are not answered.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// What is to be done now.
    pub fn need(&mut self, now: Time) -> Need {
        let slow = self.line.state == State::Up && self.out > 0 && self.asked + ANSWER_WITHIN <= now;
        if slow || self.line.stuck(now) {
            self.down(now);
            return Need::Close;
        }
        if !self.queue.is_empty() && self.line.begins(now) {
            return Need::Connect;
        }
        Need::Nothing
    }

    /// When to look again.
    pub fn wake(&self) -> Time {
        if self.queue.is_empty() {
            return Time::MAX;
        }
        self.line.wake(if self.out > 0 { self.asked + ANSWER_WITHIN } else { Time::MAX })
    }

    /// The connection is there.
    pub fn up(&mut self) {
        (self.line.state, self.out) = (State::Up, 0);
        self.bytes.clear();
    }

    /// The connection is gone, or was given up: what was out goes again.
    pub fn down(&mut self, now: Time) {
        self.line.down(now);
        self.out = 0;
    }

    /// Begins anew at once, at another address.
    pub fn anew(&mut self) {
        (self.line, self.out) = (Line::new(), 0);
    }

    /// The request to be sent now, if any.
    pub fn ask(&mut self, now: Time, host: SocketAddr) -> Option<Vec<u8>> {
        if self.line.state != State::Up || self.out > 0 || self.queue.is_empty() {
            return None;
        }
        self.out = self.queue.len().min(self.together);
        self.asked = now;
        let body: Vec<u8> = self.queue.iter().take(self.out).flat_map(|(_, l)| l.iter().copied()).collect();
        let head = format!(
            "POST /status HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        Some([head.as_bytes(), &body].concat())
    }

    /// Bytes came: the messages whose notices are answered, and whether they were taken. One that alone is not
    /// taken would never be, and hold up all behind it. An error: the connection is to be given up.
    pub fn bytes(&mut self, bytes: &[u8]) -> Result<(Vec<u32>, bool), String> {
        self.bytes.extend_from_slice(bytes);
        let head = match parse_response(&self.bytes) {
            ParsedResponse::Incomplete { .. } => return Ok((vec![], true)),
            ParsedResponse::Malformed { .. } => return Err("noise".into()),
            ParsedResponse::Head(head) => head,
        };
        let Some(body) = head.body else { return Err(format!("a body without end after {}", head.status)) };
        if self.bytes.len() < head.length + body {
            return Ok((vec![], true));
        }
        self.bytes.drain(..head.length + body);
        match head.status {
            200 | 204 | 400 if self.out > 0 => {
                self.line.gap = GAP;
                let taken = head.status != 400;
                let mut out = std::mem::take(&mut self.out);
                match taken {
                    true => self.together = (2 * self.together).min(TOGETHER),
                    false if out > 1 => (self.together, out) = (1, 0),
                    false => {}
                }
                let over = self.queue.drain(..out).map(|(message, _)| message).collect();
                if head.last {
                    self.line.state = State::Down { retry: 0 };
                }
                Ok((over, taken))
            }
            status => Err(format!("status {status}")),
        }
    }
}
