//! Clients' connections: requests that wait for their answers, in order.

use super::answers::{self, RecordEnd};
use bytes::Bytes;
use linnetcart::Time;
use linnetcart_kafka::server::{self, PartitionResult};
use linnetcart_kafka::Frames;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A client's connection, as the shell numbers them.
pub type ClientId = u64;

/// Where the answer to a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The connection.
    pub client: ClientId,
    /// The request, counted on the connection.
    pub request: u64,
    /// The partition within the request.
    pub part: u32,
    /// The record within the partition.
    pub record: u32,
}

/// One partition of a request that waits for its records.
#[derive(Debug)]
pub(crate) enum Part {
    /// Turned down whole.
    Known(PartitionResult),
    /// Its records, as far as they have ended, and the numbers of those taken.
    Open { topic: String, partition: i32, ends: Vec<Option<RecordEnd>>, messages: Vec<Option<u32>> },
}

#[derive(Debug)]
enum Waits {
    Answer { correlation: i32, version: i16, parts: Vec<Part>, open: usize },
    Nothing(Bytes),
}

#[derive(Debug)]
struct Request {
    due: Time,
    waits: Waits,
}

#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) frames: Frames,
    requests: VecDeque<Request>,
    /// The number of the front request.
    first: u64,
    /// Answers given and not yet taken by the system.
    pub(crate) unsent: usize,
    pub(crate) paused: bool,
    /// The client sends no more.
    pub(crate) half_closed: bool,
    /// The earliest time at which a request here must be answered.
    cut: Time,
}

/// All clients.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    pub(crate) clients: BTreeMap<ClientId, Client>,
    cuts: BTreeSet<(Time, ClientId)>,
    /// Records served so far; their offsets.
    served: i64,
}

impl Client {
    pub(crate) fn new(frame_bytes: usize) -> Self {
        Client {
            frames: Frames::new(frame_bytes),
            requests: VecDeque::new(),
            first: 0,
            unsent: 0,
            paused: false,
            half_closed: false,
            cut: Time::MAX,
        }
    }

    /// Requests without an answer.
    pub(crate) fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// The number that the next request will have.
    pub(crate) fn next_request(&self) -> u64 {
        self.first + self.requests.len() as u64
    }

    /// Messages of requests that wait, up to and with this request.
    fn messages(&self, last: u64) -> Vec<u32> {
        let until = (last + 1).saturating_sub(self.first) as usize;
        let parts = self.requests.iter().take(until).flat_map(|r| match &r.waits {
            Waits::Answer { parts, .. } => parts.as_slice(),
            Waits::Nothing(_) => &[],
        });
        let open = parts.flat_map(|p| match p {
            Part::Open { ends, messages, .. } => {
                let open = ends.iter().zip(messages).filter(|(e, _)| e.is_none());
                open.filter_map(|(_, m)| *m).collect::<Vec<u32>>()
            }
            Part::Known(_) => Vec::new(),
        });
        open.collect()
    }
}

impl Intake {
    fn set_cut(&mut self, id: ClientId) {
        let Some(c) = self.clients.get_mut(&id) else { return };
        let cut = c.requests.iter().map(|r| r.due).min().unwrap_or(Time::MAX);
        if cut != c.cut {
            self.cuts.remove(&(c.cut, id));
            c.cut = cut;
            if cut != Time::MAX {
                self.cuts.insert((cut, id));
            }
        }
    }

    /// A request that is answered as soon as those before it are.
    pub(crate) fn answered(&mut self, id: ClientId, response: Bytes) {
        if let Some(c) = self.clients.get_mut(&id) {
            c.requests.push_back(Request { due: Time::MAX, waits: Waits::Nothing(response) });
        }
    }

