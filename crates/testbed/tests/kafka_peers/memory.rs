//! Producers and readers of metadata that make the courier hold memory.

use crate::producer::{produce_request, Answers, Endpoint, Producer};
use crate::started_courier::{settings, Courier};
use crate::work_folder::work_folder;
use linnetcart_kafka::codes;
use std::io::Read;
use std::net::Shutdown;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The limit that the couriers of these tests are started with, in megabytes.
const MEMORY_MB: u64 = 64;
const PRODUCERS: usize = 600;
/// Nearly the largest frame of the settings.
const LARGE_VALUE_BYTES: usize = 1_000_000;

fn start(dir: &Path) -> Courier {
    Courier::start_with_memory_limit(dir, MEMORY_MB)
}

fn check_memory(courier: &mut Courier) {
    assert!(courier.child.try_wait().expect("a child").is_none(), "the process has ended by itself");
    let peak = courier.peak_memory_bytes();
    println!("peak memory: {peak} bytes");
    assert!(peak < MEMORY_MB * 1_000_000, "peak memory: {peak} bytes");
}

/// Submits messages one after another until `stop` is set. Returns the numbers of answers, and of connections that
/// ended without one.
fn run_usual(courier: &Courier, stop: &AtomicBool) -> (usize, usize) {
    let (mut answered, mut closed) = (0, 0);
    let mut producer = Producer::connect(courier.kafka);
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        std::thread::sleep(Duration::from_millis(30));
        match producer.submit(number, &format!("usual-{number}.")) {
            Some(_) => answered += 1,
            None => {
                closed += 1;
                producer = Producer::connect(courier.kafka);
            }
        }
    }
    (answered, closed)
}

#[test]
fn large_frames_that_stop_half_way_pass_no_memory_limit_and_close_no_usual_producer() {
    let dir = work_folder("kafka-half-frames");
    let endpoint = Endpoint::start(Answers::Served);
    let mut courier = start(&dir);
    courier.configure(endpoint.address);
    let request = produce_request(1, "order", &"x".repeat(LARGE_VALUE_BYTES));
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let usual = scope.spawn(|| run_usual(&courier, &stop));
        let mut producers: Vec<Producer> = (0..PRODUCERS).map(|_| Producer::connect(courier.kafka)).collect();
        for producer in &mut producers {
            let _ = producer.stream.set_write_timeout(Some(Duration::from_millis(200)));
            producer.send(&request[..900_000]);
        }
        std::thread::sleep(Duration::from_millis(500));
        stop.store(true, Ordering::Relaxed);
        let (answered, closed) = usual.join().expect("a client");
        println!("usual: {answered} answered, {closed} closed");
        assert!(answered > 10 && closed == 0, "{answered} answered, {closed} closed");
    });
    check_memory(&mut courier);
    assert_eq!(Producer::connect(courier.kafka).submit(1, "later"), Some(codes::NONE));
}

#[test]
fn large_messages_for_a_slow_destination_pass_no_memory_limit_on_the_kafka_front() {
    let dir = work_folder("kafka-slow-destination");
    let endpoint = Endpoint::start(Answers::Nothing);
    let mut courier = start(&dir);
    let mut document = settings();
    document["limits"]["held"] = 10_000.into();
    document["limits"]["slots"] = 1000.into();
    crate::control::put(courier.control, "/settings", &document);
    crate::control::put(
        courier.control,
        "/list",
        &crate::started_courier::endpoint_list(1, endpoint.address),
    );
    let request = produce_request(1, "status", &"x".repeat(LARGE_VALUE_BYTES / 2));
    let mut producers: Vec<Producer> = (0..200).map(|_| Producer::connect(courier.kafka)).collect();
    for producer in &mut producers {
        producer.send(&request);
    }
    let codes: Vec<_> = producers.iter_mut().map(|producer| producer.read_code()).collect();
    println!("without an answer: {}", codes.iter().filter(|code| code.is_none()).count());
    check_memory(&mut courier);
}

