//! Clients that send bytes behind a request, a request while its predecessor is open, or a request that is cut
//! in two by a close.

use crate::courier::{platform_config, submission, wait_until, CourierProcess};
use crate::peer::{GatedListener, Peer};
use crate::stubs::{discovery_stub, endpoint_stub, Stub};

fn courier_with_stubs(name: &str) -> (CourierProcess, Stub, Stub) {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let courier = CourierProcess::new(name, endpoint.address, discovery.address);
    (courier, endpoint, discovery)
}

/// Checks that a later message is delivered once, and that no other was sent.
fn check_only_later_message_sent(courier: &CourierProcess, endpoint: &Stub) {
    assert_eq!(courier.submit("order", "later"), 202);
    wait_until("the later message is delivered", || endpoint.count_matching("later") == 1);
    assert_eq!(endpoint.requests(), ["later"]);
}

#[test]
fn bytes_behind_request_reject_it_and_admit_nothing() {
    let (courier, endpoint, _discovery) = courier_with_stubs("bytes-behind");
    let request = submission("order", "a", "");
    for behind in [request.clone(), submission("order", "b", ""), request[..40].to_owned(), "x".to_owned()] {
        let mut client = Peer::connect(courier.listen);
        client.send(&format!("{request}{behind}"));
        assert_eq!(client.read_response().status, 400);
        assert!(client.closes_without_data());
    }
    check_only_later_message_sent(&courier, &endpoint);
}

#[test]
fn request_cut_in_two_by_close_admits_nothing() {
    let (courier, endpoint, _discovery) = courier_with_stubs("cut-request");
    let request = submission("order", "a", "Content-Length: 5\r\n") + "hello";
    for cut in (1..request.len()).step_by(7) {
        for half_closes in [false, true] {
            let mut client = Peer::connect(courier.listen);
            client.send(&request[..cut]);
            if half_closes {
                client.half_close();
                client.read_to_end();
            }
        }
        let mut rest = Peer::connect(courier.listen);
        rest.send(&request[cut..]);
    }
    courier.wait_until_input_processed();
    check_only_later_message_sent(&courier, &endpoint);
}

/// The rest of a request must not be read as the start of the next one, whose client is another.
#[test]
fn request_behind_answered_one_is_admitted_under_its_own_id() {
    let discovery = discovery_stub();
    let endpoint = GatedListener::new();
    let courier = CourierProcess::with_config("two-requests", |listen| {
        platform_config(listen, &[endpoint.address], discovery.address)
    });
    let mut client = Peer::connect(courier.listen);
    client.send(&submission("order", "a", ""));
    assert_eq!(client.read_response().status, 202);
    // The attempt of the first message is still open.
    let mut first = endpoint.accept();
    assert_eq!(first.read_request(), "a");
    client.send(&submission("order", "b", ""));
    assert_eq!(client.read_response().status, 202);
    assert_eq!(endpoint.accept().read_request(), "b");
    assert!(first.is_silent());
}
