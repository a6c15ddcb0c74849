//! Several clients send requests with the same id and different content: one message is accepted, and each answer is
//! true of the request that it answers.

use crate::courier::{platform_config, wait_until, CourierProcess};
use crate::peer::Peer;
use crate::stubs::{content_endpoint_stub, discovery_stub, Stub};
use serde_json::json;

/// All that is passed on of a message or decides about it, apart from its id.
#[derive(Clone, Debug)]
struct Content {
    class: &'static str,
    destination: u32,
    subject: String,
    idempotency_key: Option<&'static str>,
    body: String,
}

impl Content {
    /// Returns content of the class `change`, which has an idempotency key and is ordered by the cookie `subject`.
    fn new(subject: &str, body: &str) -> Content {
        Content {
            class: "change",
            destination: 3,
            subject: subject.to_owned(),
            idempotency_key: Some("key"),
            body: body.to_owned(),
        }
    }

    fn request(&self, id: &str) -> String {
        let key = self.idempotency_key.map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        format!(
            "POST /{} HTTP/1.1\r\nX-Txn: {id}\r\n{key}X-Remaining-Ms: 30000\r\nX-Route-To: dest={}\r\n\
             Cookie: subject={}\r\nContent-Length: {}\r\n\r\n{}",
            self.class,
            self.destination,
            self.subject,
            self.body.len(),
            self.body
        )
    }

    /// What an endpoint receives of the message with this id.
    fn call(&self, id: &str) -> String {
        format!("{id} {} {}", self.idempotency_key.unwrap_or("-"), self.body)
    }
}

/// A courier with an endpoint of destination 3 and one of destination 4.
struct Contest {
    courier: CourierProcess,
    endpoints: [Stub; 2],
    _discovery: Stub,
}

impl Contest {
    fn new(name: &str) -> Contest {
        let discovery = discovery_stub();
        let endpoints = [content_endpoint_stub(), content_endpoint_stub()];
        let addresses = endpoints.each_ref().map(|endpoint| endpoint.address);
        let courier = CourierProcess::with_config(name, |listen| {
            let mut config = platform_config(listen, &addresses, discovery.address);
            config["known"]["endpoints"][1]["group"] = 4.into();
            config["settings"]["family_info"] = json!({"max_calls": 60, "kind_apart": [false]});
            config
        });
        Contest { courier, endpoints, _discovery: discovery }
    }

