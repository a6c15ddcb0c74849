//! Fixtures that the tests share: settings, an endpoint list, events, and filters of actions.

use linnetcart::*;
use std::collections::BTreeMap;

pub const MILLISECOND: Time = 1_000_000;
pub const SECOND: Time = 1_000 * MILLISECOND;

/// Classes of message in [`settings`].
pub const IDEMPOTENT: u8 = 0;
pub const KEYED: u8 = 1;
pub const NOT_IDEMPOTENT: u8 = 2;
pub const ORDERED: u8 = 3;
pub const ZONE_KEYED: u8 = 4;

/// A destination whose endpoints share its limit.
pub const SHARED_LIMIT: u32 = 1;
/// A destination of independent routes.
pub const INDEPENDENT_ROUTES: u32 = 2;
/// A destination whose calls carry up to three messages.
pub const BATCHING: u32 = 3;

/// The classes of message, in the order of their constants.
fn classes() -> Vec<Class> {
    let class = |idempotency, ordered| Class {
        latency_objective: 3 * SECOND,
        deadline: 20 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency,
        ordered,
    };
    vec![
        class(Idempotency::Idempotent, false),
        class(Idempotency::Keyed { dedup_window: 8 * SECOND, per_zone: false }, false),
        class(Idempotency::NotIdempotent, false),
        class(Idempotency::Idempotent, true),
        class(Idempotency::Keyed { dedup_window: 8 * SECOND, per_zone: true }, false),
    ]
}

/// The settings of most tests: two couriers, eight calls and sixty messages in flight.
pub fn settings() -> Settings {
    Settings {
        courier_count: 2,
        classes: classes(),
        kinds: vec![
            DestinationKind { independent_routes: false, max_messages_per_call: 1 },
            DestinationKind { independent_routes: true, max_messages_per_call: 1 },
            DestinationKind { independent_routes: false, max_messages_per_call: 3 },
        ],
        max_in_flight_calls: 8,
        max_in_flight_messages: 60,
        max_attempts: 6,
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: 3 * SECOND,
        calls_per_connection: 1,
        idle_timeout: 10 * SECOND,
        connect_timeout: SECOND,
        answer_grace: 20 * MILLISECOND,
        slow_start_ratio: 0.2,
        slow_start_duration: 10 * SECOND,
        overload_ratio: 2.0,
        overload_window: 2 * SECOND,
        key_cooldown: 100 * MILLISECOND,
        max_poll_interval: 10 * SECOND,
        tick: 5 * MILLISECOND,
        ..Settings::default()
    }
}

pub fn endpoint(id: u32, destination: u32, kind: u8, status: EndpointStatus) -> Endpoint {
    Endpoint { id, destination, kind, zone: (id % 2) as u8, rate: 0.0, status }
}

/// The complete list of three destinations with two endpoints each: 10 and 11, 20 and 21, 30 and 31.
pub fn endpoint_list() -> Event {
    let mut entries = Vec::new();
    for destination in [SHARED_LIMIT, INDEPENDENT_ROUTES, BATCHING] {
        let kind = destination as u8 - 1;
        for id in [destination * 10, destination * 10 + 1] {
            entries.push(endpoint(id, destination, kind, EndpointStatus::Ready));
        }
    }
    Event::EndpointList { complete: true, entries }
}

/// An update of the list by one entry.
pub fn endpoint_update(entry: Endpoint) -> Event {
    Event::EndpointList { complete: false, entries: vec![entry] }
}

pub fn message(id: u32, destination: u32, class: u8, ordering_key: u64) -> AcceptedMessage {
    AcceptedMessage { id, destination, class, time_remaining: 20 * SECOND, ordering_key, tenant: 0 }
}

pub fn accepted(id: u32, destination: u32, class: u8) -> Event {
    Event::Accepted(message(id, destination, class, 0))
}

pub fn accepted_with_key(id: u32, destination: u32, class: u8, ordering_key: u64) -> Event {
    Event::Accepted(message(id, destination, class, ordering_key))
}

pub fn cancelled_by_client(message: u32) -> Event {
    Event::ClientCancelled { message }
}

/// The result of an attempt that took 100 ms; the message is completed if it was served.
pub fn result(message: u32, attempt: u16, endpoint: u32, outcome: AttemptOutcome) -> AttemptResult {
    AttemptResult {
        message,
        attempt,
        endpoint,
        outcome,
        elapsed: 100 * MILLISECOND,
        completed: outcome == AttemptOutcome::Served,
        capacity_left: None,
        rate_limit: None,
    }
}

