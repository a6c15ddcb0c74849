//! Narrow moments on real connections: a request, an answer or a signal between two lines. Each test has the bad
//! order happen every time: the stand-ins do a thing when the test says so, and never by a clock. What is to be
//! in one turn of the program is sent while it is stopped.

mod process;

use process::*;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Connections may take as long as the system tries for them.
fn patient(mut config: Value) -> Value {
    config["settings"]["bounds"]["connect_timeout_ns"] = 20_000_000_000u64.into();
    config
}

/// And another destination, 4.
fn with_other(mut config: Value, other: SocketAddr) -> Value {
    let mut entry = entry("s-9", other, "active");
    entry["group"] = 4.into();
    config["known"]["endpoints"].as_array_mut().unwrap().push(entry);
    config
}

/// The configuration as it is, with its classes in this order.
fn refill(rig: &Rig, classes: &[usize]) -> Value {
    let text = std::fs::read_to_string(rig.dir.join("config.json")).unwrap();
    let mut config: Value = serde_json::from_str(&text).unwrap();
    let all = config["settings"]["services"].clone();
    config["settings"]["services"] = classes.iter().map(|&n| all[n].clone()).collect();
    config
}

#[test]
fn a_wait_told_while_a_connection_is_made_binds_the_call_that_it_is_for() {
    let ((discovery, _), quick, mut late) = (discovery(), Gate::new(), Gate::late());
    let rig = Rig::with("wait", |listen| patient(file(listen, &[quick.at, late.at], discovery)));
    // Each endpoint gets one: the second goes to where none is out.
    assert_eq!((rig.hand_in("order", "a"), rig.hand_in("order", "b")), (202, 202));
    let mut first = quick.take();
    first.request();
    first.send("HTTP/1.1 429 No\r\nX-Backoff-Ms: 20000\r\nContent-Length: 0\r\n\r\n");
    rig.settle();
    late.open();
    let mut second = late.take();
    rig.settle();
    assert!(second.is_still(), "the wait binds every endpoint of the destination");
    assert_eq!(rig.logged("attempt withheld, Retry-After pending", &[]), 1);
}