    /// Returns a connection that the courier has accepted.
    fn connect(&self) -> Peer {
        let mut client = Peer::connect(self.courier.listen);
        client.send("GET /ready HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_response().status, 200);
        client
    }

    /// Submits a message on a connection of its own. Returns the status of the response.
    fn submit(&self, id: &str, content: &Content) -> Option<u16> {
        self.courier.request(&content.request(id))
    }

    /// Waits until a message is sent, and checks that all calls with its id have its content.
    fn check_only_sent(&self, id: &str, content: &Content) {
        wait_until("the message is sent", || !self.calls(id).is_empty());
        self.courier.wait_until_input_processed();
        let other_calls: Vec<_> =
            self.calls(id).into_iter().filter(|call| *call != content.call(id)).collect();
        assert_eq!(other_calls, Vec::<String>::new(), "{id}");
    }

    /// Returns what the endpoints have received under this id.
    fn calls(&self, id: &str) -> Vec<String> {
        let received = self.endpoints.iter().flat_map(Stub::requests);
        received.filter(|call| call.starts_with(&format!("{id} "))).collect()
    }
}

/// Returns contents that differ from the usual one of this subject in one field.
fn one_field_apart(usual: &Content) -> Vec<(&'static str, Content)> {
    let with = |change: fn(&mut Content)| {
        let mut content = usual.clone();
        change(&mut content);
        content
    };
    vec![
        ("class", with(|content| content.class = "order")),
        ("destination", with(|content| content.destination = 4)),
        ("ordering key", with(|content| content.subject.push('2'))),
        ("no ordering key", with(|content| content.subject.clear())),
        ("idempotency key", with(|content| content.idempotency_key = Some("other"))),
        ("last byte", with(|content| content.body.replace_range(content.body.len() - 1.., "X"))),
        ("one byte more", with(|content| content.body.push('X'))),
        ("no body", with(|content| content.body.clear())),
    ]
}

/// Submits a usual message and then, after `between`, others with its id that differ from it in one field, and itself
/// again. The others have to be told that they were not accepted, and nothing of them may be sent.
fn check_one_field_apart(name: &str, prefix: &str, mut between: impl FnMut(&mut Contest)) {
    let mut contest = Contest::new(name);
    let usual = |id: &str| Content::new(id, "the usual client's");
    let fields = one_field_apart(&usual("")).len();
    let ids: Vec<String> = (0..fields).map(|field| format!("{prefix}-{field}")).collect();
    for id in &ids {
        assert_eq!(contest.submit(id, &usual(id)), Some(202));
        contest.check_only_sent(id, &usual(id));
    }
    between(&mut contest);
    let mut statuses = Vec::new();
    for (id, field) in ids.iter().zip(0..) {
        let (what, other) = &one_field_apart(&usual(id))[field];
        statuses.push((*what, [contest.submit(id, other), contest.submit(id, &usual(id))]));
        contest.check_only_sent(id, &usual(id));
    }
    println!("{name}: {statuses:?}");
    let is_true = |(_, statuses): &(&str, [Option<u16>; 2])| *statuses == [Some(409), Some(202)];
    assert!(statuses.iter().all(is_true), "another one, the same client again: {statuses:?}");
}

/// Guards against a client being told that its message is accepted while that of another is open: it was never sent.
#[test]
fn submission_with_id_of_open_message_is_accepted_only_with_its_content() {
    check_one_field_apart("contested-open", "slow", |_| {});
}

/// Guards against the same after the message was delivered: its idempotency key was not compared.
#[test]
fn submission_with_id_of_delivered_message_is_accepted_only_with_its_content() {
    check_one_field_apart("contested-delivered", "fast", |_| {});
}

/// Guards against the same after the process that accepted the message was killed.
#[test]
fn submission_with_id_of_recovered_message_is_accepted_only_with_its_content() {
    check_one_field_apart("contested-recovered", "slow", |contest| contest.courier.kill_and_restart());
}

/// Guards against the same after the process that saw the message delivered was killed.
#[test]
fn submission_with_id_of_message_delivered_before_restart_is_accepted_only_with_its_content() {
    check_one_field_apart("contested-before-restart", "fast", |contest| contest.courier.kill_and_restart());
}

/// Guards against a request that joins the decision on a message with other content: it was told that it is accepted.
#[test]
fn submission_joins_decision_only_with_same_content() {
    let contest = Contest::new("contested-decision");
    let usual = |id: &str| Content::new(id, "the usual client's");
    let mut all_statuses = Vec::new();
    for field in 0..one_field_apart(&usual("")).len() {
        let id = format!("fast-{field}");
        let (what, other) = &one_field_apart(&usual(&id))[field];
        let mut clients = [contest.connect(), contest.connect(), contest.connect()];
        contest.courier.wait_until_input_processed();
        contest.courier.stop();
        for (client, content) in clients.iter_mut().zip([&usual(&id), other, &usual(&id)]) {
            client.send(&content.request(&id));
        }
        contest.courier.resume();
        all_statuses.push((*what, clients.each_mut().map(|client| client.read_response().status)));
        contest.check_only_sent(&id, &usual(&id));
    }
    println!("{all_statuses:?}");
    assert!(all_statuses.iter().all(|(_, statuses)| *statuses == [202, 409, 202]), "{all_statuses:?}");
}

/// Guards against the request on the older connection being read first, whatever arrived first: the message of the
/// other was not sent.
#[test]
fn of_two_unread_requests_the_one_that_arrived_first_is_accepted() {
    let contest = Contest::new("contested-unread");
    for (id, is_established) in [("older", true), ("newer", true), ("new", false)] {
        let (first, second) = (Content::new(id, "the first"), Content::new(id, "the second"));
        let mut connections = [contest.connect(), contest.connect()];
        if id == "newer" {
            connections.reverse();
        }
        let [mut sends_first, mut sends_second] = connections;
        contest.courier.wait_until_input_processed();
        contest.courier.stop();
        if !is_established {
            sends_first = Peer::connect(contest.courier.listen);
        }
        sends_first.send(&first.request(id));
        sends_second.send(&second.request(id));
        contest.courier.resume();
        assert_eq!(sends_first.read_response().status, 202, "{id}");
        assert_eq!(sends_second.read_response().status, 409, "{id}");
        contest.check_only_sent(id, &first);
    }
}

/// Returns the lengths of the parts of a request that may have arrived when another one comes: its first line, the line
/// of its id, its head, half of its body, and all but its last byte.
fn cuts(request: &str) -> [usize; 5] {
    let first_line = request.find("\r\n").unwrap() + 2;
    let id_line = first_line + request[first_line..].find("\r\n").unwrap() + 2;
    let head = request.find("\r\n\r\n").unwrap() + 4;
    [first_line, id_line, head, (head + request.len()) / 2, request.len() - 1]
}

/// A request of which the courier has read the first part, and a stranger with the same id on an older connection.
struct UnderWay {
    id: String,
    usual: Content,
    other: Content,
    client: Peer,
    stranger: Peer,
    rest: String,
}

impl UnderWay {
    /// Sends the part of a request up to this one of its [`cuts`].
    fn new(contest: &Contest, prefix: &str, cut: usize) -> UnderWay {
        let id = format!("{prefix}-{cut}");
        let (usual, other) = (Content::new(&id, "the usual client's"), Content::new(&id, "the stranger's"));
        let (stranger, mut client) = (contest.connect(), contest.connect());
        let mut start = usual.request(&id);
        let rest = start.split_off(cuts(&start)[cut]);
        client.send(&start);
        contest.courier.wait_until_input_processed();
        UnderWay { id, usual, other, client, stranger, rest }
    }

