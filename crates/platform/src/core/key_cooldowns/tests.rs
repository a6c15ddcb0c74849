//! Start and end of cooldowns.

use super::*;

#[test]
fn key_cooldown_ends_after_its_duration() {
    let mut cooldowns = KeyCooldowns::new(10);
    assert_eq!(cooldowns.start(7, 100), Some(110));
    assert!(cooldowns.is_cooling_down(7, 109) && !cooldowns.is_cooling_down(7, 110));
    assert!(!cooldowns.is_cooling_down(8, 100), "another key");
    assert_eq!((cooldowns.next_end(109), cooldowns.next_end(110)), (110, Time::MAX));
    assert_eq!(cooldowns.active(109).collect::<Vec<_>>(), [KeyCooldown { ordering_key: 7, until: 110 }]);
    assert_eq!(cooldowns.active(110).count(), 0);
}

#[test]
fn key_cooldown_without_key_or_duration_not_started() {
    assert_eq!(KeyCooldowns::new(10).start(0, 100), None);
    assert_eq!(KeyCooldowns::new(0).start(7, 100), None);
}
