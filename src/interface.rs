//! What goes into the decision module and what comes out: settings, events and actions.

/// A span or a clock reading, in nanoseconds.
pub type Time = u64;

/// What a courier is told once, at its start. Figures that a deployment does not give stay at `Default`.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// Couriers that send to the same destinations, this one included.
    pub couriers: u32,
    /// The number of this courier among them.
    pub me: u32,
    /// The zone that this courier stands in.
    pub zone: u8,
    /// Classes of message, by number.
    pub classes: Vec<Class>,
    /// Kinds of destination, by number.
    pub kinds: Vec<Kind>,
    /// Each tenant's share of messages a second, over all couriers.
    pub tenants: Vec<f64>,
    /// Worth of a message beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Worth halves with each further aim; otherwise it falls evenly to the deadline.
    pub worth_halves: bool,
    /// Calls that may be out at once.
    pub slots: u32,
    /// Messages that may be held, sent or not.
    pub max_held: u32,
    /// Attempts that a message may have.
    pub max_attempts: u32,
    /// A running attempt may be called off.
    pub may_cancel: bool,
    /// A message may have two attempts out at once.
    pub may_copy: bool,
    /// Endpoints may be probed.
    pub may_probe: bool,
    /// Couriers may send each other notes.
    pub may_note: bool,
    /// The longest wait that clients heed after a refusal; 0 where they heed none.
    pub max_come_back: Time,
    /// Calls that one connection carries at once.
    pub calls_per_connection: u32,
    /// An idle connection closes after this.
    pub connection_idle: Time,
    /// A connection that takes longer than this has failed.
    pub connect_timeout: Time,
    /// How late a final answer may be.
    pub answer_slack: Time,
    /// A destination back from an outage has this share of its capacity.
    pub cold_share: f64,
    /// And all of it after this.
    pub warm_after: Time,
    /// Sent more than this multiple of what it can do now, it falls over,
    pub fall_multiple: f64,
    /// when that goes on for so long.
    pub fall_span: Time,
    /// How long a key rests after an attempt that may still run.
    pub key_rest: Time,
    /// The list of endpoints must be asked for.
    pub list_asked: bool,
    /// Without a watch, the list must be asked for within this.
    pub ask_within: Time,
    /// What the listed rates are worth.
    pub rates: Rates,
    /// Shortest distance of two rounds.
    pub tick: Time,
    /// Price of a new connection.
    pub connection_price: f64,
    /// Price of a call to another zone.
    pub crossing_price: f64,
    /// Price of work that served nothing.
    pub waste_price: f64,
    /// Price of worth left unserved after its aim.
    pub late_price: f64,
    /// Price of a probe for each message.
    pub probe_price: f64,
    /// Price of a full note for each message.
    pub note_price: f64,
    /// Price of a call refused above a limit.
    pub refused_price: f64,
    /// For each zone: price of a message that a route apart takes on there.
    pub route_fees: Vec<f64>,
}

/// A class of message.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// Served within this, a message has its full worth.
    pub aim: Time,
    /// How long it may be served.
    pub deadline: Time,
    /// Full worth of a message.
    pub worth: f64,
    /// The share of the worth that is left at the deadline.
    pub late_worth: f64,
    /// Whether it may be sent again.
    pub repeat: Repeat,
    /// Messages with one key go in turn.
    pub ordered: bool,
}

/// What a second run of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Repeat {
    /// No harm.
    Safe,
    /// It is dropped for `window` after the first; by all endpoints, or only by those in its zone.
    Keyed {
        /// How long the key is remembered.
        window: Time,
        /// Only endpoints in the zone of the first know the key.
        by_zone: bool,
    },
    /// It takes effect twice.
    Unsafe,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Kind {
    /// Its endpoints are separate routes, each with its own limit, pace and outages.
    pub routes_apart: bool,
    /// Messages that one call takes at most.
    pub per_call: u32,
}

/// What the rate in the list means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Rates {
    /// Nothing.
    #[default]
    Untold,
    /// Calls a second from all couriers, to within a half.
    Rough,
    /// Calls a second from all couriers.
    Exact,
}

/// State of an endpoint in the list; it tells nothing of health.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Listing {
    /// In service.
    Ready,
    /// To be left.
    Draining,
    /// Out of the list.
    #[default]
    Gone,
}

/// An entry of the list.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Endpoint {
    /// Its number.
    pub id: u32,
    /// The destination that it belongs to.
    pub destination: u32,
    /// The destination's kind.
    pub kind: u8,
    /// The zone that it stands in.
    pub zone: u8,
    /// Calls a second, as [`Settings::rates`] says.
    pub rate: f64,
    /// Its state.
    pub listing: Listing,
}

