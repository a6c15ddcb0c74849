//! A client that closes its connection with much still unread, and one that only sends no more.

use crate::producer::{produce_request, Answers, Endpoint, Producer};
use crate::started_courier::{settings, Courier};
use crate::work_folder::work_folder;
use socket2::SockRef;
use std::net::Shutdown;
use std::time::Duration;

const REQUESTS: usize = 400;
/// Longer than the courier needs to notice that the client has left.
const NOTICED: Duration = Duration::from_millis(300);
/// Longer than the deadline of the messages.
const AFTER_DEADLINE: Duration = Duration::from_millis(1500);

/// The first request is never answered, so that no answer is written to the client; those behind it are served while
/// its connection is paused, and most are unread when it resets its connection.
#[test]
fn requests_of_a_client_that_left_are_not_sent_on() {
    let dir = work_folder("kafka-left");
    let endpoint = Endpoint::start(Answers::SlowlyButTheFirst);
    let courier = Courier::start(&dir);
    let mut document = settings();
    document["limits"]["held"] = 10_000.into();
    document["limits"]["pipelined"] = 64.into();
    crate::control::put(courier.control, "/settings", &document);
    crate::control::put(
        courier.control,
        "/list",
        &crate::started_courier::endpoint_list(1, endpoint.address),
    );
    let mut client = Producer::connect(courier.kafka);
    for number in 0..REQUESTS {
        client.send(&produce_request(number as i32, "order", &format!("left-{number}.")));
    }
    std::thread::sleep(Duration::from_millis(100));
    SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).expect("an option");
    drop(client);
    std::thread::sleep(NOTICED);
    let noticed = endpoint.calls().len();
    std::thread::sleep(AFTER_DEADLINE);
    let calls = endpoint.calls();
    println!("calls before the client left: {noticed}, after: {}", calls.len());
    assert_eq!(calls.len(), noticed, "sent on after the client had left");
}

/// More requests than one iteration takes of a connection, and then the end of the sending side.
#[test]
fn requests_before_a_half_close_are_all_answered() {
    let dir = work_folder("kafka-half-close");
    let endpoint = Endpoint::start(Answers::Served);
    let courier = Courier::start(&dir);
    courier.configure(endpoint.address);
    let mut client = Producer::connect(courier.kafka);
    // An unknown topic is answered at once: no message keeps the connection open.
    let requests: Vec<u8> =
        (0..REQUESTS).flat_map(|number| produce_request(number as i32, "unknown", "x")).collect();
    assert!(client.send(&requests));
    client.stream.shutdown(Shutdown::Write).expect("it is open");
    let answered = std::iter::from_fn(|| client.read_code()).count();
    assert_eq!(answered, REQUESTS);
}