/// One request names the same topic as often as it can, and the list has a destination with a high number.
#[test]
fn metadata_of_a_topic_that_is_named_often_passes_no_memory_limit() {
    let dir = work_folder("kafka-metadata");
    let endpoint = Endpoint::start(Answers::Served);
    let mut courier = start(&dir);
    courier.configure(endpoint.address);
    let far = Endpoint::start(Answers::Served);
    let mut list = crate::started_courier::endpoint_list(2, far.address);
    list["entries"][0]["id"] = 2.into();
    list["entries"][0]["destination"] = 9_999.into();
    list["whole"] = false.into();
    crate::control::put(courier.control, "/list", &list);
    for count in [16_000, 100_000] {
        let unknown: Vec<String> = (0..count).map(|number| format!("t{number}")).collect();
        for names in [vec!["order".to_owned(); count], unknown] {
            let mut client = Producer::connect(courier.kafka);
            client.send(&metadata_request(&names));
            let _ = client.stream.set_read_timeout(Some(Duration::from_secs(2)));
            let mut buffer = vec![0; 1 << 20];
            let mut total = 0;
            while let Ok(length @ 1..) = client.stream.read(&mut buffer) {
                total += length;
            }
            println!("bytes of metadata: {total}");
        }
        check_memory(&mut courier);
    }
    let mut usual = Producer::connect(courier.kafka);
    assert_eq!(usual.submit(1, "later"), Some(codes::NONE));
}

/// A Metadata request of version 1: the names as an array of strings.
fn metadata_request(names: &[String]) -> Vec<u8> {
    let mut body = Vec::new();
    body.extend(3i16.to_be_bytes());
    body.extend(1i16.to_be_bytes());
    body.extend(7i32.to_be_bytes());
    body.extend((-1i16).to_be_bytes());
    body.extend((names.len() as i32).to_be_bytes());
    for name in names {
        body.extend((name.len() as i16).to_be_bytes());
        body.extend(name.as_bytes());
    }
    let mut request = (body.len() as i32).to_be_bytes().to_vec();
    request.extend(body);
    request
}

/// Requests that are sent at once and whose answers nobody reads.
#[test]
fn pipelined_requests_whose_answers_nobody_reads_pass_no_memory_limit() {
    let dir = work_folder("kafka-no-reading");
    let endpoint = Endpoint::start(Answers::Served);
    let mut courier = start(&dir);
    courier.configure(endpoint.address);
    let names: Vec<String> = (0..2000).map(|number| format!("topic-{number}")).collect();
    let request = metadata_request(&names);
    let mut clients: Vec<Producer> = (0..100).map(|_| Producer::connect(courier.kafka)).collect();
    for client in &mut clients {
        let _ = client.stream.set_write_timeout(Some(Duration::from_millis(50)));
        for _ in 0..200 {
            if !client.send(&request) {
                break;
            }
        }
    }
    check_memory(&mut courier);
    assert_eq!(Producer::connect(courier.kafka).submit(1, "later"), Some(codes::NONE));
}

/// One client pipelines small requests at full speed, each under new names, and reads the answers.
#[test]
fn small_requests_at_full_speed_close_no_usual_producer_and_pass_no_memory_limit() {
    let dir = work_folder("kafka-full-speed");
    let endpoint = Endpoint::start(Answers::Served);
    let mut courier = start(&dir);
    courier.configure(endpoint.address);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let usual = scope.spawn(|| run_usual(&courier, &stop));
        let mut noisy = Producer::connect(courier.kafka);
        let mut reading = noisy.stream.try_clone().expect("a second handle");
        scope.spawn(move || while let Ok(1..) = reading.read(&mut [0; 65536]) {});
        let until = Instant::now() + Duration::from_secs(3);
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let names: Vec<String> = (0..3).map(|name| format!("noise-{number}-{name}")).collect();
            let message = produce_request(number, &format!("topic-{number}"), "x");
            if !noisy.send(&[metadata_request(&names), message].concat()) {
                break;
            }
        }
        println!("requests of the noisy client: {}", 2 * number);
        let _ = noisy.stream.shutdown(Shutdown::Both);
        stop.store(true, Ordering::Relaxed);
        let (answered, closed) = usual.join().expect("a client");
        println!("usual: {answered} answered, {closed} closed");
        assert!(answered > 10 && closed == 0, "{answered} answered, {closed} closed");
    });
    check_memory(&mut courier);
}
