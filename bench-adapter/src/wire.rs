//! Translation between the pipe's frames and the module's events and actions. It decides nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read};

use linnetcart::{
    AcceptedMessage, Action, AttemptOutcome, AttemptResult, Dispatcher, Endpoint, EndpointStatus, Event,
    HealthCheckResult,
};
use linnetcart_deployment_settings::{DeploymentSettings, CAPACITY_LEFT_FIELD, RATE_LIMIT_FIELD};
use serde_json::Value;

/// Input that cannot be read.
#[derive(Debug)]
pub struct Bad(String);

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<io::Error> for Bad {
    fn from(e: io::Error) -> Self {
        Bad(format!("pipe: {e}"))
    }
}

fn bad<T>(what: impl Into<String>) -> Result<T, Bad> {
    Err(Bad(what.into()))
}

/// Header of a batch.
pub struct Head {
    number: u32,
    records: u32,
    clock: u64,
}

/// Reads one batch; `None` at the end of input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<(Head, Vec<u8>)>, Bad> {
    let mut head = [0u8; 12];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return bad("input ends within a batch's header"),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
    }
    let mut fields = Fields::new(&head);
    let (number, records, length) = (fields.u32()?, fields.u32()?, fields.u32()?);
    if length < 8 {
        return bad(format!("batch {number}: length {length} leaves no room for the clock"));
    }
    let mut body = Vec::new();
    input.take(u64::from(length)).read_to_end(&mut body)?;
    if body.len() != length as usize {
        return bad(format!("batch {number}: {} bytes instead of {length}", body.len()));
    }
    let clock = Fields::new(&body).u64()?;
    Ok(Some((Head { number, records, clock }, body.split_off(8))))
}

/// Little-endian fields, read in turn.
struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    fn new(rest: &'a [u8]) -> Self {
        Fields { rest }
    }

    fn bytes(&mut self, n: usize) -> Result<&'a [u8], Bad> {
        if self.rest.len() < n {
            return bad(format!("record too short: {n} bytes wanted, {} left", self.rest.len()));
        }
        let (now, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(now)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Bad> {
        let mut a = [0; N];
        a.copy_from_slice(self.bytes(N)?);
        Ok(a)
    }

    fn u8(&mut self) -> Result<u8, Bad> {
        Ok(u8::from_le_bytes(self.array()?))
    }

    fn u16(&mut self) -> Result<u16, Bad> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, Bad> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, Bad> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, Bad> {
        Ok(f32::from_le_bytes(self.array()?))
    }
}

/// One running instance.
struct Instance {
    courier: Dispatcher,
    left_at: Option<usize>,
    limit_at: Option<usize>,
}

/// All instances of this process; they share the numbered lists, as the wire has it, and nothing else.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u16, Vec<Endpoint>>,
}

impl Host {
    /// Hands a batch to the instances and returns the reply's frame.
    pub fn batch(&mut self, head: &Head, body: &[u8]) -> Result<Vec<u8>, Bad> {
        let mut order: Vec<u32> = Vec::new();
        let mut events: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
        let mut fields = Fields::new(body);
        for n in 0..head.records {
            let code = fields.u8()?;
            let length = fields.u32()? as usize;
            let record = fields.bytes(length)?;
            self.record(code, Fields::new(record), &mut order, &mut events)
                .map_err(|e| Bad(format!("batch {}, record {n} (code {code}): {e}", head.number)))?;
        }
        if !fields.rest.is_empty() {
            return bad(format!("batch {}: {} bytes after the last record", head.number, fields.rest.len()));
        }
        let mut out = Vec::new();
        for i in order {
            let Some(instance) = self.instances.get_mut(&i) else { continue };
            let Some(round) = events.remove(&i) else { continue };
            for action in instance.courier.decide(head.clock, round) {
                write_action(&mut out, i, head.clock, &action);
            }
        }
        let mut reply = Vec::with_capacity(out.len() + 8);
        reply.extend(head.number.to_le_bytes());
        reply.extend((out.len() as u32).to_le_bytes());
        reply.extend(out);
        Ok(reply)
    }