    /// A request that waits for its records; the first of them must have ended at `due`.
    pub(crate) fn waits(
        &mut self,
        id: ClientId,
        correlation: i32,
        version: i16,
        parts: Vec<Part>,
        due: Time,
    ) {
        let open = |p: &Part| match p {
            Part::Open { ends, .. } => ends.iter().filter(|e| e.is_none()).count(),
            Part::Known(_) => 0,
        };
        let open = parts.iter().map(open).sum();
        if let Some(c) = self.clients.get_mut(&id) {
            c.requests.push_back(Request { due, waits: Waits::Answer { correlation, version, parts, open } });
        }
        self.set_cut(id);
    }

    /// A record has ended.
    pub(crate) fn ended(&mut self, at: Place, end: RecordEnd) {
        let Some(c) = self.clients.get_mut(&at.client) else { return };
        let Some(n) = at.request.checked_sub(c.first) else { return };
        let Some(Request { waits: Waits::Answer { parts, open, .. }, .. }) = c.requests.get_mut(n as usize)
        else {
            return;
        };
        if let Some(Part::Open { ends, .. }) = parts.get_mut(at.part as usize) {
            if let Some(slot @ None) = ends.get_mut(at.record as usize) {
                *slot = Some(end);
                *open -= 1;
            }
        }
    }

    /// The responses that may be written now, in order.
    pub(crate) fn ready(&mut self, id: ClientId) -> Vec<Bytes> {
        let mut out = Vec::new();
        let Some(c) = self.clients.get_mut(&id) else { return out };
        while let Some(front) = c.requests.front() {
            if matches!(front.waits, Waits::Answer { open, .. } if open > 0) {
                break;
            }
            let Some(request) = c.requests.pop_front() else { break };
            c.first += 1;
            match request.waits {
                Waits::Nothing(response) => out.push(response),
                Waits::Answer { correlation, version, parts, .. } => {
                    out.push(response(correlation, version, parts, &mut self.served));
                }
            }
        }
        c.unsent += out.iter().map(Bytes::len).sum::<usize>();
        if !out.is_empty() {
            self.set_cut(id);
        }
        out
    }

    /// The first time at which some request must be answered.
    pub(crate) fn next_cut(&self) -> Option<Time> {
        self.cuts.first().map(|&(at, _)| at)
    }

    /// Messages that must end now: those of a request whose time is up, and those of older requests on its
    /// connection, since answers go in order and an older one with more time would hold it back.
    pub(crate) fn overdue(&self, by: Time) -> Vec<u32> {
        let mut all = Vec::new();
        for (_, id) in self.cuts.range(..=(by, ClientId::MAX)) {
            let Some(c) = self.clients.get(id) else { continue };
            if let Some(last) = c.requests.iter().rposition(|r| r.due <= by) {
                all.extend(c.messages(c.first + last as u64));
            }
        }
        all
    }

    /// The client is gone; the messages that nobody waits for any more.
    pub(crate) fn gone(&mut self, id: ClientId) -> Vec<u32> {
        let Some(c) = self.clients.remove(&id) else { return Vec::new() };
        self.cuts.remove(&(c.cut, id));
        c.messages(u64::MAX - 1)
    }
}

fn response(correlation: i32, version: i16, parts: Vec<Part>, served: &mut i64) -> Bytes {
    let mut wait = 0;
    let each = parts.into_iter().map(|p| match p {
        Part::Known(ended) => ended,
        Part::Open { topic, partition, ends, .. } => {
            let ends: Vec<RecordEnd> = ends.into_iter().map(|e| e.unwrap_or(RecordEnd::Failed)).collect();
            let (ended, come_back) = answers::part(&topic, partition, &ends, *served);
            *served += ends.iter().filter(|e| **e == RecordEnd::Served).count() as i64;
            wait = wait.max(come_back);
            ended
        }
    });
    let ended: Vec<PartitionResult> = each.collect();
    let throttle = i32::try_from(wait.div_ceil(1_000_000)).unwrap_or(i32::MAX);
    server::produce(correlation, version, &ended, throttle, None)
}
