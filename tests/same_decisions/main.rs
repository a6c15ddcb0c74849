//! Regression test of all decisions: random simulations in virtual time, each with a recorded CRC-32C digest
//! of the dispatcher's actions. A different digest means that some decision changed. If that is on purpose,
//! record the new digests, with the reason and the bench's figures.

mod endpoint_model;
mod random_settings;
mod world;

use linnetcart::{Action, Dispatcher};
use world::World;

/// Decision cycles per simulation.
const CYCLES: usize = 600;
/// Number of simulations; their seeds count from 0.
const WORLDS: u64 = 24;

/// Formats an action for the digest, with the names of the first version: renames in the code must not change
/// the digests.
fn stable_text(action: &Action) -> String {
    match action {
        Action::Send { .. } | Action::Cancel { .. } | Action::Fail { .. } => format!("{action:?}"),
        Action::Reject { message, retry_after } => {
            format!("Refuse {{ message: {message}, come_back: {retry_after} }}")
        }
        Action::HealthCheck { endpoint } => format!("Probe {{ endpoint: {endpoint} }}"),
        Action::Gossip { to, body } => format!("Note {{ to: {to:?}, body: {body:?} }}"),
        Action::CloseIdle { endpoint } => format!("Close {{ endpoint: {endpoint} }}"),
        Action::WatchEndpoints => "Watch".to_owned(),
        Action::WakeUp { at } => format!("Wake {{ at: {at} }}"),
        Action::LimitChanged(change) => format!("Log({:?})", change.to_string()),
    }
}

/// Runs a simulation and returns the CRC-32C of the times and actions of all its decision cycles.
fn digest(seed: u64) -> u32 {
    let mut world = World::new(seed);
    let mut dispatcher = Dispatcher::new(world.settings.clone(), seed);
    let mut digest = 0;
    for _ in 0..CYCLES {
        let events = world.events();
        let actions = dispatcher.decide(world.now, events);
        let texts: Vec<String> = actions.iter().map(stable_text).collect();
        let line = format!("{} [{}]\n", world.now, texts.join(", "));
        digest = crc32c::crc32c_append(digest, line.as_bytes());
        world.apply(&actions);
    }
    digest
}

#[test]
fn recorded_worlds_replayed_give_the_same_digests() {
    let digests: Vec<String> = (0..WORLDS).map(|seed| format!("{seed} {:08x}", digest(seed))).collect();
    let recorded: Vec<&str> = include_str!("../same_decisions.txt").lines().collect();
    assert_eq!(digests, recorded, "all digests now:\n{}", digests.join("\n"));
}
