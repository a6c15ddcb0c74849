//! Whole batches through the adapter.

use crate::error::BatchError;
use crate::frame::read_batch;
use crate::host::Host;

pub(crate) fn hex(s: &str) -> Vec<u8> {
    let digits: Vec<u8> = s.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap()).collect()
}

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    [&[code][..], &(fields.len() as u32).to_le_bytes(), fields].concat()
}

fn frame(number: u32, clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut f = number.to_le_bytes().to_vec();
    f.extend((records.len() as u32).to_le_bytes());
    f.extend((body.len() as u32 + 8).to_le_bytes());
    f.extend(clock.to_le_bytes());
    f.extend(body);
    f
}

fn attach(i: u32) -> Vec<u8> {
    let facts = r#"{"balancers":1,"services":[{"idempotency":"pure","slo_ns":3000000000,"hard_limit_ns":9000000000,
        "worth":1.0}],"kinds":["a"],"family_info":{"max_calls":4,"kind_apart":[false],"per_call":[1]},
        "bounds":{"max_open":9,"max_attempts":4},"contract":{},"prices":{},"news":1,"tick_ns":5000000}"#;
    let mut f = i.to_le_bytes().to_vec();
    f.extend(7u64.to_le_bytes());
    f.extend((facts.len() as u32).to_le_bytes());
    f.extend(facts.as_bytes());
    record(10, &f)
}

fn register(list: u16, endpoint: u32) -> Vec<u8> {
    let mut f = list.to_le_bytes().to_vec();
    f.extend(1u32.to_le_bytes());
    f.extend([1, 0]);
    f.extend(1f32.to_le_bytes());
    f.extend(57u16.to_le_bytes());
    f.extend(endpoint.to_le_bytes());
    f.extend([0; 9]);
    record(110, &f)
}

fn registry(i: u32, list: u16) -> Vec<u8> {
    let fields = [&i.to_le_bytes()[..], &[2], &list.to_le_bytes(), &41u32.to_le_bytes()].concat();
    record(20, &fields)
}

fn knock(i: u32, id: u32) -> Vec<u8> {
    let mut f = i.to_le_bytes().to_vec();
    f.extend(id.to_le_bytes());
    f.extend(9_000_000_000u64.to_le_bytes());
    f.extend([0; 18]);
    f.extend(57f32.to_le_bytes());
    record(30, &f)
}

fn run(host: &mut Host, bytes: &[u8]) -> Result<Vec<u8>, BatchError> {
    let batch = read_batch(&mut &bytes[..])?.expect("a batch");
    host.process(&batch)
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    let bytes = hex("01000000 00000000 08000000 90bf68f501000000");
    assert_eq!(run(&mut Host::default(), &bytes).unwrap(), hex("01000000 00000000"));
    assert!(read_batch(&mut &[][..]).unwrap().is_none());
}

#[test]
fn numbered_list_given_anew_resolves_in_event_order() {
    let mut host = Host::default();
    let records = [
        attach(0),
        register(3, 100),
        registry(0, 3),
        attach(1),
        register(3, 200),
        registry(1, 3),
        knock(0, 5),
        knock(1, 6),
    ];
    let reply = run(&mut host, &frame(1, 1000, &records)).unwrap();
    let send = |i: u32, id: u32, endpoint: u32| {
        let f = [i, id, 0, 0, endpoint].map(u32::to_le_bytes).concat();
        record(90, &f)
    };
    let has = |part: Vec<u8>| reply.windows(part.len()).any(|w| w == part);
    assert!(has(send(0, 5, 100)) && has(send(1, 6, 200)));
}

#[test]
fn halted_instance_started_again_drops_earlier_events() {
    let mut host = Host::default();
    run(&mut host, &frame(1, 1000, &[attach(0), register(0, 100), registry(0, 0)])).unwrap();
    let halt = record(100, &0u32.to_le_bytes());
    let reply = run(&mut host, &frame(2, 2000, &[knock(0, 5), halt, attach(0)])).unwrap();
    assert_eq!(&reply[4..8], &[0, 0, 0, 0]);
    let reply = run(&mut host, &frame(3, 3000, &[knock(8, 5)])).unwrap();
    assert_eq!(&reply[4..8], &[0, 0, 0, 0]);
}

#[test]
fn malformed_input_is_an_error_and_unknown_code_is_skipped() {
    let mut host = Host::default();
    assert!(run(&mut host, &frame(1, 0, &[record(77, &[1, 2, 3])])).is_ok());
    assert!(run(&mut host, &frame(1, 0, &[record(30, &[1, 2, 3])])).is_err());
    assert!(run(&mut host, &frame(1, 0, &[registry(0, 9)])).is_err());
    assert!(read_batch(&mut &hex("01000000 0000")[..]).is_err());
    assert!(read_batch(&mut &hex("01000000 00000000 08000000 90bf")[..]).is_err());
    let mut long = frame(1, 0, &[]);
    long[4] = 1;
    assert!(run(&mut host, &long).is_err());
}
