//! Reports of a real courier to stand-in receivers on sockets: what they end with is what clients counted.

#[path = "support/kafka.rs"]
mod kafka;
#[path = "support/work_folder.rs"]
mod work_folder;

use kafka::{produce_request, read_reply};
use linnetcart_kafka::{codes, Frames};
use linnetcart_telemetry::settings::Require;
use linnetcart_telemetry::stream::Stream;
use linnetcart_testbed::courier_process::{http_request, CourierOptions, CourierProcess};
use linnetcart_testbed::message_receivers::MessageReceivers;
use linnetcart_testbed::report_receiver::{Behaviour, ListenAddresses, ReportReceiver};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use work_folder::work_folder;

const RECORD_BYTES: usize = 50;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn graphite_receiver() -> ReportReceiver {
    let addresses = ListenAddresses { graphite: Some(any_port()), ..ListenAddresses::default() };
    ReportReceiver::start(addresses, None).unwrap()
}

fn start(dir: &Path) -> CourierProcess {
    let program = Path::new(env!("CARGO_BIN_EXE_linnetcart-testbed"));
    CourierProcess::start(&CourierOptions {
        program,
        dir,
        seed: 1,
        policy: "library",
        drain_timeout: Duration::from_secs(1),
    })
    .unwrap()
}

fn http(at: SocketAddr, method: &str, path: &str, body: &Value) -> (u16, Value) {
    let reply = http_request(at, method, path, &body.to_string()).unwrap();
    (reply.status, serde_json::from_str(&reply.body).unwrap())
}

/// Settings and endpoint list of a courier, with a destination for each receiver.
fn configure(courier: &CourierProcess, receivers: &MessageReceivers) {
    let class = |name: &str, repeat: &str| json!({"name": name, "aim_ms": 500, "deadline_ms": 1500, "worth": 1, "repeat": repeat});
    let settings = json!({
        "deployment": "reports", "courier": {"me": 4, "of": 5, "zone": "a"}, "zones": ["a"],
        "classes": [class("order", "unsafe"), class("query", "safe")], "kinds": [{"name": "k"}],
        "limits": {"slots": 16, "held": 100, "attempts": 4},
        "rules": {"answer_slack_ms": 50, "cold_share": 0.2, "warm_after_ms": 1000, "fall_multiple": 2.0, "fall_span_ms": 1000}
    });
    assert_eq!(http(courier.control, "PUT", "/settings", &settings).0, 200);
    let entry = |(n, at): (usize, &SocketAddr)| json!({"id": n, "destination": n, "kind": "k", "zone": "a", "state": "ready", "address": at.to_string()});
    let entries: Vec<Value> = receivers.addresses.iter().rev().enumerate().map(entry).collect();
    assert_eq!(
        http(courier.control, "PUT", "/list", &json!({"version": 1, "whole": true, "entries": entries})).0,
        200
    );
}

/// A client that submits messages on one connection.
struct Client {
    stream: TcpStream,
    last_correlation: i32,
    frames: Frames,
}

impl Client {
    fn new(at: SocketAddr) -> Client {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        Client { stream, last_correlation: 0, frames: Frames::new(kafka::MAX_FRAME_BYTES) }
    }

    fn send(&mut self, topic: &str) {
        self.last_correlation += 1;
        let request = produce_request(self.last_correlation, topic, RECORD_BYTES);
        self.stream.write_all(&request).unwrap();
    }

    /// The code of the next answer; none when the connection ended.
    fn answer(&mut self) -> Option<i16> {
        let reply = read_reply(&mut self.stream, &mut self.frames)?;
        Some(reply.parts[0].code)
    }
}

/// What a client counted.
#[derive(Debug, Default)]
struct Counted {
    submitted: u64,
    served: u64,
    other: u64,
}

