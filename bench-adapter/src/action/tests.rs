//! Compares encoded actions with example records in the wire format.

use super::*;
use crate::tests::hex;
use linnetcart::{AttemptOutcome, LimitChange, LimitEvidence, LimitState};

#[test]
fn action_of_each_kind_is_encoded_as_the_wire_format_has_it() {
    let encoded = |action| {
        let mut out = Vec::new();
        encode_action(&mut out, 3, 100, &action);
        out
    };
    assert_eq!(
        encoded(Action::WakeUp { at: 850 }),
        hex("32 14000000 03000000 ee02000000000000 5203000000000000")
    );
    assert_eq!(encoded(Action::Cancel { message: 9, attempt: 2 }), hex("28 0a000000 03000000 09000000 0200"));
    assert_eq!(
        encoded(Action::Reject { message: 9, retry_after: 5 }),
        hex("46 10000000 03000000 09000000 0500000000000000")
    );
    assert_eq!(encoded(Action::Fail { message: 9 }), hex("6e 08000000 03000000 09000000"));
    assert_eq!(encoded(Action::WatchEndpoints), hex("14 05000000 03000000 01"));
    assert_eq!(encoded(Action::HealthCheck { endpoint: 8 }), hex("3c 08000000 03000000 08000000"));
    let gossip = |to| Action::Gossip { to, body: b"hi 7".to_vec() };
    assert_eq!(encoded(gossip(None)), hex("78 0e000000 03000000 ffffffff 0400 68692037"));
    assert_eq!(encoded(gossip(Some(5))), hex("78 0e000000 03000000 05000000 0400 68692037"));
    assert_eq!(encoded(Action::CloseIdle { endpoint: 8 }), hex("64 08000000 03000000 08000000"));
    let (outcome, state) = (AttemptOutcome::Rejected { retry_after: 5 }, LimitState::Ejected);
    let evidence = Some(LimitEvidence { outcome, failure_rate: 0.625, consecutive_failures: 3 });
    let change = LimitChange { destination: 2, endpoint: 7, state, evidence };
    let text =
        "destination 2 endpoint 7: out, trials only after Full { wait: 5 }, failing share 0.62, 3 in a row";
    let mut expected = hex("0a 67000000 03000000 6100");
    expected.extend(text.as_bytes());
    assert_eq!(encoded(Action::LimitChanged(change)), expected);
    let send = Action::Send { message: 9, endpoint: 8, until: 7 };
    assert_eq!(encoded(send), hex("5a 14000000 03000000 09000000 0700000000000000 08000000"));
}
