//! A courier's host: the program around the core as the shell runs it, its loop, clock and disk.

use crate::disk::Disk;
use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_edge::control::{Program, Request};
use linnetcart_edge::core::{ClientId, Core, Output, StartOptions, UpstreamId};
use linnetcart_edge::delivery_events::DeliveryEvent;
use serde::{Deserialize, Serialize};

/// What wall clocks that are right show when a run begins: in November 2023.
pub const WALL_START: Time = 1_700_000_000 * 1_000_000_000;
/// What a clock shows at the start of a life at least.
const CLOCK_START: Time = 3600 * 1_000_000_000;
/// The loop looks at its connections at least this often.
const LOOK: Time = 10_000_000;

/// What a host takes for what it does.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pace {
    /// A turn of the loop.
    pub turn: Time,
    /// Each thing that came and each thing that leaves.
    pub each: Time,
    /// A write of the snapshot.
    pub save: Time,
}

/// Something that came to a host.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    Opened(ClientId),
    /// Bytes of a client.
    Client(ClientId, Bytes),
    /// A client is gone.
    ClientGone(ClientId),
    /// So many bytes of answers are not taken yet.
    Unsent(ClientId, usize),
    /// A connection to an endpoint is there.
    Up(UpstreamId),
    /// It could not be made.
    Failed(UpstreamId),
    /// It has ended after so many bytes were taken.
    Down(UpstreamId, u64),
    /// Bytes of an endpoint.
    Link(UpstreamId, Bytes),
    /// A document for the control interface.
    Put(&'static str, String),
}

/// What a turn of the loop brought.
#[derive(Debug, Default)]
pub struct Turned {
    /// What is to be sent, opened and closed.
    pub outputs: Vec<Output>,
    /// What happened.
    pub facts: Vec<DeliveryEvent>,
    /// Clients that it closed because it has no settings.
    pub turned_away: Vec<ClientId>,
    /// Answers of the control interface.
    pub answers: Vec<Result<(), String>>,
    /// How long it took.
    pub took: Time,
}

/// A courier's host in one life of its program.
#[derive(Debug)]
pub struct Host {
    /// Which life.
    pub life: u32,
    program: Program,
    inbox: Vec<Input>,
    /// When the life began, and what its clock showed then.
    begun: Time,
    shown: Time,
    /// How fast its clock runs, in parts of a million more than it should.
    drift: i64,
    /// How far its wall clock is ahead of the right time, less where it is behind.
    off: i64,
    /// The last look, and when its work is done.
    looked: Time,
    free: Time,
    /// Since when it stands still.
    pub stalled: Option<Time>,
    /// Since when it stood still before the look that comes.
    stood: Option<Time>,
    /// When it is to look next, as far as it was told to the queue.
    pub look_at: Option<Time>,
    /// It takes no connections of clients any more.
    pub draining: bool,
    /// A snapshot is being written until then.
    saving: Time,
}

impl Host {
    /// The program starts, with what its disk holds and a clock that is ahead and drifts. True if it has settings.
    pub fn start(
        now: Time,
        life: u32,
        mut start: StartOptions,
        (ahead, drift, off): (Time, i64, i64),
        disk: &mut Disk,
    ) -> (Host, bool) {
        start.now = CLOCK_START + ahead;
        let mut program = Program::new(start);
        program.keeps = true;
        if let Some(saved) = disk.load() {
            program.restore(saved);
        }
        let kept = program.core.is_some();
        let host = Host {
            life,
            program,
            inbox: Vec::new(),
            begun: now,
            shown: CLOCK_START + ahead,
            drift,
            off,
            looked: now,
            free: now,
            stalled: None,
            stood: None,
            look_at: None,
            draining: false,
            saving: 0,
        };
        (host, kept)
    }

    /// Its own clock.
    fn clock(&self, now: Time) -> Time {
        let gone = now.saturating_sub(self.begun);
        let drift = (i128::from(gone) * i128::from(self.drift) / 1_000_000) as i64;
        self.shown + gone.saturating_add_signed(drift)
    }

