//! The Kafka front under peers that make it hold memory, leave early or take another's address. The peak of the
//! process, read from the system, stays under the limit of its options.

#[path = "support/control.rs"]
mod control;
#[path = "support/started_courier.rs"]
#[allow(dead_code)]
mod started_courier;
#[path = "support/work_folder.rs"]
mod work_folder;

#[path = "kafka_peers/address.rs"]
mod address;
#[path = "kafka_peers/leaving.rs"]
mod leaving;
#[path = "kafka_peers/memory.rs"]
mod memory;
#[path = "kafka_peers/producer.rs"]
mod producer;