#[test]
fn a_call_that_waited_for_its_connection_while_the_journal_began_anew_counts_after_a_kill() {
    let ((discovery, notices), (quick, served), mut late) = (discovery(), endpoint(), Gate::late());
    let mut rig = Rig::with("anew", |listen| patient(with_other(file(listen, &[late.at], discovery), quick)));
    assert_eq!(rig.hand_in("order", "unsafe"), 202);
    let before = files(&rig);
    // Others fill the file until there is a new one, which begins with what is held.
    for n in 0.. {
        assert!(n < 20, "the journal never begins anew");
        let id = format!("fill-{n}");
        let head = message("status", &id, "Content-Length: 60000\r\n").replace("dest=3", "dest=4");
        assert_eq!(rig.ask(&format!("{head}{}", "x".repeat(60_000))), Some(202));
        until("it is delivered", || count(&served, &id) == 1);
        rig.settle();
        if files(&rig) != before {
            break;
        }
    }
    late.open();
    let mut call = late.take();
    assert_eq!(call.request(), "unsafe");
    rig.kill_and_start();
    until("it is ended by a notice", || count(&notices, "unsafe") == 1);
    assert!(count(&notices, r#""state":"failed""#) == 1, "it may have run");
    rig.settle();
    assert!(late.is_still(), "and does not go again");
}

fn files(rig: &Rig) -> Vec<std::ffi::OsString> {
    std::fs::read_dir(rig.dir.join("state")).unwrap().map(|e| e.unwrap().file_name()).collect()
}

#[test]
fn under_settings_in_another_order_a_message_keeps_its_class() {
    let ((discovery, notices), (endpoint, calls)) = (discovery(), endpoint());
    let mut rig = Rig::new("classes", endpoint, discovery);
    assert_eq!((rig.hand_in("order", "slow-order"), rig.hand_in("status", "slow-status")), (202, 202));
    until("both are out", || calls.lock().unwrap().len() == 2);
    // The place of the unsafe class is now that of the safe one.
    write(&rig.dir, &refill(&rig, &[2, 0, 1]));
    rig.kill_and_start();
    until("the safe one goes again", || count(&calls, "slow-status") == 2);
    until("the unsafe one is ended", || count(&notices, "slow-order") == 1);
    // And where there is no such class at all, what is owed has an end all the same.
    write(&rig.dir, &refill(&rig, &[0, 2]));
    rig.kill_and_start();
    until("it has failed", || count(&notices, r#""slow-status","state":"failed""#) == 1);
    assert_eq!((count(&calls, "slow-order"), count(&calls, "slow-status")), (1, 2));
    let id = [("id", json!("slow-status"))];
    assert_eq!(rig.logged("recovered message of unknown class failed", &id), 1);
}

#[test]
fn a_message_that_is_over_is_known_under_its_id_also_after_kills() {
    let ((discovery, _), (endpoint, calls)) = (discovery(), endpoint());
    let mut rig = Rig::new("known", endpoint, discovery);
    assert_eq!(rig.hand_in("order", "once"), 202);
    until("it is delivered", || count(&calls, "once") == 1);
    rig.settle();
    for _ in 0..3 {
        assert_eq!(rig.hand_in("order", "once"), 202, "it is known");
        assert_eq!(rig.hand_in("status", "once"), 409, "another under its id");
        rig.settle();
        assert_eq!(count(&calls, "once"), 1);
        rig.kill_and_start();
    }
}

#[test]
fn two_who_hand_in_one_message_in_one_turn_get_the_same_answer() {
    let ((discovery, _), (endpoint, calls)) = (discovery(), endpoint());
    let rig = Rig::new("twice", endpoint, discovery);
    for (left, status, called) in [("1", 503, 0), ("30000", 202, 1)] {
        let text = message("order", &format!("m-{left}"), "").replace("-Ms: 30000", &format!("-Ms: {left}"));
        let mut clients = [Wire::to(rig.listen), Wire::to(rig.listen)];
        rig.settle();
        rig.signal(Signal::STOP);
        clients.iter_mut().for_each(|c| c.send(&text));
        rig.signal(Signal::CONT);
        let answers = clients.each_mut().map(|c| c.answer().0);
        assert_eq!(answers, [status; 2], "handed back in its round, or taken on: to both");
        rig.settle();
        until("it is called", || count(&calls, &format!("m-{left}")) >= called);
        assert_eq!(count(&calls, &format!("m-{left}")), called);
    }
}

#[test]
fn a_client_that_asks_for_the_end_gets_it_with_its_answer() {
    let ((discovery, _), (endpoint, _)) = (discovery(), endpoint());
    let rig = Rig::new("close", endpoint, discovery);
    let mut client = Wire::to(rig.listen);
    client.send(&message("order", "last", "Connection: close\r\n"));
    assert_eq!(client.answer(), (202, true));
    client.ends();
    let mut client = Wire::to(rig.listen);
    client.send(&message("order", "half", ""));
    client.half_close();
    assert_eq!(client.answer().0, 202, "one that sends no more still reads");
    client.ends();
}

#[test]
fn requests_that_come_as_the_last_connections_are_taken_are_answered() {
    let ((discovery, _), (endpoint, _)) = (discovery(), endpoint());
    let mut rig = Rig::new("term", endpoint, discovery);
    // A slow process: it has heard the signal, and by the time it looks again it is past the moment at which idle
    // connections go. It has to be stopped before that moment; if this test was too slow for it, once more.
    let mut kept = loop {
        let mut kept = Wire::to(rig.listen);
        kept.send("GET /ready HTTP/1.1\r\n\r\n");
        assert_eq!(kept.answer().0, 200);
        let lives = rig.logged("shutdown started", &[]);
        rig.signal(Signal::TERM);
        until("it has heard", || rig.logged("shutdown started", &[]) > lives);
        rig.signal(Signal::STOP);
        until("it is stopped", || is_stopped(&rig));
        if !kept.is_ready() {
            break kept;
        }
        rig.kill_and_start();
    };
    let mut clients: Vec<Wire> = (0..20).map(|_| Wire::to(rig.listen)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&message("order", &format!("late-{n}"), ""));
    }
    kept.send(&message("order", "kept", ""));
    std::thread::sleep(std::time::Duration::from_millis(600));
    rig.signal(Signal::CONT);
    assert_eq!(kept.answer(), (202, true));
    for client in &mut clients {
        assert_eq!(client.answer(), (202, true), "taken on, and the connection ends");
    }
    assert!(rig.child.wait().unwrap().success());
}

#[test]
fn a_configuration_that_is_being_written_is_read_when_it_is_whole_and_no_signal_comes_too_early() {
    let ((endpoint, calls), (first, _), (second, after)) = (endpoint(), discovery(), discovery());
    let mut rig = Rig::new("reload", endpoint, first);
    let whole = file(rig.listen, &[endpoint], second).to_string();
    std::fs::write(rig.dir.join("config.json"), &whole[..whole.len() / 2]).unwrap();
    rig.signal(Signal::HUP);
    until("it has seen half of it", || {
        rig.logged("configuration unreadable, previous one stays in force", &[]) > 0
    });
    std::fs::write(rig.dir.join("config.json"), &whole).unwrap();
    until("it has read all of it", || rig.logged("configuration reloaded", &[]) > 0);
    assert_eq!(rig.hand_in("order", "slow-m"), 202);
    until("it is out", || count(&calls, "slow-m") == 1);
    rig.kill_and_start();
    until("the notice goes there", || count(&after, "slow-m") == 1);
    // A signal while it starts, again and again: it neither ends it nor is it lost.
    rig.child.kill().unwrap();
    rig.child.wait().unwrap();
    rig.child = start(&rig.dir);
    until("it catches signals", || caught(&rig));
    (0..20).for_each(|_| rig.signal(Signal::HUP));
    rig.ready();
    until("it has read it again", || rig.logged("configuration reloaded", &[]) >= 2);
}

fn is_stopped(rig: &Rig) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/status", rig.child.id())).unwrap();
    status.lines().any(|l| l.starts_with("State:\tT"))
}

/// Whether the process blocks SIGHUP, as one does that reads its signals.
fn caught(rig: &Rig) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/status", rig.child.id())).unwrap();
    let mask = status.lines().find_map(|l| l.strip_prefix("SigBlk:")).unwrap().trim();
    u64::from_str_radix(mask, 16).unwrap() & 1 != 0
}

#[test]
fn what_a_restart_finds_untried_is_tried() {
    for (name, signal) in [("full-kill", Signal::KILL), ("full-term", Signal::TERM)] {
        let ((discovery, notices), gate) = (discovery(), Gate::new());
        let mut rig = Rig::with(name, |listen| file(listen, &[gate.at], discovery));
        // Slots for six are taken by calls that hang; all others wait, as many as are held without any going back.
        let taken = (0..36).filter(|n| rig.hand_in("order", &format!("m{n}")) == 202).count();
        assert_eq!(taken, 36);
        let mut hung: Vec<Wire> = (0..6).map(|_| gate.take()).collect();
        let out: Vec<String> = hung.iter_mut().map(Wire::request).collect();
        rig.signal(signal);
        rig.child.wait().unwrap();
        drop(hung);
        rig.child = start(&rig.dir);
        rig.ready();
        let untried = taken - out.len();
        let mut seen = serve_all(&gate, &mut vec![], untried);
        seen.sort();
        seen.dedup();
        assert!(seen.len() == untried && seen.iter().all(|id| !out.contains(id)), "each of them once");
        let failed = || notices.lock().unwrap().iter().map(|n| n.matches("failed").count()).sum::<usize>();
        until("the others have failed", || failed() == out.len());
        let counts = [
            ("recovered", json!(taken)),
            ("untried", json!(untried)),
            ("attempted", json!(untried)),
            ("given_up", json!(0)),
        ];
        until("it says so", || rig.logged("recovery finished", &counts) == 1);
    }
}

#[test]
fn a_connection_whose_answer_is_not_there_whole_carries_no_other_call() {
    let ((discovery, _), gate) = (discovery(), Gate::new());
    let rig = Rig::with("body", |listen| file(listen, &[gate.at], discovery));
    let (mut wires, mut spoilt) = (vec![], 0);
    // A connection is kept once there is a use for it. Each answer but the last is whole.
    for (n, answer) in
        [SERVED, SERVED, SERVED, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal"].iter().enumerate()
    {
        assert_eq!(rig.hand_in("order", &format!("m{n}")), 202);
        let (at, id) = serve_next(&gate, &mut wires, answer);
        assert_eq!(id, format!("m{n}"));
        spoilt = at;
        rig.settle();
        // Longer than a connection rests after its answer; how much longer is no matter.
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(rig.hand_in("order", "next"), 202);
    let (at, id) = serve_next(&gate, &mut wires, SERVED);
    assert!(at != spoilt && id == "next", "what is still to come there is not its answer");
}

/// Serves so many requests, on these connections or new ones: their ids.
fn serve_all(gate: &Gate, wires: &mut Vec<Wire>, count: usize) -> Vec<String> {
    (0..count).map(|_| serve_next(gate, wires, SERVED).1).collect()
}

/// Serves the next request on any of these connections or a new one: which, and its id.
fn serve_next(gate: &Gate, wires: &mut Vec<Wire>, answer: &str) -> (usize, String) {
    for _ in 0..1500 {
        if !gate.is_still_for(20) {
            wires.push(gate.take());
        }
        let asks = wires.iter_mut().position(|w| w.is_ready() && w.has_request());
        if let Some(at) = asks {
            let id = wires[at].request();
            wires[at].send(answer);
            return (at, id);
        }
    }
    panic!("half a minute, and no request");
}

#[test]
fn a_late_answer_to_a_call_that_was_given_up_ends_its_message_and_what_else_is_out_for_it() {
    let ((discovery, notices), gates) = (discovery(), [Gate::new(), Gate::new()]);
    let mut rig = Rig::with("late", |listen| {
        let mut config = file(listen, &[gates[0].at, gates[1].at], discovery);
        config["settings"]["services"][0]["slo_ns"] = 200_000_000.into();
        config
    });
    assert_eq!(rig.hand_in("status", "a"), 202);
    until("it is out", || gates.iter().any(|g| !g.is_still()));
    let first = gates.iter().position(|g| !g.is_still()).unwrap();
    let mut hung = gates[first].take();
    assert_eq!(hung.request(), "a");
    // Another is served where the first is not: it hangs while its siblings answer, and is given up.
    assert_eq!(rig.hand_in("status", "b"), 202);
    let mut wires = vec![];
    assert_eq!(serve_next(&gates[1 - first], &mut wires, SERVED).1, "b");
    hung.ends();
    // It has gone again by now; its first answer comes all the same.
    let again = serve_next(&gates[1 - first], &mut wires, "");
    assert_eq!(again.1, "a");
    hung.send(SERVED);
    wires[again.0].ends();
    rig.kill_and_start();
    rig.settle();
    assert!(gates.iter().all(Gate::is_still), "delivered: nothing is sent after");
    assert_eq!(count(&notices, "\"a\""), 0, "and no other end told");
}

#[test]
fn what_comes_after_a_restart_does_not_drive_out_what_it_found_untried() {
    let ((discovery, notices), gate) = (discovery(), Gate::new());
    let mut rig = Rig::with("crowd", |listen| file(listen, &[gate.at], discovery));
    let found = (0..36).filter(|n| rig.hand_in("status", &format!("found-{n}")) == 202).count();
    assert_eq!(found, 36, "as many as are held without any going back");
    let hung: Vec<Wire> = (0..6).map(|_| gate.take()).collect();
    rig.kill_and_start();
    drop(hung);
    // Its slots are taken by calls that hang, and more come than are held. They are worth more, as they are younger.
    let mut wires: Vec<Wire> = (0..6).map(|_| gate.take()).collect();
    let new = (0..12).filter(|n| rig.hand_in("status", &format!("new-{n}")) == 202).count();
    assert_eq!(new, 0, "refused unseen, which is harmless");
    let mut seen = serve_all(&gate, &mut wires, found);
    seen.sort();
    seen.dedup();
    assert!(seen.len() == found && seen.iter().all(|id| id.starts_with("found")), "{seen:?}");
    assert_eq!(count(&notices, "returned"), 0);
}

#[test]
fn after_a_restart_nothing_goes_by_a_list_that_discovery_has_newer_news_of() {
    // Discovery has to be heard within the time that a process waits for it. Where the test was too slow, again.
    assert!((0..5).any(|n| !goes_by_the_old_list(n)), "a call to an endpoint that had left before the start");
}

fn goes_by_the_old_list(n: u32) -> bool {
    let (agent, gate) = (Gate::new(), Gate::new());
    let mut rig = Rig::with(&format!("first-{n}"), |listen| file(listen, &[gate.at], agent.at));
    (0..7).for_each(|n| assert_eq!(rig.hand_in("order", &format!("m{n}")), 202));
    let hung: Vec<Wire> = (0..6).map(|_| gate.take()).collect();
    rig.child.kill().unwrap();
    rig.child.wait().unwrap();
    drop((hung, agent.take()));
    // One is untried, and its endpoint has left meanwhile.
    rig.child = start(&rig.dir);
    let mut watch = agent.take();
    rig.signal(Signal::STOP);
    let entry = entry("s-1", gate.at, "left");
    let line = format!("{}\n", serde_json::json!({"index": 2, "snapshot": false, "endpoints": [entry]}));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.send(&format!("{head}{:x}\r\n{line}\r\n", line.len()));
    rig.signal(Signal::CONT);
    rig.ready();
    rig.settle();
    !gate.is_still()
}

#[test]
fn an_answer_that_is_read_after_its_message_s_time_does_not_stand_for_its_end() {
    let ((discovery, notices), gate) = (discovery(), Gate::new());
    let rig = Rig::with("after", |listen| file(listen, &[gate.at], discovery));
    let text = message("order", "late", "").replace("-Ms: 30000", "-Ms: 1000");
    assert_eq!(rig.ask(&text), Some(202));
    let mut call = gate.take();
    assert_eq!(call.request(), "late");
    // A slow process, over the moment at which it would have ended the message.
    rig.signal(Signal::STOP);
    until("it is stopped", || is_stopped(&rig));
    std::thread::sleep(std::time::Duration::from_millis(1100));
    call.send(SERVED);
    rig.signal(Signal::CONT);
    until("it is ended by a notice", || count(&notices, r#""late","state":"failed""#) == 1);
}

#[test]
fn a_key_rests_after_a_call_that_may_run_on_also_in_the_next_process() {
    let ((discovery, notices), gate) = (discovery(), Gate::new());
    let mut rig = Rig::with("rest", |listen| {
        let mut config = file(listen, &[gate.at], discovery);
        config["settings"]["contract"]["turn_gap_ns"] = 4_000_000_000u64.into();
        config
    });
    let of = |key: &str, id: &str| message("change", id, &format!("Cookie: subject={key}\r\n"));
    assert_eq!(rig.ask(&of("k", "first").replace("-Ms: 30000", "-Ms: 500")), Some(202));
    let mut call = gate.take();
    assert_eq!(call.request(), "first");
    until("its time is up", || count(&notices, "first") == 1);
    rig.kill_and_start();
    assert_eq!((rig.ask(&of("k", "second")), rig.ask(&of("l", "other"))), (Some(202), Some(202)));
    let mut wires = vec![];
    assert_eq!(serve_next(&gate, &mut wires, SERVED).1, "other");
    rig.settle();
    assert!(gate.is_still_for(100) && !wires[0].is_ready(), "its key rests");
    assert_eq!(serve_next(&gate, &mut wires, SERVED).1, "second", "and then it goes");
}