    fn send_stranger(&mut self) {
        self.stranger.send(&self.other.request(&self.id));
    }

    fn send_rest(&mut self) {
        self.client.send(&self.rest);
    }

    /// Reads the status of the usual client's response, and of the stranger's.
    fn statuses(&mut self) -> [u16; 2] {
        [self.client.read_response().status, self.stranger.read_response().status]
    }
}

/// Guards against a whole request taking the id of one that is under way for a moment: its message was not sent.
#[test]
fn request_under_way_keeps_its_id_from_the_line_that_names_it() {
    let contest = Contest::new("contested-moment");
    for cut in 0..5 {
        let mut request = UnderWay::new(&contest, "moment", cut);
        contest.courier.stop();
        request.send_stranger();
        request.send_rest();
        contest.courier.resume();
        let is_named = cut > 0;
        assert_eq!(request.statuses(), if is_named { [202, 409] } else { [409, 202] }, "{}", request.id);
        contest.check_only_sent(&request.id, if is_named { &request.usual } else { &request.other });
    }
}

/// Guards against an id that belongs to a request which does not go on, and against that request being told later that
/// its message is accepted.
#[test]
fn request_under_way_for_long_loses_its_id() {
    let contest = Contest::new("contested-long");
    for cut in 0..5 {
        let mut request = UnderWay::new(&contest, "long", cut);
        request.send_stranger();
        assert!(request.stranger.wait_for_input());
        request.send_rest();
        assert_eq!(request.statuses(), [409, 202], "{}", request.id);
        contest.check_only_sent(&request.id, &request.other);
    }
}

/// Guards against a part of a request being told that its message is accepted because its id is another message's.
#[test]
fn request_that_is_never_complete_is_not_accepted_with_the_id_of_an_open_message() {
    let contest = Contest::new("contested-never");
    let mut clients = Vec::new();
    for cut in 1..5 {
        let mut request = UnderWay::new(&contest, "slow", cut);
        request.send_stranger();
        clients.push(request);
    }
    for request in &mut clients {
        assert_eq!(request.statuses(), [408, 202], "{}", request.id);
    }
}

/// Guards against an invalid copy costing a client its message: its id was refused from then on.
#[test]
fn invalid_request_with_its_id_costs_a_client_nothing() {
    let contest = Contest::new("contested-invalid");
    let changes: [(&str, &str, &str); 7] = [
        ("an unreadable time", "-Ms: 30000", "-Ms: soon"),
        ("no destination", "X-Route-To", "X-Elsewhere"),
        ("an unknown class", "POST /change", "POST /none"),
        ("another method", "POST", "PUT"),
        ("no idempotency key", "Idempotency-Key", "X-Key"),
        ("two lengths", "Content-Length", "Content-Length: 3\r\nContent-Length"),
        ("a body that never comes", "Content-Length: 18", "Content-Length: 180"),
    ];
    for (number, (what, from, to)) in changes.into_iter().enumerate() {
        for order in ["before", "between", "within"] {
            let id = format!("{order}-{number}");
            let usual = Content::new(&id, "the usual client's");
            let request = usual.request(&id);
            let invalid = request.replace(from, to);
            assert_ne!(invalid, request, "{what}");
            let (start, rest) = request.split_at(cuts(&request)[if order == "within" { 2 } else { 0 }]);
            let (mut stranger, mut client) = (contest.connect(), contest.connect());
            if order == "before" {
                stranger.send(&invalid);
                contest.courier.wait_until_input_processed();
            }
            client.send(start);
            contest.courier.wait_until_input_processed();
            if order != "before" {
                stranger.send(&invalid);
                contest.courier.wait_until_input_processed();
            }
            client.send(rest);
            assert_eq!(client.read_response().status, 202, "{what}, {order}");
            contest.check_only_sent(&id, &usual);
        }
    }
}
