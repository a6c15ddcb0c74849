use super::*;

fn notification(owner: LimitOwner, state: LimitState) -> StateNotification {
    StateNotification::new(3, "kolo", StateChange { owner, state })
}

#[test]
fn state_change_is_described_with_owner_and_severity() {
    let ejected = notification(LimitOwner::Destination, LimitState::Ejected);
    assert_eq!(ejected.plugin_instance, "dest-kolo");
    assert_eq!((ejected.severity, ejected.text.as_str()), (Severity::Failure, "destination 3 is out"));
    let recovering = notification(LimitOwner::Route(31), LimitState::Recovering);
    assert_eq!(recovering.plugin_instance, "dest-kolo-route-31");
    assert_eq!(recovering.severity, Severity::Warning);
    assert_eq!(recovering.text, "destination 3 route 31 is back, warming up");
    let healthy = notification(LimitOwner::Destination, LimitState::Healthy);
    assert_eq!((healthy.severity, healthy.text.as_str()), (Severity::Okay, "destination 3 is in service"));
}

#[test]
fn queue_over_limit_drops_oldest() {
    let mut queue = NotificationQueue::default();
    for endpoint in 0..MAX_NOTIFICATIONS as u32 + 5 {
        queue.push(notification(LimitOwner::Route(endpoint), LimitState::Ejected));
    }
    let notifications = queue.take();
    assert_eq!(notifications.len(), MAX_NOTIFICATIONS);
    assert_eq!(notifications[0].plugin_instance, "dest-kolo-route-5");
    assert!(queue.take().is_empty());
}
