//! Fleets drawn from a scenario and a seed: reproducibility, amount of traffic, and courier settings.

use linnetcart_edge::settings::Settings;
use linnetcart_scenario::fleet::Fleet;
use linnetcart_scenario::scenario::{Scenario, BUILT_IN};

#[test]
fn same_seed_draws_the_same_fleet_and_another_seed_does_not() {
    let draw = |seed| {
        let fleet = Fleet::draw(Scenario::find("bad-day").unwrap(), seed);
        (fleet.destinations, fleet.messages)
    };
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}

#[test]
fn traffic_is_as_heavy_as_the_scenario_says() {
    let fleet = Fleet::draw(Scenario::find("quiet").unwrap(), 1);
    let expected = fleet.full_load * fleet.scenario.traffic.load * fleet.scenario.seconds;
    let actual = fleet.messages.len() as f64;
    assert!((actual / expected - 1.0).abs() < 0.15, "{actual} of {expected}");
    assert!(fleet.messages.is_sorted_by_key(|message| message.at));
}

#[test]
fn courier_settings_are_accepted_by_the_edge() {
    for built_in in BUILT_IN {
        let name = built_in.name;
        for speed in [1.0, 4.0] {
            let fleet = Fleet::draw(Scenario::find(name).unwrap().faster(speed), 1);
            let settings = Settings::parse(fleet.settings(0).to_string().as_bytes());
            settings.unwrap_or_else(|error| panic!("{name} at {speed}: {error}"));
        }
    }
}
