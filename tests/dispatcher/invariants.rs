//! The six rules under random events, and determinism.

use crate::support::*;
use crate::world::World;
use linnetcart::*;

/// The number of sends and the actions of each cycle of a random walk of 30 s.
struct Walk {
    sends: usize,
    actions: Vec<Vec<Action>>,
}

fn walk(seed: u64, couriers: u32) -> Walk {
    let mut world = World::new(seed, Settings { courier_count: couriers, ..settings() });
    let mut dispatcher = Dispatcher::new(world.settings.clone(), seed);
    let mut log = vec![dispatcher.decide(world.now, vec![endpoint_list()])];
    let mut pending = Vec::new();
    for _ in 0..3000 {
        world.now += 10 * MILLISECOND;
        let mut events = std::mem::take(&mut pending);
        events.extend(world.events());
        let actions = dispatcher.decide(world.now, events);
        pending = world.check(&actions);
        log.push(actions);
    }
    Walk { sends: world.sends, actions: log }
}

#[test]
fn random_walk_keeps_the_six_rules() {
    for seed in 1..=8 {
        for couriers in [2, 100] {
            let sends = walk(seed, couriers).sends;
            assert!(sends > 20, "the walk of seed {seed} with {couriers} couriers made {sends} sends");
        }
    }
}

#[test]
fn identical_events_interleaved_with_others_give_identical_actions() {
    assert_eq!(walk(5, 2).actions, walk(5, 2).actions);
    assert_eq!(walk(5, 100).actions, walk(5, 100).actions);
    let mut first = Dispatcher::new(settings(), 1);
    let mut second = Dispatcher::new(settings(), 1);
    let mut other = Dispatcher::new(settings(), 9);
    for step in 0..50u32 {
        let now = SECOND + Time::from(step) * 40 * MILLISECOND;
        let message = accepted(step, 1 + step % 3, IDEMPOTENT);
        let events = if step == 0 { vec![endpoint_list()] } else { vec![message] };
        let expected = first.decide(now, events.clone());
        other.decide(now, vec![endpoint_list(), accepted(1000 + step, SHARED_LIMIT, NOT_IDEMPOTENT)]);
        assert_eq!(expected, second.decide(now, events));
    }
}
