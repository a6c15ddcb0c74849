//! The core's hard cases, without sockets and in virtual time.

mod harness;

use harness::*;
use linnetcart_edge::settings::EntryState;
use linnetcart_kafka::{codes, Record};

const A: u64 = 1;

fn bench() -> Bench {
    let mut b = Bench::new();
    b.client(A);
    b
}

#[test]
fn a_message_goes_to_an_endpoint_and_its_answer_comes_back() {
    let mut b = bench();
    let n = b.one(A, "status", 1, "hello");
    b.reply("hello", codes::NONE, 0);
    assert_eq!(b.codes(A), [(n, codes::NONE)]);
    let status = b.core.status();
    assert_eq!((status.in_flight, status.calls, status.classes["status"].served), (0, 0, 1));
}

#[test]
fn answers_go_in_order_and_a_due_one_cuts_those_before_it() {
    let mut b = bench();
    // The older one has 8 s, the one behind it 300 ms; both hang.
    let long = b.one(A, "status", 1, "long");
    let short = b.send(A, &[("order", 2, &[headed("short", "deadline-ms", "300")])]);
    b.pass(250);
    assert_eq!(b.codes(A), []);
    b.pass(60);
    // What may not run twice has failed; what is safe to repeat is handed back, though it had seconds left.
    assert_eq!(b.codes(A), [(long, codes::NOT_ENOUGH_REPLICAS), (short, codes::UNKNOWN_SERVER_ERROR)]);
    assert_eq!(b.core.status().in_flight, 0);
}

#[test]
fn a_served_one_waits_for_the_older_one_but_not_beyond_its_time() {
    let mut b = bench();
    let long = b.one(A, "status", 1, "long");
    let short = b.send(A, &[("order", 2, &[headed("short", "deadline-ms", "500")])]);
    b.reply("short", codes::NONE, 0);
    assert_eq!(b.codes(A), []);
    b.pass(520);
    assert_eq!(b.codes(A), [(long, codes::NOT_ENOUGH_REPLICAS), (short, codes::NONE)]);
}

#[test]
fn a_batch_with_mixed_endings_is_final_and_says_each() {
    let mut b = bench();
    let n = b.send(A, &[("order", 1, &[record("a"), record("b")]), ("order", 2, &[record("c")])]);
    b.reply("a", codes::NONE, 0);
    b.reply("b", codes::UNKNOWN_SERVER_ERROR, 0);
    b.reply("c", codes::NONE, 0);
    assert_eq!(b.codes(A), [(n, codes::INVALID_RECORD), (n, codes::NONE)]);
    let mixed = &b.answers[&A][0].parts[0];
    assert_eq!(
        mixed.records.iter().map(|r| r.1.split(':').next().unwrap()).collect::<Vec<_>>(),
        ["served", "failed"]
    );
}

#[test]
fn a_batch_is_handed_back_only_if_nothing_of_it_was_sent() {
    let mut b = bench();
    b.easy = false;
    let n = b.send(A, &[("order", 1, &[record("a"), record("b")])]);
    b.pass(3000);
    // No connection came up in all that time.
    assert_eq!(b.codes(A).first().map(|c| c.0), Some(n));
    assert_eq!(b.codes(A)[0].1, codes::NOT_ENOUGH_REPLICAS);
    assert!(b.calls.is_empty());
}

