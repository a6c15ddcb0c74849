use super::*;
use linnetcart::{LimitChange, LimitEvidence, LimitState};

fn hex(s: &str) -> Vec<u8> {
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

fn run(host: &mut Host, bytes: &[u8]) -> Result<Vec<u8>, Bad> {
    let (head, body) = read_batch(&mut &bytes[..])?.expect("a batch");
    host.batch(&head, &body)
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let bytes = hex("01000000 00000000 08000000 90bf68f501000000");
    assert_eq!(run(&mut Host::default(), &bytes).unwrap(), hex("01000000 00000000"));
    assert!(read_batch(&mut &[][..]).unwrap().is_none());
}

#[test]
fn lists_resolve_in_the_order_of_events() {
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
fn a_halted_instance_is_silent_and_events_before_a_new_start_are_dropped() {
    let mut host = Host::default();
    run(&mut host, &frame(1, 1000, &[attach(0), register(0, 100), registry(0, 0)])).unwrap();
    let halt = record(100, &0u32.to_le_bytes());
    let reply = run(&mut host, &frame(2, 2000, &[knock(0, 5), halt, attach(0)])).unwrap();
    assert_eq!(&reply[4..8], &[0, 0, 0, 0]);
    let reply = run(&mut host, &frame(3, 3000, &[knock(8, 5)])).unwrap();
    assert_eq!(&reply[4..8], &[0, 0, 0, 0]);
}

#[test]
fn actions_are_written_as_the_wire_has_them() {
    let written = |action| {
        let mut out = Vec::new();
        write_action(&mut out, 3, 100, &action);
        out
    };
    assert_eq!(
        written(Action::WakeUp { at: 850 }),
        hex("32 14000000 03000000 ee02000000000000 5203000000000000")
    );
    assert_eq!(written(Action::Cancel { message: 9, attempt: 2 }), hex("28 0a000000 03000000 09000000 0200"));
    assert_eq!(
        written(Action::Reject { message: 9, retry_after: 5 }),
        hex("46 10000000 03000000 09000000 0500000000000000")
    );
    assert_eq!(written(Action::Fail { message: 9 }), hex("6e 08000000 03000000 09000000"));
    assert_eq!(written(Action::WatchEndpoints), hex("14 05000000 03000000 01"));
    assert_eq!(written(Action::HealthCheck { endpoint: 8 }), hex("3c 08000000 03000000 08000000"));
    let note = |to| Action::Gossip { to, body: b"hi 7".to_vec() };
    assert_eq!(written(note(None)), hex("78 0e000000 03000000 ffffffff 0400 68692037"));
    assert_eq!(written(note(Some(5))), hex("78 0e000000 03000000 05000000 0400 68692037"));
    assert_eq!(written(Action::CloseIdle { endpoint: 8 }), hex("64 08000000 03000000 08000000"));
    let (outcome, state) = (AttemptOutcome::Rejected { retry_after: 5 }, LimitState::Ejected);
    let evidence = Some(LimitEvidence { outcome, failure_rate: 0.625, consecutive_failures: 3 });
    let change = LimitChange { destination: 2, endpoint: 7, state, evidence };
    let text =
        "destination 2 endpoint 7: out, trials only after Full { wait: 5 }, failing share 0.62, 3 in a row";
    let mut expected = hex("0a 67000000 03000000 6100");
    expected.extend(text.as_bytes());
    assert_eq!(written(Action::LimitChanged(change)), expected);
    let send = Action::Send { message: 9, endpoint: 8, until: 7 };
    assert_eq!(written(send), hex("5a 14000000 03000000 09000000 0700000000000000 08000000"));
}

#[test]
fn malformed_input_is_refused_and_unknown_codes_are_passed_over() {
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
