//! Processes complete batches. The records are built with the numeric codes of the wire format, so that a
//! change of the constants in the code is noticed.

use crate::error::BatchError;
use crate::frame::read_batch;
use crate::host::Host;

/// Settings of an instance, in the form in which the bench sends them.
const SETTINGS: &str = r#"{"balancers":1,"services":[{"idempotency":"pure","slo_ns":3000000000,
    "hard_limit_ns":9000000000,"worth":1.0}],"kinds":["a"],"family_info":{"max_calls":4,"kind_apart":[false],
    "per_call":[1]},"bounds":{"max_open":9,"max_attempts":4},"contract":{},"prices":{},"news":1,
    "tick_ns":5000000}"#;
const DESTINATION: u16 = 57;

/// Parses hexadecimal bytes; ignores all other characters.
pub(crate) fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    [&[code][..], &(fields.len() as u32).to_le_bytes(), fields].concat()
}

fn frame(number: u32, clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = number.to_le_bytes().to_vec();
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend((body.len() as u32 + 8).to_le_bytes());
    frame.extend(clock.to_le_bytes());
    frame.extend(body);
    frame
}

fn instance_started(instance: u32) -> Vec<u8> {
    let mut fields = instance.to_le_bytes().to_vec();
    fields.extend(7u64.to_le_bytes());
    fields.extend((SETTINGS.len() as u32).to_le_bytes());
    fields.extend(SETTINGS.as_bytes());
    record(10, &fields)
}

fn instance_halted(instance: u32) -> Vec<u8> {
    record(100, &instance.to_le_bytes())
}

/// Builds the record of a numbered list with one endpoint, which is ready.
fn numbered_list(number: u16, endpoint: u32) -> Vec<u8> {
    let mut fields = number.to_le_bytes().to_vec();
    fields.extend(1u32.to_le_bytes());
    fields.extend([1, 0]);
    fields.extend(1f32.to_le_bytes());
    fields.extend(DESTINATION.to_le_bytes());
    fields.extend(endpoint.to_le_bytes());
    fields.extend([0; 9]);
    record(110, &fields)
}

fn endpoint_list(instance: u32, number: u16) -> Vec<u8> {
    let fields = [&instance.to_le_bytes()[..], &[2], &number.to_le_bytes(), &41u32.to_le_bytes()].concat();
    record(20, &fields)
}

fn message_accepted(instance: u32, id: u32) -> Vec<u8> {
    let mut fields = instance.to_le_bytes().to_vec();
    fields.extend(id.to_le_bytes());
    fields.extend(9_000_000_000u64.to_le_bytes());
    fields.extend([0; 18]);
    fields.extend(f32::from(DESTINATION).to_le_bytes());
    record(30, &fields)
}

fn send(instance: u32, message: u32, endpoint: u32) -> Vec<u8> {
    let fields = [instance, message, 0, 0, endpoint].map(u32::to_le_bytes).concat();
    record(90, &fields)
}

fn process(host: &mut Host, bytes: &[u8]) -> Result<Vec<u8>, BatchError> {
    let batch = read_batch(&mut &bytes[..])?.expect("a batch");
    host.process(&batch)
}

fn has_no_actions(reply: &[u8]) -> bool {
    reply[4..8] == [0, 0, 0, 0]
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    let bytes = hex("01000000 00000000 08000000 90bf68f501000000");
    assert_eq!(process(&mut Host::default(), &bytes).unwrap(), hex("01000000 00000000"));
    assert!(read_batch(&mut &[][..]).unwrap().is_none());
}

#[test]
fn numbered_list_defined_again_resolves_in_record_order() {
    let mut host = Host::default();
    let records = [
        instance_started(0),
        numbered_list(3, 100),
        endpoint_list(0, 3),
        instance_started(1),
        numbered_list(3, 200),
        endpoint_list(1, 3),
        message_accepted(0, 5),
        message_accepted(1, 6),
    ];
    let reply = process(&mut host, &frame(1, 1000, &records)).unwrap();
    let has = |record: Vec<u8>| reply.windows(record.len()).any(|window| window == record);
    assert!(has(send(0, 5, 100)) && has(send(1, 6, 200)));
}

#[test]
fn instance_halted_and_started_again_drops_earlier_events() {
    let mut host = Host::default();
    let start = [instance_started(0), numbered_list(0, 100), endpoint_list(0, 0)];
    process(&mut host, &frame(1, 1000, &start)).unwrap();
    let restart = [message_accepted(0, 5), instance_halted(0), instance_started(0)];
    let reply = process(&mut host, &frame(2, 2000, &restart)).unwrap();
    assert!(has_no_actions(&reply), "{reply:?}");
    let reply = process(&mut host, &frame(3, 3000, &[message_accepted(8, 5)])).unwrap();
    assert!(has_no_actions(&reply), "instance 8 is not running: {reply:?}");
}

#[test]
fn malformed_input_is_an_error_and_unknown_code_is_skipped() {
    let mut host = Host::default();
    assert!(process(&mut host, &frame(1, 0, &[record(77, &[1, 2, 3])])).is_ok(), "unknown code");
    assert!(process(&mut host, &frame(1, 0, &[record(30, &[1, 2, 3])])).is_err(), "record too short");
    assert!(process(&mut host, &frame(1, 0, &[endpoint_list(0, 9)])).is_err(), "list not defined");
    assert!(read_batch(&mut &hex("01000000 0000")[..]).is_err(), "truncated header");
    assert!(read_batch(&mut &hex("01000000 00000000 08000000 90bf")[..]).is_err(), "truncated body");
    let mut missing_record = frame(1, 0, &[]);
    missing_record[4] = 1;
    assert!(process(&mut host, &missing_record).is_err(), "fewer records than counted");
}
