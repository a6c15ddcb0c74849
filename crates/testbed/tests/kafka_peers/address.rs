//! A new endpoint at the address of an earlier one.

use crate::producer::{Answers, Endpoint, Producer};
use crate::started_courier::{endpoint_list, Courier};
use crate::work_folder::work_folder;
use linnetcart_kafka::codes;
use serde_json::Value;

/// The update that lists endpoint 2, of destination 1, at this address.
fn successor(version: u64, endpoint: &Endpoint) -> Value {
    let mut list = endpoint_list(version, endpoint.address);
    list["whole"] = false.into();
    list["entries"][0]["id"] = 2.into();
    list["entries"][0]["destination"] = 1.into();
    list
}

#[test]
fn nothing_of_the_old_endpoint_is_sent_to_its_successor_at_the_address_on_the_kafka_front() {
    let dir = work_folder("kafka-successor");
    let endpoint = Endpoint::start(Answers::Served);
    let courier = Courier::start(&dir);
    courier.configure(endpoint.address);
    let mut producer = Producer::connect(courier.kafka);
    for number in 0..5 {
        assert_eq!(producer.submit(number, &format!("before-{number}.")), Some(codes::NONE));
    }
    let before = endpoint.calls().len();
    assert_eq!(courier.put_status("/list", &successor(2, &endpoint)), 200);
    let code = producer.submit(9, "for-the-old.");
    assert_ne!(code, Some(codes::NONE), "the successor belongs to another destination");
    assert_eq!(endpoint.calls().len(), before);
}
