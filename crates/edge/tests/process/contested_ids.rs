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
    /// Content of the class `change`, which has an idempotency key and is ordered by the cookie `subject`.
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

    /// Returns what the endpoints have received under this id.
    fn calls(&self, id: &str) -> Vec<String> {
        let received = self.endpoints.iter().flat_map(Stub::requests);
        received.filter(|call| call.starts_with(&format!("{id} "))).collect()
    }
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
        sends_second.read_response();
        wait_until("a message is sent", || !contest.calls(id).is_empty());
        contest.courier.wait_until_input_processed();
        assert_eq!(contest.calls(id), [first.call(id)]);
    }
}
