//! Requests of strangers with the id of another client's message and content of their own.

use crate::clients::{read_answer, Answer};
use crate::random::Random;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// The start of a rival's body; the message's id follows.
pub const BODY_PREFIX: &str = "rival-";
/// The start of a rival's idempotency key.
pub const KEY_PREFIX: &str = "r-";
/// Percentage of messages whose id a rival uses.
const RIVAL_PERCENTAGE: u64 = 20;

/// When a rival's request is written, relative to the other client's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    Before,
    /// Behind the first part, or behind the whole request if it has one part.
    Within,
    Behind,
}

/// A request of a rival and its answer.
#[derive(Clone, Debug)]
pub struct RivalSubmission {
    pub id: String,
    pub answered_at: Instant,
    pub answer: Answer,
}

/// The rival of one client. It keeps its connection, which is older than those of the client's first requests.
pub struct Rival {
    random: Random,
    courier: SocketAddr,
    connection: Option<TcpStream>,
    moment: Option<Moment>,
    sent_id: Option<String>,
    pub submissions: Vec<RivalSubmission>,
}

impl Rival {
    pub fn new(random: Random, courier: SocketAddr) -> Rival {
        Rival { random, courier, connection: None, moment: None, sent_id: None, submissions: vec![] }
    }

    /// Draws whether and when the id of the next message is used.
    pub fn draw(&mut self) {
        let moments = [Moment::Before, Moment::Within, Moment::Behind];
        let drawn = moments[self.random.below(3) as usize];
        self.moment = self.random.chance(RIVAL_PERCENTAGE).then_some(drawn);
        if self.moment.is_some() && self.connection.is_none() {
            self.connection = crate::clients::connect(self.courier);
        }
    }

    /// Writes the rival's request if this is its moment. `request` is that of the other client.
    pub fn reach(&mut self, moment: Moment, id: &str, request: &str) {
        if self.moment != Some(moment) {
            return;
        }
        let Some(stream) = &mut self.connection else { return };
        let changed = if self.random.chance(50) {
            let body_at = request.len() - request.rsplit("\r\n").next().map_or(0, str::len);
            let body = format!("{BODY_PREFIX}{id}");
            let length = format!("Content-Length: {}", body.len());
            format!("{}{body}", request[..body_at].replace("Content-Length: 40", &length))
        } else {
            request.replace("Idempotency-Key: t-", &format!("Idempotency-Key: {KEY_PREFIX}"))
        };
        self.sent_id = Some(id.to_owned());
        if stream.write_all(changed.as_bytes()).is_err() {
            self.connection = None;
        }
    }

    /// Waits for the answer to the rival's request, if it has sent one.
    pub fn finish(&mut self) {
        let Some(id) = self.sent_id.take() else { return };
        let Some(stream) = self.connection.take() else { return };
        let (answer, reusable) = read_answer(stream);
        self.connection = reusable;
        self.submissions.push(RivalSubmission { id, answered_at: Instant::now(), answer });
    }
}