    /// When its clock will show this, or later.
    fn when(&self, clock: Time) -> Time {
        let gone = clock.saturating_sub(self.shown);
        let part = i128::from(gone) * 1_000_000 / (1_000_000 + i128::from(self.drift)).max(1);
        self.begun.saturating_add(part as Time).saturating_add(u64::from(self.drift != 0))
    }

    /// Something came.
    pub fn came(&mut self, input: Input) {
        self.inbox.push(input);
    }

    /// When the loop looks next, if nothing more comes.
    pub fn wanted(&self) -> Option<Time> {
        if self.stalled.is_some() {
            return None;
        }
        if !self.inbox.is_empty() {
            return Some(self.free);
        }
        let next = self.program.core.as_ref().map_or(Time::MAX, Core::next_wakeup);
        (next != Time::MAX).then(|| self.when(next).max(self.free))
    }

    /// A snapshot is being written.
    pub fn is_saving(&self, now: Time) -> bool {
        now < self.saving
    }

    /// Takes nothing new, as after SIGTERM; what is held at the end of `span` ends then.
    pub fn drain(&mut self, now: Time, span: Time) {
        self.draining = true;
        let by = self.clock(now) + span;
        if let Some(core) = &mut self.program.core {
            core.begin_drain(by);
        }
    }

    /// Nothing is owed any more.
    pub fn is_done(&self) -> bool {
        self.inbox.is_empty() && self.program.core.as_ref().is_none_or(Core::is_done)
    }

    /// One turn of the loop: all that came, then the core's turn.
    pub fn look(&mut self, now: Time, pace: &Pace, disk: &mut Disk) -> Turned {
        let mut out = Turned::default();
        let clock = self.clock(now);
        // Once it has nothing to do the loop looks at its connections again and again, unless it stands still.
        let idle_until = self.stood.take().unwrap_or(now);
        let looks = idle_until > self.free + LOOK;
        let since = self.clock(if looks { idle_until - LOOK } else { self.looked });
        self.looked = now;
        let came = std::mem::take(&mut self.inbox);
        let mut count = came.len() as Time;
        if let Some(core) = &mut self.program.core {
            core.clock(clock);
            core.wall_clock((WALL_START + now).saturating_add_signed(self.off));
            core.arrived_since(since);
        }
        for input in came {
            self.take(input, pace, disk, &mut out);
        }
        if let Some(core) = &mut self.program.core {
            core.process(clock);
            out.outputs = core.outputs();
            out.facts = core.delivery_events();
            count += out.outputs.len() as Time;
        }
        out.took += pace.turn + count * pace.each;
        if !out.answers.is_empty() {
            self.saving = now + out.took;
        }
        self.free = now + out.took;
        out
    }

    /// It stands still no more; the next look finds everything that came meanwhile.
    pub fn go_on(&mut self) {
        if let Some(since) = self.stalled.take() {
            self.stood = Some(self.stood.map_or(since, |s| s.min(since)));
        }
    }

    fn take(&mut self, input: Input, pace: &Pace, disk: &mut Disk, out: &mut Turned) {
        if let Input::Put(path, body) = input {
            let request = Request { method: "PUT".into(), path: path.into(), body: body.into(), last: true };
            disk.done();
            let reply = self.program.handle(&request, &mut |saved| {
                disk.save(saved);
                Ok(())
            });
            out.took += pace.save;
            let text = format!("{} {}", reply.status, reply.body.trim());
            out.answers.push(if reply.status == 200 { Ok(()) } else { Err(text) });
            return;
        }
        let Some(core) = &mut self.program.core else {
            if let Input::Opened(id) = input {
                out.turned_away.push(id);
            }
            return;
        };
        match input {
            Input::Opened(id) => core.client_connected(id),
            Input::Client(id, bytes) => core.client_received(id, &bytes),
            Input::ClientGone(id) => core.client_disconnected(id),
            Input::Unsent(id, bytes) => core.set_client_backlog(id, bytes),
            Input::Up(link) => core.upstream_connected(link),
            Input::Failed(link) => core.upstream_connect_failed(link),
            Input::Down(link, written) => core.upstream_disconnected(link, written),
            Input::Link(link, bytes) => core.upstream_received(link, &bytes),
            Input::Put(..) => {}
        }
    }
}
