//! Decisions on submitted messages, and the HTTP responses to clients.

use super::*;

fn requester(client: ClientId) -> Requester {
    Requester { client, persistence: Persistence::KeepAlive }
}

#[test]
fn admission_decides_each_message_by_its_action() {
    let mut admission = Admission::default();
    for (message, client) in [(1, 10), (2, 20), (3, 30), (1, 11)] {
        admission.await_decision(message, requester(client));
    }
    let actions = [
        Action::Reject { message: 2, retry_after: 5 },
        Action::Fail { message: 3 },
        Action::WakeUp { at: 9 },
    ];
    let decision = |message, answer, clients: &[ClientId]| AdmissionDecision {
        message,
        answer,
        requesters: clients.iter().copied().map(requester).collect(),
    };
    let decided = admission.decide(actions.to_vec());
    assert_eq!(
        decided.admissions,
        [
            decision(1, Answer::Accepted, &[10, 11]),
            decision(2, Answer::Rejected { retry_after: 5 }, &[20]),
            decision(3, Answer::Failed, &[30]),
        ]
    );
    assert_eq!(
        decided.to_execute,
        [Action::WakeUp { at: 9 }],
        "the actions on undecided messages are replaced by their answers"
    );
    assert!(
        !admission.awaits_decision(1) && admission.decide(actions.to_vec()).admissions.is_empty(),
        "each message is decided once"
    );
}

#[test]
fn admission_leaves_actions_on_accepted_messages_to_execute() {
    let mut admission = Admission::default();
    admission.await_decision(1, requester(10));
    let actions = vec![
        Action::Fail { message: 1 },
        Action::Fail { message: 7 },
        Action::Reject { message: 8, retry_after: 5 },
    ];
    let decided = admission.decide(actions.clone());
    assert_eq!(decided.admissions.len(), 1);
    assert_eq!(decided.to_execute, actions[1..]);
}

#[test]
fn admission_without_decision_accepts_all() {
    let mut admission = Admission::default();
    admission.await_decision(1, requester(10));
    let accepted =
        AdmissionDecision { message: 1, answer: Answer::Accepted, requesters: vec![requester(10)] };
    assert_eq!(admission.accept_all(), [accepted]);
    assert!(admission.accept_all().is_empty(), "each message is accepted once");
}

#[test]
fn answer_encoded_as_http_response() {
    let text = |answer: Answer, persistence| String::from_utf8(answer.encode(persistence)).expect("text");
    let rejected = text(Answer::Rejected { retry_after: 1_500_000_000 }, Persistence::KeepAlive);
    assert!(rejected.starts_with("HTTP/1.1 503 ") && rejected.contains("\r\nRetry-After: 1.500\r\n"));
    assert!(!rejected.contains("Connection: close"), "{rejected}");
    let without_delay = text(Answer::Rejected { retry_after: 0 }, Persistence::Close);
    let closes = without_delay.contains("\r\nConnection: close\r\n");
    assert!(!without_delay.contains("Retry-After") && closes, "{without_delay}");
    for (answer, status) in [(Answer::Ready, 200), (Answer::Accepted, 202), (Answer::Failed, 500)] {
        let bytes = text(answer, Persistence::KeepAlive);
        assert!(bytes.starts_with(&format!("HTTP/1.1 {status} ")) && bytes.ends_with("\r\n\r\n"), "{bytes}");
    }
}

#[test]
fn invalid_request_answered_with_status_and_reason() {
    use linnetcart_http::RequestError as HttpError;
    for (error, status, body) in [
        (RequestError::Malformed(HttpError::Unreadable), 400, "the head cannot be read as HTTP/1.1\n"),
        (
            RequestError::Malformed(HttpError::TransferEncoding),
            411,
            "send the body with a Content-Length and no Transfer-Encoding\n",
        ),
        (RequestError::Pipelined, 400, "one request at a time\n"),
        (RequestError::TooManyConnections, 503, "too many connections, send it again\n"),
        (RequestError::TimedOut, 408, "the request did not come in time\n"),
        (RequestError::DuplicateField, 400, "a field stands there twice\n"),
        (RequestError::UnknownClass, 404, "there is no such class\n"),
        (RequestError::MethodNotAllowed, 405, "hand messages in with POST\n"),
        (RequestError::InvalidId, 400, "X-Txn is missing or cannot be used\n"),
        (RequestError::InvalidIdempotencyKey, 400, "Idempotency-Key cannot be used\n"),
        (RequestError::MissingIdempotencyKey, 400, "this class wants an Idempotency-Key\n"),
        (RequestError::InvalidDestination, 400, "X-Route-To is `dest=` and a number\n"),
        (RequestError::InvalidTimeRemaining, 400, "X-Remaining-Ms is a whole number\n"),
        (RequestError::UnknownDestination, 404, "there is no such destination\n"),
        (RequestError::IdOfOtherMessage, 409, "this id was another message's\n"),
        (RequestError::IdOfInvalidRequest, 409, "this id was an invalid request's, use a new one\n"),
    ] {
        let bytes = Answer::Invalid(error).encode(Persistence::Close);
        let answer = String::from_utf8(bytes).expect("text");
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
        assert!(answer.ends_with(&format!("\r\n\r\n{body}")), "{answer}");
    }
}
