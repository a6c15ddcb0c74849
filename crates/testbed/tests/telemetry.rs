//! Reports of a courier process to receivers on sockets: the last counts that receivers have agree with the
//! answers that clients counted.

#[path = "support/collectd_packets.rs"]
mod collectd_packets;
#[path = "support/control.rs"]
mod control;
#[path = "support/counting_client.rs"]
mod counting_client;
#[path = "support/kafka.rs"]
mod kafka;
#[path = "support/reporting_courier.rs"]
mod reporting_courier;
#[path = "support/work_folder.rs"]
mod work_folder;

use collectd_packets::{load_packet, signed_by_alice};
use counting_client::{AnswerCounts, Client};
use linnetcart_kafka::codes;
use linnetcart_telemetry::settings::Require;
use linnetcart_telemetry::stream::Stream;
use linnetcart_testbed::courier_process::CourierProcess;
use linnetcart_testbed::message_receivers::{MessageReceivers, ReceiverCounts};
use linnetcart_testbed::report_receiver::{Behaviour, ListenAddresses, ReportReceiver};
use reporting_courier::{
    any_port, configure, get_json, graphite_address, graphite_receiver, last_value, shut_down, start,
    wait_until, ReceiverKind,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::Duration;
use work_folder::work_folder;

/// Delivers messages by a courier that is killed after the first report, and then three times right after the
/// last answer of a batch of messages. Afterwards the courier delivers while the receiver does not listen.
/// Returns once the receiver has the count of all submitted messages.
fn deliver_over_faults(
    dir: &Path,
    endpoints: &MessageReceivers,
    receiver: &ReportReceiver,
    telemetry: &Value,
) -> AnswerCounts {
    let mut counts = AnswerCounts::default();
    let courier = start(dir);
    configure(&courier, endpoints);
    control::put(courier.control, "/telemetry", telemetry);
    counts.deliver(courier.kafka, 40);
    wait_until("the first report", || receiver.stream().points > 0);
    // Dropping a courier kills it with SIGKILL.
    drop(courier);
    for _ in 0..3 {
        let courier = start(dir);
        counts.deliver(courier.kafka, 15);
        drop(courier);
    }
    let courier = start(dir);
    receiver.behave(Behaviour::Absent);
    counts.deliver(courier.kafka, 30);
    std::thread::sleep(Duration::from_millis(1200));
    receiver.behave(Behaviour::Reads);
    counts.deliver(courier.kafka, 10);
    let submitted = counts.submitted as f64;
    wait_until("the count of all submitted messages", || {
        last_value(&receiver.stream(), "courier", "taken", ReceiverKind::Graphite) == Some(submitted)
    });
    shut_down(courier);
    counts
}

/// Asserts that the last counts in the reports are the clients' counts, per courier, destination and class.
fn assert_counts(stream: &Stream, counts: &AnswerCounts, kind: ReceiverKind) {
    let value = |subject: &str, metric: &str| last_value(stream, subject, metric, kind).unwrap_or(0.0);
    let submitted = counts.submitted as f64;
    for subject in ["courier", "dest.Bank_Lodz"] {
        assert_eq!(value(subject, "taken"), submitted, "{subject} {kind:?}");
        assert_eq!(value(subject, "in_aim") + value(subject, "late"), counts.served as f64);
        assert_eq!(value(subject, "refused") + value(subject, "failed"), counts.other as f64);
    }
    let classes = value("class.order", "taken") + value("class.query", "taken");
    assert_eq!(classes, submitted);
    assert!(value("dest.Bank_Lodz", "latency_p50_ms") > 0.0 && value("courier", "slots") == 16.0);
}

/// How a courier reports to Graphite and collectd.
struct ReportProtocols {
    /// The Graphite protocol, as the settings name it.
    graphite: &'static str,
    /// The security of collectd packets, as in the settings.
    collectd_security: Value,
    /// The security that the receiver requires of collectd packets.
    require: Require,
}

/// Guards against reported counts that fall, lose answered messages or count them twice, when a courier
/// restarts from its counter log or reconnects to a receiver.
#[test]
fn reported_counts_match_clients_after_kills_and_a_receiver_outage() {
    let dir = work_folder("ends");
    let endpoints = MessageReceivers::start(ReceiverCounts::serving(1)).unwrap();
    let user = json!({"user": "alice", "key": "secret"});
    let cases = [
        ReportProtocols {
            graphite: "plaintext",
            collectd_security: json!("none"),
            require: Require::Nothing,
        },
        ReportProtocols {
            graphite: "pickle",
            collectd_security: json!({"sign": user}),
            require: Require::Signed,
        },
        ReportProtocols {
            graphite: "pickle",
            collectd_security: json!({"encrypt": user}),
            require: Require::Encrypted,
        },
    ];
    for (index, protocols) in cases.iter().enumerate() {
        let addresses = ListenAddresses {
            graphite: Some(any_port()),
            collectd: Some(any_port()),
            users: BTreeMap::from([("alice".to_owned(), vec!["secret".to_owned()])]),
            require: protocols.require,
        };
        let receiver = ReportReceiver::start(addresses, None).unwrap();
        let collectd_address = receiver.collectd.unwrap().to_string();
        let telemetry = json!({
            "interval_s": 1, "names": {"0": "Bank Łódź"},
            "graphite": {"address": graphite_address(&receiver), "form": protocols.graphite},
            "collectd": {"address": collectd_address, "security": protocols.collectd_security},
        });
        let counts = deliver_over_faults(&dir.join(index.to_string()), &endpoints, &receiver, &telemetry);
        let stream = receiver.stream();
        assert_eq!((&stream.regressions, stream.invalid_items), (&Vec::new(), 0), "{:?}", stream.last_error);
        assert_counts(&stream, &counts, ReceiverKind::Graphite);
        assert_counts(&stream, &counts, ReceiverKind::Collectd);
    }
    std::fs::remove_dir_all(dir).unwrap();
}

/// Submits messages and kills the courier after `answers_before_kill` answers. Returns how many answers said
/// that a message was served, including answers that arrived after the kill because they were sent before it.
fn kill_under_load(courier: CourierProcess, messages: u64, answers_before_kill: u64) -> u64 {
    let mut client = Client::new(courier.kafka);
    for _ in 0..messages {
        client.submit("query");
    }
    let mut served = 0;
    for _ in 0..answers_before_kill {
        served += u64::from(client.next_answer() == Some(codes::NONE));
    }
    drop(courier);
    while let Some(code) = client.next_answer() {
        served += u64::from(code == codes::NONE);
    }
    served
}

/// Guards against an answer that is sent before the counts of the message are in the counter log: after a
/// kill, the reports would lack the message for good. Reports may count messages whose answers were lost in
/// the kill.
#[test]
fn courier_killed_under_load_reports_no_less_than_clients_received() {
    let dir = work_folder("middle");
    let endpoints = MessageReceivers::start(ReceiverCounts::serving(1)).unwrap();
    let receiver = graphite_receiver();
    let telemetry = json!({"interval_s": 1, "graphite": {"address": graphite_address(&receiver)}});
    let (mut submitted, mut served) = (0, 0);
    for incarnation in 0..4 {
        let courier = start(&dir);
        if incarnation == 0 {
            configure(&courier, &endpoints);
            control::put(courier.control, "/telemetry", &telemetry);
        }
        submitted += 60;
        served += kill_under_load(courier, 60, 20);
    }
    let courier = start(&dir);
    wait_until("a report of the last run", || {
        get_json(&courier, "/status")["telemetry"]["reports"].as_u64() > Some(1)
    });
    shut_down(courier);
    let stream = receiver.stream();
    assert_eq!(stream.regressions, Vec::<String>::new());
    let value =
        |metric: &str| last_value(&stream, "courier", metric, ReceiverKind::Graphite).unwrap_or(0.0) as u64;
    let (accepted, reported_served) = (value("taken"), value("in_aim") + value("late"));
    assert!(
        accepted <= submitted && reported_served <= accepted && reported_served >= served,
        "{submitted} submitted, {served} served; reported: {accepted} accepted, {reported_served} served"
    );
    std::fs::remove_dir_all(dir).unwrap();
}

/// Asserts that telemetry settings are rejected, and returns the field that the answer names.
fn rejected_field(courier: &CourierProcess, telemetry: &Value) -> String {
    let reply = control::request(courier.control, "PUT", "/telemetry", &telemetry.to_string());
    assert_eq!(reply.status, 422, "{}", reply.body);
    let body: Value = serde_json::from_str(&reply.body).unwrap();
    body["error"]["field"].as_str().unwrap().to_owned()
}

/// A receiver that stops reading or resets its connections does not affect deliveries. A new receiver in the
/// settings receives the complete counts without a restart of the courier.
#[test]
fn unresponsive_receiver_harms_no_delivery_and_is_replaced_without_a_restart() {
    let dir = work_folder("unresponsive");
    let endpoints = MessageReceivers::start(ReceiverCounts::serving(1)).unwrap();
    let first = graphite_receiver();
    let second = graphite_receiver();
    let telemetry_to = |receiver: &ReportReceiver| {
        let graphite = json!({"address": graphite_address(receiver), "stuck_s": 1});
        json!({"interval_s": 1, "graphite": graphite})
    };
    let courier = start(&dir);
    configure(&courier, &endpoints);
    assert_eq!(rejected_field(&courier, &json!({"interval_s": 0})), "interval_s");
    let field = rejected_field(&courier, &json!({"graphite": {"adress": "x"}}));
    assert!(field.contains("graphite"), "{field}");
    first.behave(Behaviour::NeverReads);
    control::put(courier.control, "/telemetry", &telemetry_to(&first));
    let mut counts = AnswerCounts::default();
    counts.deliver(courier.kafka, 100);
    first.behave(Behaviour::Resets);
    counts.deliver(courier.kafka, 100);
    std::thread::sleep(Duration::from_millis(1500));
    counts.deliver(courier.kafka, 100);
    assert_eq!((counts.served, counts.other), (300, 0));
    control::put(courier.control, "/telemetry", &telemetry_to(&second));
    wait_until("the complete count at the second receiver", || {
        last_value(&second.stream(), "courier", "taken", ReceiverKind::Graphite) == Some(300.0)
    });
    drop(courier);
    // The telemetry settings are recovered from the snapshot.
    let courier = start(&dir);
    let settings = get_json(&courier, "/telemetry");
    assert_eq!(settings["in_force"]["graphite"]["address"], graphite_address(&second));
    drop(courier);
    std::fs::remove_dir_all(dir).unwrap();
}

/// A UDP address that was free when it was looked up; the courier binds it later.
fn free_udp_address() -> SocketAddr {
    UdpSocket::bind(any_port()).unwrap().local_addr().unwrap()
}

/// A courier that listens for the host's collectd accepts packets signed with any key of the user. Packets
/// that are malformed, unsigned or signed with another key are only counted.
#[test]
fn host_metrics_are_accepted_and_invalid_packets_are_only_counted() {
    let dir = work_folder("host");
    let endpoints = MessageReceivers::start(ReceiverCounts::serving(1)).unwrap();
    let courier = start(&dir);
    configure(&courier, &endpoints);
    let address = free_udp_address();
    let users = json!({"alice": ["new", "old"]});
    let telemetry = json!({"listen": {"address": address.to_string(), "require": "signed", "users": users}});
    control::put(courier.control, "/telemetry", &telemetry);
    let shown = get_json(&courier, "/telemetry");
    assert!(!shown.to_string().contains("old"), "the settings show a key: {shown}");
    // Settings that were read without their keys can be written back; the courier keeps the keys.
    control::put(courier.control, "/telemetry", &shown["in_force"]);
    let host_collectd = UdpSocket::bind(any_port()).unwrap();
    let send = |packet: &[u8]| host_collectd.send_to(packet, address).unwrap();
    for byte in 0..200u8 {
        send(&[byte; 90]);
    }
    send(&load_packet([9.0, 9.0, 9.0]));
    send(&signed_by_alice(&load_packet([8.0, 8.0, 8.0]), "guessed"));
    send(&signed_by_alice(&load_packet([1.5, 1.0, 0.5]), "old"));
    let host = || get_json(&courier, "/status")["telemetry"]["host"].clone();
    wait_until("the load signed with the old key", || host()["load"] == json!([1.5, 1.0, 0.5]));
    send(&signed_by_alice(&load_packet([2.5, 1.0, 0.5]), "new"));
    wait_until("the load signed with the new key", || host()["load"] == json!([2.5, 1.0, 0.5]));
    assert!(host()["bad"].as_u64() >= Some(200), "{}", host());
    let mut counts = AnswerCounts::default();
    counts.deliver(courier.kafka, 20);
    assert_eq!(counts.served, 20);
    drop(courier);
    std::fs::remove_dir_all(dir).unwrap();
}