    fn record(
        &mut self,
        code: u8,
        mut f: Fields,
        order: &mut Vec<u32>,
        events: &mut BTreeMap<u32, Vec<Event>>,
    ) -> Result<(), Bad> {
        if code == 110 {
            let list = f.u16()?;
            let count = f.u32()?;
            let mut entries = Vec::new();
            for _ in 0..count {
                entries.push(read_entry(&mut f)?);
            }
            self.lists.insert(list, entries);
            return Ok(());
        }
        if !matches!(code, 10 | 20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 100) {
            return Ok(());
        }
        let i = f.u32()?;
        let event = match code {
            10 => {
                let seed = f.u64()?;
                let n = f.u32()? as usize;
                let facts: Value =
                    serde_json::from_slice(f.bytes(n)?).map_err(|e| Bad(format!("facts: {e}")))?;
                let site = DeploymentSettings::read(&facts).map_err(|e| Bad(format!("facts: {e}")))?;
                let instance = Instance {
                    left_at: site.load_report_index(CAPACITY_LEFT_FIELD),
                    limit_at: site.load_report_index(RATE_LIMIT_FIELD),
                    courier: Dispatcher::new(site.settings, seed),
                };
                self.instances.insert(i, instance);
                events.insert(i, Vec::new());
                Event::WokenUp
            }
            100 => {
                self.instances.remove(&i);
                events.remove(&i);
                return Ok(());
            }
            20 => match f.u8()? {
                3 => Event::EndpointListFailed,
                how @ 0..=2 => {
                    let number = f.u16()?;
                    let Some(entries) = self.lists.get(&number) else {
                        return bad(format!("list {number} was never given"));
                    };
                    Event::EndpointList { complete: how != 0, entries: entries.clone() }
                }
                how => return bad(format!("news of kind {how} is unknown")),
            },
            30 => {
                let (id, time_left, class) = (f.u32()?, f.u64()?, f.u8()?);
                let (_attrs, _effort) = (f.u8()?, f.u64()?);
                let (key, destination) = (f.u64()?, f.f32()? as u32);
                let tenant = if f.rest.is_empty() { 0 } else { f.u32()? };
                Event::Accepted(AcceptedMessage {
                    id,
                    destination,
                    class,
                    time_remaining: time_left,
                    ordering_key: key,
                    tenant,
                })
            }
            50 => {
                let (message, attempt, endpoint) = (f.u32()?, f.u16()?, f.u32()?);
                let (status, took, over, note) = (f.u8()?, f.u64()?, f.u8()? != 0, f.u32()?);
                let ending = ending(status, note)?;
                let (left, limit) = self.told(i, &mut f)?;
                Event::AttemptFinished(AttemptResult {
                    message,
                    attempt,
                    endpoint,
                    outcome: ending,
                    elapsed: took,
                    completed: over,
                    capacity_left: left,
                    rate_limit: limit,
                })
            }
            60 => Event::ClientCancelled { message: f.u32()? },
            80 => {
                let (status, took, endpoint) = (f.u8()?, f.u64()?, f.u32()?);
                let ending = ending(status, 0)?;
                let (left, limit) = self.told(i, &mut f)?;
                Event::HealthChecked(HealthCheckResult {
                    endpoint,
                    outcome: ending,
                    elapsed: took,
                    capacity_left: left,
                    rate_limit: limit,
                })
            }
            90 => {
                let (from, n) = (f.u16()?, f.u16()?);
                Event::Gossip { from: u32::from(from), body: f.bytes(usize::from(n))?.to_vec() }
            }
            _ => Event::WokenUp,
        };
        if !order.contains(&i) {
            order.push(i);
        }
        events.entry(i).or_default().push(event);
        Ok(())
    }

    /// A load report: the share that is left and the limit, as far as this instance's settings name them.
    fn told(&self, i: u32, f: &mut Fields) -> Result<(Option<f64>, Option<f64>), Bad> {
        let n = if f.rest.is_empty() { 0 } else { f.u8()? };
        let report = (0..n).map(|_| f.f32().map(f64::from)).collect::<Result<Vec<f64>, Bad>>()?;
        let at = |place: fn(&Instance) -> Option<usize>| {
            self.instances.get(&i).and_then(place).and_then(|at| report.get(at).copied())
        };
        Ok((at(|x| x.left_at), at(|x| x.limit_at)))
    }
}

fn ending(status: u8, note: u32) -> Result<AttemptOutcome, Bad> {
    Ok(match status {
        0 => AttemptOutcome::Served,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Rejected { retry_after: u64::from(note) * 1_000_000 },
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::NoConnection,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NotSent { no_capacity: note == 1 },
        _ => return bad(format!("outcome {status} is unknown")),
    })
}

fn read_entry(f: &mut Fields) -> Result<Endpoint, Bad> {
    let listing = match f.u8()? {
        1 => EndpointStatus::Ready,
        2 => EndpointStatus::Removed,
        3 => EndpointStatus::Draining,
        other => return bad(format!("phase {other} is unknown")),
    };
    let (kind, rate, destination) = (f.u8()?, f64::from(f.f32()?), u32::from(f.u16()?));
    let (id, _launched, zone) = (f.u32()?, f.u64()?, f.u8()?);
    Ok(Endpoint { id, destination, kind, zone, rate, status: listing })
}

fn write_action(out: &mut Vec<u8>, i: u32, clock: u64, action: &Action) {
    let (code, fields) = match action {
        Action::Send { message, endpoint, until } => {
            (90, [&message.to_le_bytes()[..], &until.to_le_bytes(), &endpoint.to_le_bytes()].concat())
        }
        Action::Cancel { message, attempt } => {
            (40, [&message.to_le_bytes()[..], &attempt.to_le_bytes()].concat())
        }
        Action::Reject { message, retry_after: come_back } => {
            (70, [&message.to_le_bytes()[..], &come_back.to_le_bytes()].concat())
        }
        Action::Fail { message } => (110, message.to_le_bytes().to_vec()),
        Action::HealthCheck { endpoint } => (60, endpoint.to_le_bytes().to_vec()),
        Action::Gossip { to, body } => {
            let length = (body.len() as u16).to_le_bytes();
            (120, [&to.unwrap_or(u32::MAX).to_le_bytes()[..], &length, body].concat())
        }
        Action::CloseIdle { endpoint } => (100, endpoint.to_le_bytes().to_vec()),
        Action::WatchEndpoints => (20, vec![1]),
        Action::WakeUp { at } => (50, [at.saturating_sub(clock).to_le_bytes(), at.to_le_bytes()].concat()),
        Action::LimitChanged(change) => {
            let text = change.to_string();
            let mut end = text.len().min(usize::from(u16::MAX));
            while !text.is_char_boundary(end) {
                end -= 1;
            }
            (10, [&(end as u16).to_le_bytes()[..], &text.as_bytes()[..end]].concat())
        }
    };
    out.push(code);
    out.extend((fields.len() as u32 + 4).to_le_bytes());
    out.extend(i.to_le_bytes());
    out.extend(fields);
}

#[cfg(test)]
mod tests;