#[test]
fn what_no_setting_knows_and_what_cannot_be_answered_is_turned_down() {
    let mut b = bench();
    let unknown = b.one(A, "nothing", 1, "x");
    let nowhere = b.one(A, "status", 77, "x");
    let negative = b.one(A, "status", -1, "x");
    let wrong = b.send(A, &[("status", 1, &[record("fine"), headed("x", "deadline-ms", "soon")])]);
    let codes: Vec<(i32, i16)> = b.codes(A);
    assert_eq!(codes[0], (unknown, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(codes[1], (nowhere, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(codes[2], (negative, codes::UNKNOWN_TOPIC_OR_PARTITION));
    assert_eq!(codes[3], (wrong, codes::INVALID_RECORD));
    assert!(b.answers[&A][3].parts[0].records[0].1.contains("deadline-ms"));
    assert!(b.calls.is_empty(), "nothing of a wrong batch is taken");
    let request = b.request(0, &[("status", 1, &[record("x")])]);
    b.core.client_received(A, &request);
    b.round();
    assert!(b.closed.contains(&A), "acks=0 cannot carry a final answer");
}

#[test]
fn a_client_that_is_gone_is_not_delivered_for() {
    let mut b = bench();
    b.easy = false;
    b.one(A, "order", 2, "x");
    b.core.client_disconnected(A);
    b.round();
    let link = b.connecting[0];
    b.open(link);
    b.greet(link);
    assert!(b.calls.is_empty(), "withdrawn before its connection was there");
    assert_eq!(b.core.status().in_flight, 0);
    assert_eq!(b.core.status().classes["order"].client_cancelled, 1);
}

#[test]
fn a_client_that_sends_no_more_still_gets_its_answers() {
    let mut b = bench();
    let n = b.one(A, "status", 1, "x");
    b.core.client_half_closed(A);
    b.round();
    assert!(!b.closed.contains(&A));
    b.reply("x", codes::NONE, 0);
    assert_eq!(b.codes(A), [(n, codes::NONE)]);
    assert!(b.closed.contains(&A));
}

#[test]
fn a_request_that_comes_byte_by_byte_is_read() {
    let mut b = bench();
    let request = b.request(-1, &[("status", 1, &[record("slow")])]);
    for byte in request.iter() {
        b.core.client_received(A, &[*byte]);
    }
    b.round();
    assert_eq!(b.calls_of("slow"), 1);
}

#[test]
fn a_client_that_never_reads_or_sends_too_much_is_not_read_and_others_are_unharmed() {
    let mut doc = settings();
    doc["limits"]["unsent_bytes"] = 4096.into();
    doc["limits"]["pipelined"] = 4.into();
    let mut b = Bench::with(&doc, 1);
    b.client(A);
    b.client(2);
    // Nothing is ever said to have left: answers pile up to the bound.
    let ask = linnetcart_kafka::client::metadata(1, "t", 9, None).unwrap();
    for _ in 0..200 {
        b.core.client_received(A, &ask);
    }
    b.turn();
    assert!(b.paused.contains(&A));
    let n = b.one(2, "status", 1, "other");
    b.reply("other", codes::NONE, 0);
    assert_eq!(b.codes(2), [(n, codes::NONE)]);
    // It reads at last: what it had sent is worked through.
    for _ in 0..200 {
        b.core.set_client_backlog(A, 0);
        b.turn();
    }
    assert!(!b.paused.contains(&A));
    // Requests without an answer are bounded too.
    for n in 0..6 {
        b.one(2, "status", 1, &format!("p{n}"));
    }
    assert!(b.paused.contains(&2));
    assert_eq!(b.core.status().in_flight, 4);
    b.reply("p0", codes::NONE, 0);
    assert_eq!(b.core.status().in_flight, 4, "the next was taken when there was room");
}

#[test]
fn a_full_hold_hands_back_unseen_with_a_time() {
    let mut doc = settings();
    doc["limits"]["held"] = 3.into();
    let mut b = Bench::with(&doc, 1);
    b.client(A);
    b.client(2);
    for n in 0..3 {
        b.one(2, "status", 1, &format!("h{n}"));
    }
    let held = b.core.status().in_flight as i32;
    let batch: Vec<_> = (0..3).map(|n| record(&format!("b{n}"))).collect();
    let n = b.send(A, &[("status", 1, &batch)]);
    assert!(held > 0);
    assert_eq!(b.codes(A), [(n, codes::NOT_ENOUGH_REPLICAS)]);
    assert_eq!(b.answers[&A][0].throttle_ms, 3000);
    let big: Vec<_> = (0..4).map(|n| record(&format!("c{n}"))).collect();
    let n = b.send(A, &[("status", 1, &big)]);
    assert_eq!(b.codes(A)[1], (n, codes::MESSAGE_TOO_LARGE), "no retry could ever fit it");
}

#[test]
fn what_is_turned_away_behind_an_older_one_has_its_answer_in_time() {
    let mut doc = settings();
    doc["limits"]["held"] = 1.into();
    let mut b = Bench::with(&doc, 1);
    b.client(A);
    let long = b.one(A, "status", 1, "long");
    let short = b.send(A, &[("order", 2, &[headed("short", "deadline-ms", "300")])]);
    assert_eq!(b.core.status().classes["order"].shed, 1);
    assert_eq!(b.codes(A), []);
    b.pass(310);
    assert_eq!(b.codes(A), [(long, codes::NOT_ENOUGH_REPLICAS), (short, codes::NOT_ENOUGH_REPLICAS)]);
}

#[test]
fn an_answer_after_the_cancel_frees_the_connection_and_changes_nothing() {
    let mut b = bench();
    b.one(A, "status", 1, "x");
    // The resend time is the aim as long as nothing was served; then a copy goes elsewhere.
    b.pass(1010);
    assert_eq!(b.calls_of("x"), 2);
    let (first, second) = (b.calls.remove(0), b.calls.remove(0));
    assert_ne!(first.endpoint, second.endpoint);
    b.reply_to(&second, codes::NONE, 0);
    b.round();
    let answers = b.codes(A).len();
    assert_eq!((answers, b.core.status().abandoned_connections, b.core.status().calls), (1, 1, 0));
    b.reply_to(&first, codes::NONE, 0);
    assert_eq!(b.codes(A).len(), 1, "the loser's answer goes to nobody");
    assert_eq!(b.core.status().abandoned_connections, 0);
}

#[test]
fn a_wait_told_to_a_call_that_was_given_up_is_heeded() {
    let mut b = bench();
    b.one(A, "status", 1, "x");
    b.pass(1010);
    let (first, second) = (b.calls.remove(0), b.calls.remove(0));
    b.reply_to(&second, codes::NONE, 0);
    b.reply_to(&first, codes::THROTTLING_QUOTA_EXCEEDED, 700);
    assert_eq!(b.codes(A).len(), 1);
    b.one(A, "status", 1, "y");
    b.pass(680);
    assert_eq!(b.calls_of("y"), 0);
    b.pass(3000);
    assert!(b.calls_of("y") > 0, "after the wait it goes");
}

#[test]
fn a_connection_whose_call_was_given_up_is_closed_after_the_idle_time() {
    let mut b = bench();
    b.one(A, "status", 1, "x");
    b.pass(1010);
    let second = b.calls.remove(1);
    b.reply_to(&second, codes::NONE, 0);
    b.round();
    // The library has the idle one closed; the hung one is kept for its answer, as long as an idle one would be.
    let before = b.links.len();
    b.pass(4950);
    let late = b.links.len();
    b.pass(100);
    assert_eq!((before, late, b.links.len()), (1, 1, 0));
}

#[test]
fn an_endpoint_that_breaks_the_protocol_loses_its_connection() {
    for bad in ["twice", "unknown", "garbage", "huge"] {
        let mut b = bench();
        b.one(A, "order", 2, "x");
        b.one(A, "order", 2, "y");
        let call = b.calls.remove(b.call("x"));
        let bytes = match bad {
            "twice" => {
                b.reply_to(&call, codes::NONE, 0);
                None
            }
            "unknown" => Some(linnetcart_kafka::server::produce(99, 9, &[], 0, None)),
            "garbage" => Some(bytes::Bytes::from_static(b"\0\0\0\x08not kafka")),
            _ => Some(bytes::Bytes::from_static(b"\x7f\xff\xff\xff")),
        };
        let faults = |b: &mut Bench| {
            let facts = b.core.delivery_events();
            facts
                .iter()
                .filter(|f| {
                    matches!(f, linnetcart_edge::delivery_events::DeliveryEvent::ProtocolViolation { .. })
                })
                .count()
        };
        match bytes {
            None => b.reply_to(&call, codes::NONE, 0),
            Some(bytes) => {
                b.core.upstream_received(call.link, &bytes);
                b.round();
            }
        }
        assert_eq!(faults(&mut b), 1, "{bad}");
        assert!(!b.links.contains_key(&call.link), "{bad}: the connection is closed");
        if bad != "twice" {
            // It may have run, and must not run again.
            assert_eq!(b.codes(A), [(1, codes::UNKNOWN_SERVER_ERROR)], "{bad}");
        }
    }
}

#[test]
fn an_answer_and_a_time_out_in_the_same_turn_are_an_answer() {
    let mut b = bench();
    let n = b.one(A, "order", 2, "x");
    let call = b.calls.remove(0);
    b.now += 3_000 * MS;
    b.core.clock(b.now);
    b.reply_to(&call, codes::NONE, 0);
    assert_eq!(b.codes(A), [(n, codes::NONE)]);
}

#[test]
fn what_came_while_the_program_stood_still_has_less_time_left() {
    let mut b = bench();
    b.easy = false;
    let request = b.request(-1, &[("order", 2, &[headed("x", "deadline-ms", "1000")])]);
    // It may have come at any time in the 700 ms before it is read.
    let came = b.now;
    b.now += 700 * MS;
    b.core.clock(b.now);
    b.core.arrived_since(came);
    b.core.client_received(A, &request);
    b.turn();
    b.pass(320);
    assert_eq!(b.answered[&A].len(), 1);
    assert!(b.answered[&A][0] <= came + 1000 * MS);
}

#[test]
fn what_was_long_on_its_way_is_answered_in_its_clients_time_and_not_sent_after() {
    const WALL: u64 = 1_700_000_000_000;
    let mut b = bench();
    let made = |ms: u64| Record { timestamp: (WALL - ms) as i64, ..headed("x", "deadline-ms", "2000") };
    // 1,200 ms on its way, clocks apart by 50 ms at most: 750 ms are left.
    b.core.wall_clock(WALL * MS);
    b.send(A, &[("order", 2, &[made(1200)])]);
    b.pass(740);
    assert_eq!(b.answered.get(&A).map_or(0, Vec::len), 0);
    b.pass(20);
    assert_eq!(b.codes(A), [(1, codes::UNKNOWN_SERVER_ERROR)]);
    // Its time was up before it came: it is handed back at once, and nothing of it is sent.
    b.core.wall_clock(WALL * MS);
    let late = b.send(A, &[("order", 1, &[Record { value: Some("late".into()), ..made(1960) }])]);
    b.pass(5);
    assert_eq!((b.codes(A)[1], b.calls_of("late")), ((late, codes::NOT_ENOUGH_REPLICAS), 0));
    // A clock that is an hour ahead tells nothing, and is counted.
    b.core.wall_clock((WALL - 3_600_000) * MS);
    b.send(A, &[("order", 1, &[Record { value: Some("ahead".into()), ..made(0) }])]);
    b.reply("ahead", codes::NONE, 0);
    let status = b.core.status();
    assert_eq!((b.codes(A)[2].1, status.expired_on_arrival, status.clocks_ahead), (codes::NONE, 1, 1));
    // A stated end counts where records' times do not.
    let end = headed("end", "deadline-at-ms", &(WALL + 500).to_string());
    b.core.wall_clock(WALL * MS);
    b.send(A, &[("order", 1, &[end])]);
    b.pass(455);
    assert_eq!(b.codes(A)[3].1, codes::UNKNOWN_SERVER_ERROR);
    let wrong = b.send(A, &[("order", 1, &[headed("y", "deadline-at-ms", "soon")])]);
    assert_eq!(b.codes(A)[4], (wrong, codes::INVALID_RECORD));
    assert!(b.answers[&A][4].parts[0].records[0].1.contains("deadline-at-ms: `soon`"));
}

#[test]
fn an_idle_connection_that_died_under_a_call_teaches_not_to_trust_the_next() {
    let mut doc = settings();
    doc["rates"] = "exact".into();
    for how in ["reset", "silent"] {
        let mut b = Bench::with(&doc, 1);
        b.client(A);
        // Busy enough that its connections are kept by the library.
        for n in 0..40 {
            // Two at a time, so that both endpoints are used.
            b.one(A, "status", 1, &format!("warm{n}a"));
            b.one(A, "status", 1, &format!("warm{n}b"));
            while !b.calls.is_empty() {
                let call = b.calls.remove(0);
                b.reply_to(&call, codes::NONE, 0);
            }
            b.pass(50);
        }
        let kept: Vec<u64> = b.links.keys().copied().collect();
        assert!(!kept.is_empty(), "a connection is kept");
        b.pass(2000);
        let fresh_for = |b: &mut Bench, value: &str| {
            b.one(A, "status", 1, value);
            let call = &b.calls[b.call(value)];
            (call.link, !kept.contains(&call.link))
        };
        let (link, fresh) = fresh_for(&mut b, "first");
        assert!(!fresh, "{how}: there is no reason for distrust yet");
        if how == "reset" {
            let written = b.links.remove(&link).unwrap().bytes;
            b.core.upstream_disconnected(link, written);
            b.round();
        } else {
            // Nothing comes; the copy and later calls are answered.
            b.pass(1500);
        }
        for n in 0..6 {
            while let Some(at) = b.calls.iter().position(|c| c.link != link) {
                let call = b.calls.remove(at);
                b.reply_to(&call, codes::NONE, 0);
            }
            b.one(A, "status", 1, &format!("after{n}"));
            b.pass(20);
        }
        while let Some(at) = b.calls.iter().position(|c| c.link != link) {
            let call = b.calls.remove(at);
            b.reply_to(&call, codes::NONE, 0);
        }
        b.pass(1900);
        let before: Vec<u64> = b.links.keys().copied().collect();
        b.one(A, "status", 1, "later");
        let call = &b.calls[b.call("later")];
        assert!(
            !before.contains(&call.link),
            "{how}: idle for 1.9 s, where not even half of what was lost is trusted"
        );
    }
}

#[test]
fn what_never_left_is_known_not_to_have_run() {
    // Refused, hanging, closed before it was greeted, and closed before the system took a byte of the call.
    for how in ["refused", "hangs", "ungreeted", "unwritten", "partly", "written"] {
        let mut b = bench();
        b.easy = false;
        let n = b.one(A, "order", 2, "x");
        let link = b.connecting.pop().unwrap();
        match how {
            "refused" => b.core.upstream_connect_failed(link),
            "hangs" => b.pass(1010),
            "ungreeted" => {
                b.open(link);
                let written = b.links[&link].bytes;
                b.core.upstream_disconnected(link, written);
            }
            _ => {
                b.open(link);
                let greeting = b.links[&link].bytes;
                b.greet(link);
                assert_eq!(b.calls_of("x"), 1);
                let all = b.links[&link].bytes;
                b.core.upstream_disconnected(
                    link,
                    match how {
                        "unwritten" => greeting,
                        "partly" => greeting + 1,
                        _ => all,
                    },
                );
            }
        }
        b.round();
        if matches!(how, "partly" | "written") {
            assert_eq!(b.codes(A), [(n, codes::UNKNOWN_SERVER_ERROR)], "{how}: it may have run");
        } else {
            assert_eq!(b.codes(A), [], "{how}: it is still tried");
            b.easy = true;
            b.pass(2700);
            let tried = b.connecting.len() + b.calls_of("x");
            assert!(tried > 0 || !b.codes(A).is_empty(), "{how}");
            assert_ne!(
                b.codes(A).first().map(|c| c.1),
                Some(codes::UNKNOWN_SERVER_ERROR),
                "{how}: it never ran"
            );
        }
    }
}

#[test]
fn nothing_leaves_to_an_endpoint_that_began_to_drain_while_the_connection_was_made() {
    let mut b = bench();
    b.easy = false;
    b.one(A, "order", 2, "x");
    let link = b.connecting.pop().unwrap();
    b.open(link);
    b.news(false, vec![entry(20, 2, "small", EntryState::Draining)]);
    b.greet(link);
    assert!(b.calls.is_empty());
}

#[test]
fn nothing_leaves_within_a_wait_that_was_told_while_the_connection_was_made() {
    let mut doc = settings();
    doc["rates"] = "exact".into();
    let mut b = Bench::with(&doc, 1);
    b.client(A);
    let told = |id| linnetcart_edge::settings::EndpointEntry {
        rate: 100.0,
        ..entry(id, 1, "large", EntryState::Ready)
    };
    b.news(false, vec![told(10), told(11)]);
    b.one(A, "status", 1, "first");
    b.easy = false;
    b.one(A, "status", 1, "second");
    let link = b.connecting.pop().expect("a further connection");
    b.reply("first", codes::THROTTLING_QUOTA_EXCEEDED, 700);
    b.open(link);
    b.greet(link);
    assert_eq!(b.calls_of("second"), 0);
    b.easy = true;
    b.pass(650);
    assert!(b.calls.is_empty());
    b.pass(3000);
    assert!(b.calls_of("second") > 0, "after the wait it goes");
}

#[test]
fn an_attempt_called_off_before_it_left_has_not_run() {
    let mut b = bench();
    b.easy = false;
    let long = b.one(A, "order", 1, "x");
    let short = b.send(A, &[("order", 2, &[headed("y", "deadline-ms", "200")])]);
    b.pass(210);
    assert_eq!(b.codes(A), [(long, codes::NOT_ENOUGH_REPLICAS), (short, codes::NOT_ENOUGH_REPLICAS)]);
}

#[test]
fn what_one_call_takes_rides_together_and_shares_its_fate() {
    let mut b = bench();
    let batch: Vec<_> = (0..5).map(|n| record(&format!("r{n}"))).collect();
    let n = b.send(A, &[("status", 3, &batch)]);
    let sizes: Vec<usize> = b.calls.iter().map(|c| c.parts.iter().map(|p| p.2.len()).sum()).collect();
    assert_eq!(sizes, [3, 2]);
    assert_eq!(b.core.status().calls, 2, "a call is a slot");
    b.reply("r0", codes::NONE, 0);
    assert_eq!(b.codes(A), []);
    b.reply("r4", codes::NONE, 0);
    assert_eq!(b.codes(A), [(n, codes::NONE)]);
}

#[test]
fn keys_go_in_turn_also_over_the_last_number() {
    let mut b = Bench::with(&settings(), u32::MAX - 1);
    b.client(A);
    for n in 0..4 {
        b.send(A, &[("proxy", 1, &[keyed(&format!("k{n}"), "same")])]);
    }
    for n in 0..4 {
        assert_eq!(b.calls.len(), 1, "one at a time");
        b.reply(&format!("k{n}"), codes::NONE, 0);
        b.round();
    }
    assert_eq!(b.codes(A).iter().map(|c| c.1).collect::<Vec<_>>(), [codes::NONE; 4]);
}

#[test]
fn draining_takes_nothing_new_and_ends_what_is_held_by_its_rules() {
    let mut b = bench();
    b.client(2);
    let held = b.one(A, "order", 2, "x");
    b.core.begin_drain(b.now + 1000 * MS);
    let late = b.one(2, "status", 1, "late");
    assert_eq!(b.codes(2), [(late, codes::NOT_ENOUGH_REPLICAS)]);
    assert!(!b.core.is_done());
    b.pass(1010);
    assert_eq!(b.codes(A), [(held, codes::UNKNOWN_SERVER_ERROR)], "it may have run");
    assert!(b.core.is_done());
}