pub fn finished(message: u32, attempt: u16, endpoint: u32, outcome: AttemptOutcome) -> Event {
    Event::AttemptFinished(result(message, attempt, endpoint, outcome))
}

/// A message and the endpoint that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    pub message: u32,
    pub endpoint: u32,
}

pub fn sends(actions: &[Action]) -> Vec<Sent> {
    let sent = |action: &Action| match *action {
        Action::Send { message, endpoint, .. } => Some(Sent { message, endpoint }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Runs a decision cycle with these events and returns what it sends.
pub fn sends_after(dispatcher: &mut Dispatcher, now: Time, events: Vec<Event>) -> Vec<Sent> {
    sends(&dispatcher.decide(now, events))
}

/// Runs a decision cycle with a wake-up only and returns what it sends.
pub fn sends_on_wake_up(dispatcher: &mut Dispatcher, now: Time) -> Vec<Sent> {
    sends_after(dispatcher, now, vec![Event::WokenUp])
}

/// Messages that were rejected.
pub fn rejections(actions: &[Action]) -> Vec<u32> {
    let rejected = |action: &Action| match *action {
        Action::Reject { message, .. } => Some(message),
        _ => None,
    };
    actions.iter().filter_map(rejected).collect()
}

pub fn limit_changes(actions: &[Action]) -> Vec<LimitChange> {
    let change = |action: &Action| match *action {
        Action::LimitChanged(change) => Some(change),
        _ => None,
    };
    actions.iter().filter_map(change).collect()
}

pub fn cancels(actions: &[Action], message: u32, attempt: u16) -> bool {
    actions.contains(&Action::Cancel { message, attempt })
}

/// A dispatcher that was given the endpoint list at one second.
pub fn dispatcher_with(settings: Settings) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(settings, 1);
    dispatcher.decide(SECOND, vec![endpoint_list()]);
    dispatcher
}

/// Serves `count` messages at a destination, 100 ms each, and returns the clock after them.
pub fn warm_up(dispatcher: &mut Dispatcher, destination: u32, count: u32, mut now: Time) -> Time {
    for id in 1_000_000..1_000_000 + count {
        let sent = sends_after(dispatcher, now, vec![accepted(id, destination, IDEMPOTENT)]);
        assert_eq!(sent.len(), 1, "message {id} is sent at once");
        now += 100 * MILLISECOND;
        dispatcher.decide(now, vec![finished(id, 0, sent[0].endpoint, AttemptOutcome::Served)]);
    }
    now
}

/// A dispatcher that has served 20 messages at [`SHARED_LIMIT`], and the clock after them.
pub struct WarmedUp {
    pub dispatcher: Dispatcher,
    pub now: Time,
}

pub fn warmed_up() -> WarmedUp {
    warmed_up_with(settings())
}

pub fn warmed_up_with(settings: Settings) -> WarmedUp {
    let mut dispatcher = dispatcher_with(settings);
    let now = warm_up(&mut dispatcher, SHARED_LIMIT, 20, SECOND);
    WarmedUp { dispatcher, now }
}

/// Dispatchers with different seeds, given the same endpoints with exact rate limits of `rate` calls a
/// second.
pub fn fleet(couriers: u32, rate: f64) -> Vec<Dispatcher> {
    let settings = Settings { courier_count: couriers, rate_accuracy: RateAccuracy::Exact, ..settings() };
    let entry =
        |id, destination, kind| Endpoint { rate, ..endpoint(id, destination, kind, EndpointStatus::Ready) };
    let entries = vec![
        entry(10, SHARED_LIMIT, 0),
        entry(11, SHARED_LIMIT, 0),
        entry(20, INDEPENDENT_ROUTES, 1),
        entry(21, INDEPENDENT_ROUTES, 1),
    ];
    let mut fleet = Vec::new();
    for courier in 0..couriers {
        let mut dispatcher = Dispatcher::new(settings.clone(), u64::from(courier) + 1);
        dispatcher.decide(SECOND, vec![Event::EndpointList { complete: true, entries: entries.clone() }]);
        fleet.push(dispatcher);
    }
    fleet
}

/// Numbers the attempts of one courier's messages.
#[derive(Clone, Default)]
pub struct AttemptCounter {
    made: BTreeMap<u32, u16>,
}

impl AttemptCounter {
    /// The number of the message's next attempt, counted from 0.
    pub fn next(&mut self, message: u32) -> u16 {
        let made = self.made.entry(message).or_default();
        *made += 1;
        *made - 1
    }
}
