use super::*;

#[test]
fn events_of_the_same_instant_pop_in_scheduling_order() {
    let mut queue = EventQueue::new();
    queue.schedule(7, "second");
    queue.schedule(7, "third");
    queue.schedule(3, "first");
    assert_eq!(queue.pop(), Some("first"));
    queue.schedule(1, "not before the present");
    assert_eq!((queue.next_due(), queue.pop()), (Some(3), Some("not before the present")));
    assert_eq!((queue.pop(), queue.pop()), (Some("second"), Some("third")));
    assert_eq!((queue.now(), queue.processed()), (7, 4));
}
