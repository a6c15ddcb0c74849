//! Narrow moments on real connections: a request, an answer or a signal between two lines. Each test has the bad
//! order happen every time: the stand-ins do a thing when the test says so, and never by a clock.

mod process;

use process::*;

#[test]
fn a_wait_told_while_a_connection_is_made_binds_the_call_that_it_is_for() {
    let ((discovery, _), quick, mut late) = (discovery(), Gate::new(), Gate::late());
    let rig = Rig::with("wait", |listen| {
        let mut config = file(listen, &[quick.at, late.at], discovery);
        config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into();
        config
    });
    // Each endpoint gets one: the second goes to where none is out.
    assert_eq!((rig.hand_in("order", "a"), rig.hand_in("order", "b")), (202, 202));
    let mut first = quick.take();
    first.request();
    first.send("HTTP/1.1 429 No\r\nX-Backoff-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
    rig.settle();
    late.open();
    let mut second = late.take();
    rig.settle();
    assert!(second.is_still(), "the wait binds every endpoint of the destination");
    assert!(rig.log().contains("told to wait since"));
}
