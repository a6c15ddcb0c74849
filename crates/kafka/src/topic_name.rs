//! Conversion of topic names to the type of the protocol library.

use kafka_protocol::messages::TopicName;
use kafka_protocol::protocol::StrBytes;

pub(crate) fn topic_name(name: &str) -> TopicName {
    TopicName(StrBytes::from_string(name.to_owned()))
}