impl Counted {
    fn deliver(&mut self, at: SocketAddr, count: usize) {
        let mut client = Client::new(at);
        for n in 0..count {
            client.send(["order", "query"][n % 2]);
            self.submitted += 1;
            match client.answer() {
                Some(codes::NONE) => self.served += 1,
                Some(_) => self.other += 1,
                None => panic!("no answer"),
            }
        }
    }
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < end, "{what} did not come");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Ends a courier as an operator does.
fn shut_down(mut courier: CourierProcess) {
    courier.terminate();
    assert_eq!(courier.wait(Duration::from_secs(10)), Some(0));
}

/// Which of its receivers a report went to.
#[derive(Clone, Copy, Debug)]
enum ReceiverKind {
    Graphite,
    Collectd,
}

/// The last value of a courier's field, under the name that it has for a receiver.
fn value(stream: &Stream, place: &str, field: &str, kind: ReceiverKind) -> Option<f64> {
    let name = match kind {
        ReceiverKind::Graphite => format!("linnetcart.reports.edge.4.{place}.{field}"),
        ReceiverKind::Collectd => {
            format!("linnetcart-reports-4.linnetcart.{}.{field}", place.replace('.', "-"))
        }
    };
    stream.value(&name)
}

/// Delivers messages while the courier is killed three times at once after its last answer, and while the receiver
/// is not there.
fn deliver_over_faults(
    dir: &Path,
    receivers: &MessageReceivers,
    receiver: &ReportReceiver,
    telemetry: &Value,
) -> Counted {
    let mut counted = Counted::default();
    let courier = start(dir);
    configure(&courier, receivers);
    assert_eq!(http(courier.control, "PUT", "/telemetry", telemetry).0, 200);
    counted.deliver(courier.kafka, 40);
    until("a report", || receiver.stream().points > 0);
    // Dropping a courier kills it.
    drop(courier);
    for _ in 0..3 {
        let courier = start(dir);
        counted.deliver(courier.kafka, 15);
        drop(courier);
    }
    let courier = start(dir);
    receiver.behave(Behaviour::Absent);
    counted.deliver(courier.kafka, 30);
    std::thread::sleep(Duration::from_millis(1200));
    receiver.behave(Behaviour::Reads);
    counted.deliver(courier.kafka, 10);
    let submitted = counted.submitted as f64;
    until("the last count", || {
        value(&receiver.stream(), "courier", "taken", ReceiverKind::Graphite) == Some(submitted)
    });
    shut_down(courier);
    counted
}

fn assert_counts(stream: &Stream, counted: &Counted, kind: ReceiverKind) {
    let get = |place: &str, field: &str| value(stream, place, field, kind).unwrap_or(0.0);
    let submitted = counted.submitted as f64;
    for place in ["courier", "dest.Bank_Lodz"] {
        assert_eq!(get(place, "taken"), submitted, "{place} {kind:?}");
        assert_eq!(get(place, "in_aim") + get(place, "late"), counted.served as f64);
        assert_eq!(get(place, "refused") + get(place, "failed"), counted.other as f64);
    }
    let classes = get("class.order", "taken") + get("class.query", "taken");
    assert_eq!(classes, submitted);
    assert!(get("dest.Bank_Lodz", "latency_p50_ms") > 0.0 && get("courier", "slots") == 16.0);
}