/// A message handed in.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Taken {
    /// Its number, never used twice.
    pub id: u32,
    /// Where it goes.
    pub destination: u32,
    /// Its class.
    pub class: u8,
    /// How long it may still be served.
    pub time_left: Time,
    /// Its key, 0 for none.
    pub key: u64,
    /// Its tenant.
    pub tenant: u32,
}

/// An attempt of an earlier run of this courier that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Open {
    /// Its number, counted from 0.
    pub attempt: u16,
    /// The zone of its endpoint.
    pub zone: u8,
    /// How long ago it was sent.
    pub ago: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Ending {
    /// Served.
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen, with a wait or 0.
    Full {
        /// Nothing may be sent for so long.
        wait: Time,
    },
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent.
    NotSent {
        /// Because all slots were taken.
        no_slot: bool,
    },
}

impl Ending {
    /// The endpoint has not run the message, and never will.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full { .. } | Ending::NoConnection | Ending::NotSent { .. })
    }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Outcome {
    /// The message.
    pub message: u32,
    /// The attempt, counted from 0.
    pub attempt: u16,
    /// Where it went.
    pub endpoint: u32,
    /// How it ended.
    pub ending: Ending,
    /// How long it took.
    pub took: Time,
    /// The message has its final answer.
    pub over: bool,
    /// Share of the limit that is left, if told.
    pub left: Option<f64>,
    /// The limit in calls a second, if told; 0 for none.
    pub limit: Option<f64>,
}

/// The end of a probe.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Probed {
    /// The endpoint.
    pub endpoint: u32,
    /// How it ended.
    pub ending: Ending,
    /// How long it took.
    pub took: Time,
    /// Share of the limit that is left, if told.
    pub left: Option<f64>,
    /// The limit in calls a second, if told; 0 for none.
    pub limit: Option<f64>,
}

/// What happened.
#[derive(Clone, Debug)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// News of the list.
    List {
        /// The entries are the whole list.
        whole: bool,
        /// Entries, or changed ones.
        entries: Vec<Endpoint>,
    },
    /// Asking for the list failed, or the watch broke.
    ListFailed,
    /// A message was handed in.
    Taken(Taken),
    /// A message that an earlier run of this courier took on and still owes its end. To be told in the order of
    /// taking, before any [`Event::Taken`].
    Resumed {
        /// The message; its number is not used again for another.
        taken: Taken,
        /// Attempts that it has had.
        attempts: u16,
        /// Those of them that may have run.
        open: Vec<Open>,
    },
    /// The client has gone.
    Withdrawn {
        /// Its message.
        message: u32,
    },
    /// An attempt ended. Told again of one that had ended before, it counts for its limit alone: a late answer
    /// that turns the call away and tells a wait.
    Ended(Outcome),
    /// A probe ended.
    Probed(Probed),
    /// A note from another courier.
    Note {
        /// Its number.
        from: u32,
        /// What it wrote.
        body: Vec<u8>,
    },
    /// A wake-up, perhaps an old one.
    Woken,
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Start the message's next attempt.
    Send {
        /// The message.
        message: u32,
        /// Where it goes.
        endpoint: u32,
        /// The attempt is given up at this clock time; 0: when the client gives up.
        until: Time,
    },
    /// Call off an attempt.
    Cancel {
        /// The message.
        message: u32,
        /// The attempt.
        attempt: u16,
    },
    /// Final answer: handed back, harmless to hand in again.
    Refuse {
        /// The message.
        message: u32,
        /// When it may come again; 0: not said.
        come_back: Time,
    },
    /// Final answer: failed.
    Fail {
        /// The message.
        message: u32,
    },
    /// Probe an endpoint; it counts as a call there and takes no slot.
    Probe {
        /// The endpoint.
        endpoint: u32,
    },
    /// Send a note to another courier or, without one, to all.
    Note {
        /// Its number.
        to: Option<u32>,
        /// At most 256 bytes.
        body: Vec<u8>,
    },
    /// Close the connections to an endpoint that no call is using.
    Close {
        /// The endpoint.
        endpoint: u32,
    },
    /// Watch the list from now on.
    Watch,
    /// A round is wanted at this clock time at the latest.
    Wake {
        /// The time.
        at: Time,
    },
    /// A line for those on call.
    Log(String),
}

impl Class {
    /// What a message of this age is worth: all within the aim, less with the time after it.
    pub fn worth_at(&self, age: Time, halves: bool) -> f64 {
        let late = (age as f64 - self.aim as f64).max(0.0);
        let kept = if halves {
            0.5f64.powf(late / self.aim.max(1) as f64).max(self.late_worth)
        } else {
            1.0 - (1.0 - self.late_worth) * late / (self.deadline.saturating_sub(self.aim)).max(1) as f64
        };
        self.worth * kept
    }
}
