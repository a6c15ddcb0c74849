//! Decodes example records in the wire format.

use super::*;
use crate::tests::hex;

/// Layout of load reports that begin with the capacity left and the rate limit.
const LAYOUT: LoadReportLayout = LoadReportLayout { capacity_left: Some(0), rate_limit: Some(1) };

#[test]
fn message_record_with_and_without_tenant_is_decoded() {
    let bytes = hex("c4913a5d 001c4e0e00000000 00 01 001bb70000000000 640ad2557c3bf091 00006442 07000000");
    let Event::Accepted(message) = decode_message(&mut FieldReader::new(&bytes)).unwrap() else {
        panic!("not an accepted message")
    };
    assert_eq!((message.id, message.class, message.destination), (0x5d3a_91c4, 0, 57));
    assert_eq!((message.time_remaining, message.tenant), (240_000_000, 7));
    assert_eq!(message.ordering_key, 0x91f0_3b7c_55d2_0a64);
    let without_tenant = &bytes[..bytes.len() - 4];
    let Event::Accepted(message) = decode_message(&mut FieldReader::new(without_tenant)).unwrap() else {
        panic!("not an accepted message")
    };
    assert_eq!(message.tenant, 0);
}

#[test]
fn finished_attempt_with_load_report_is_decoded_by_layout() {
    let bytes = hex("c4913a5d 0000 074a1203 00 a0491a0100000000 01 00000000 02 cdcccc3e 0000a03f");
    let decode = |layout| match decode_attempt_finished(&mut FieldReader::new(&bytes), layout).unwrap() {
        Event::AttemptFinished(result) => result,
        other => panic!("not a finished attempt: {other:?}"),
    };
    let result = decode(LAYOUT);
    assert_eq!((result.message, result.attempt, result.endpoint), (0x5d3a_91c4, 0, 0x0312_4a07));
    assert_eq!(
        (result.outcome, result.elapsed, result.completed),
        (AttemptOutcome::Served, 18_500_000, true)
    );
    assert_eq!((result.capacity_left, result.rate_limit), (Some(f64::from(0.4f32)), Some(1.25)));
    let without_layout = decode(LoadReportLayout::default());
    assert_eq!((without_layout.capacity_left, without_layout.rate_limit), (None, None));
}

#[test]
fn health_check_without_load_report_is_decoded() {
    let bytes = hex("05 0a00000000000000 08000000");
    let Event::HealthChecked(result) = decode_health_checked(&mut FieldReader::new(&bytes), LAYOUT).unwrap()
    else {
        panic!("not a health check")
    };
    assert_eq!((result.endpoint, result.outcome, result.elapsed), (8, AttemptOutcome::Reset, 10));
    assert_eq!((result.capacity_left, result.rate_limit), (None, None));
}

#[test]
fn outcome_code_is_decoded_and_unknown_one_is_an_error() {
    let decoded: Vec<AttemptOutcome> = (0..8).map(|status| decode_outcome(status, 1).unwrap()).collect();
    let expected = [
        AttemptOutcome::Served,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected { retry_after: 1_000_000 },
        AttemptOutcome::TimedOut,
        AttemptOutcome::NoConnection,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent { no_capacity: true },
    ];
    assert_eq!(decoded, expected);
    assert_eq!(decode_outcome(7, 0).unwrap(), AttemptOutcome::NotSent { no_capacity: false });
    assert!(matches!(decode_outcome(8, 0), Err(RecordError::UnknownOutcome(8))));
}

#[test]
fn gossip_record_truncated_is_an_error() {
    let bytes = hex("0200 0400 68692037");
    let Event::Gossip { from, body } = decode_gossip(&mut FieldReader::new(&bytes)).unwrap() else {
        panic!("not gossip")
    };
    assert_eq!((from, &body[..]), (2, &b"hi 7"[..]));
    let truncated = decode_gossip(&mut FieldReader::new(&bytes[..bytes.len() - 1]));
    assert!(matches!(truncated, Err(RecordError::TooShort { expected: 4, remaining: 3 })));
}