#[test]
fn receivers_over_kills_and_an_outage_end_with_what_clients_counted() {
    let dir = work_folder("ends");
    let receivers = MessageReceivers::start(1, 0).unwrap();
    let keys = || BTreeMap::from([("alice".to_owned(), vec!["secret".to_owned()])]);
    let user = json!({"user": "alice", "key": "secret"});
    let cases = [
        ("plaintext", json!("none"), Require::Nothing),
        ("pickle", json!({"sign": user}), Require::Signed),
        ("pickle", json!({"encrypt": user}), Require::Encrypted),
    ];
    for (index, (form, security, require)) in cases.iter().enumerate() {
        let addresses = ListenAddresses {
            graphite: Some(any_port()),
            collectd: Some(any_port()),
            users: keys(),
            require: *require,
        };
        let receiver = ReportReceiver::start(addresses, None).unwrap();
        let telemetry = json!({
            "interval_s": 1, "names": {"0": "Bank Łódź"},
            "graphite": {"address": receiver.graphite.unwrap().to_string(), "form": form},
            "collectd": {"address": receiver.collectd.unwrap().to_string(), "security": security},
        });
        let dir = dir.join(index.to_string());
        let counted = deliver_over_faults(&dir, &receivers, &receiver, &telemetry);
        let stream = receiver.stream();
        assert_eq!((&stream.regressions, stream.invalid_items), (&Vec::new(), 0), "{:?}", stream.last_error);
        assert_counts(&stream, &counted, ReceiverKind::Graphite);
        assert_counts(&stream, &counted, ReceiverKind::Collectd);
    }
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn courier_killed_under_load_reports_no_less_than_clients_received() {
    let dir = work_folder("middle");
    let receivers = MessageReceivers::start(1, 0).unwrap();
    let receiver = graphite_receiver();
    let set = json!({"interval_s": 1, "graphite": {"address": receiver.graphite.unwrap().to_string()}});
    let (mut sent, mut served) = (0, 0);
    for round in 0..4 {
        let courier = start(&dir);
        if round == 0 {
            configure(&courier, &receivers);
            assert_eq!(http(courier.control, "PUT", "/telemetry", &set).0, 200);
        }
        let mut client = Client::new(courier.kafka);
        for _ in 0..60 {
            client.send("query");
            sent += 1;
        }
        for _ in 0..20 {
            served += u64::from(client.answer() == Some(codes::NONE));
        }
        drop(courier);
        while let Some(code) = client.answer() {
            served += u64::from(code == codes::NONE);
        }
    }
    let courier = start(&dir);
    until("a report of the last run", || {
        let (_, status) = http(courier.control, "GET", "/status", &Value::Null);
        status["telemetry"]["reports"].as_u64() > Some(1)
    });
    shut_down(courier);
    let stream = receiver.stream();
    assert_eq!(stream.regressions, Vec::<String>::new());
    let get = |field: &str| value(&stream, "courier", field, ReceiverKind::Graphite).unwrap_or(0.0) as u64;
    let (taken, ended) = (get("taken"), get("in_aim") + get("late"));
    assert!(
        taken <= sent && ended <= taken && ended >= served,
        "{sent} sent, {served} served; {taken}, {ended}"
    );
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn receiver_that_never_reads_or_resets_harms_no_delivery_and_is_replaced_without_a_restart() {
    let dir = work_folder("deaf");
    let receivers = MessageReceivers::start(1, 0).unwrap();
    let first = graphite_receiver();
    let second = graphite_receiver();
    let set = |r: &ReportReceiver| json!({"interval_s": 1, "graphite": {"address": r.graphite.unwrap().to_string(), "stuck_s": 1}});
    let courier = start(&dir);
    configure(&courier, &receivers);
    // Nothing half applied, and the field is named.
    let (status, body) = http(courier.control, "PUT", "/telemetry", &json!({"interval_s": 0}));
    assert!(status == 422 && body["error"]["field"] == "interval_s", "{body}");
    let (status, body) = http(courier.control, "PUT", "/telemetry", &json!({"graphite": {"adress": "x"}}));
    assert!(status == 422 && body["error"]["field"].as_str().unwrap().contains("graphite"), "{body}");
    first.behave(Behaviour::NeverReads);
    assert_eq!(http(courier.control, "PUT", "/telemetry", &set(&first)).0, 200);
    let mut counted = Counted::default();
    counted.deliver(courier.kafka, 100);
    first.behave(Behaviour::Resets);
    counted.deliver(courier.kafka, 100);
    std::thread::sleep(Duration::from_millis(1500));
    counted.deliver(courier.kafka, 100);
    assert_eq!((counted.served, counted.other), (300, 0));
    assert_eq!(http(courier.control, "PUT", "/telemetry", &set(&second)).0, 200);
    until("the second receiver's report", || {
        value(&second.stream(), "courier", "taken", ReceiverKind::Graphite) == Some(300.0)
    });
    drop(courier);
    // The settings of the reports are in the snapshot.
    let courier = start(&dir);
    let (_, body) = http(courier.control, "GET", "/telemetry", &Value::Null);
    assert_eq!(body["in_force"]["graphite"]["address"], second.graphite.unwrap().to_string());
    drop(courier);
    std::fs::remove_dir_all(dir).unwrap();
}

/// A part of a collectd packet.
fn packet_part(kind: u16, body: &[u8]) -> Vec<u8> {
    [&kind.to_be_bytes()[..], &((body.len() + 4) as u16).to_be_bytes(), body].concat()
}

/// A collectd packet with the load of a host.
fn load_packet(values: [f64; 3]) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let time = linnetcart_telemetry::collectd::high_resolution(now).to_be_bytes();
    let numbers: Vec<u8> = values.iter().flat_map(|value| value.to_le_bytes()).collect();
    [
        packet_part(0, b"host-1\0"),
        packet_part(8, &time),
        packet_part(2, b"load\0"),
        packet_part(4, b"load\0"),
        packet_part(6, &[&[0, 3, 1, 1, 1][..], &numbers].concat()),
    ]
    .concat()
}

/// A packet signed by the user alice.
fn signed(packet: &[u8], key: &str) -> Vec<u8> {
    use hmac::Mac;
    let mut mac = <hmac::Hmac<sha2::Sha256> as Mac>::new_from_slice(key.as_bytes()).unwrap();
    mac.update(b"alice");
    mac.update(packet);
    let code = mac.finalize().into_bytes();
    [&b"\x02\x00\x00\x29"[..], &code, b"alice", packet].concat()
}

#[test]
fn host_figures_are_accepted_and_garbage_is_only_counted() {
    let dir = work_folder("host");
    let receivers = MessageReceivers::start(1, 0).unwrap();
    let courier = start(&dir);
    configure(&courier, &receivers);
    let port = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = port.local_addr().unwrap();
    drop(port);
    let set = json!({"listen": {"address": at.to_string(), "require": "signed", "users": {"alice": ["new", "old"]}}});
    assert_eq!(http(courier.control, "PUT", "/telemetry", &set).0, 200);
    let (_, body) = http(courier.control, "GET", "/telemetry", &Value::Null);
    assert!(!body.to_string().contains("old"), "keys are not shown: {body}");
    // What was read back without its keys keeps them.
    assert_eq!(http(courier.control, "PUT", "/telemetry", &body["in_force"]).0, 200);
    let from = UdpSocket::bind("127.0.0.1:0").unwrap();
    for byte in 0..200u8 {
        from.send_to(&[byte; 90], at).unwrap();
    }
    from.send_to(&load_packet([9.0, 9.0, 9.0]), at).unwrap();
    from.send_to(&signed(&load_packet([8.0, 8.0, 8.0]), "guessed"), at).unwrap();
    from.send_to(&signed(&load_packet([1.5, 1.0, 0.5]), "old"), at).unwrap();
    let host = || http(courier.control, "GET", "/status", &Value::Null).1["telemetry"]["host"].clone();
    until("the load", || host()["load"] == json!([1.5, 1.0, 0.5]));
    from.send_to(&signed(&load_packet([2.5, 1.0, 0.5]), "new"), at).unwrap();
    until("the load under the new key", || host()["load"] == json!([2.5, 1.0, 0.5]));
    assert!(host()["bad"].as_u64() >= Some(200), "{}", host());
    let mut counted = Counted::default();
    counted.deliver(courier.kafka, 20);
    assert_eq!(counted.served, 20);
    drop(courier);
    std::fs::remove_dir_all(dir).unwrap();
}
