//! The arrival of segments at hosts of couriers, clients and endpoints.

use super::{Network, ScenarioInput};
use crate::connections::{Direction, Peer, Segment, Side};
use crate::host::{CourierIncarnation, Input};
use linnetcart_edge::core::{ClientId, UpstreamId};
use linnetcart_scenario::runner::Token;
use sha2::Digest;

/// Returns the byte that encodes the kind of a segment in the input of the run's SHA-256 digest.
fn digest_kind(segment: &Segment) -> u8 {
    match segment {
        Segment::Connect => 0,
        Segment::Connected => 1,
        Segment::Refused => 2,
        Segment::Data(_) => 3,
        Segment::Close => 4,
    }
}

/// Returns the byte that encodes a direction in the input of the run's SHA-256 digest.
fn digest_direction(direction: Direction) -> u8 {
    match direction {
        Direction::ToCourier => 0,
        Direction::FromCourier => 1,
    }
}

impl Network<'_> {
    /// Delivers a segment to its receiver. Returns what the scenario has to process if the receiver is a
    /// client or an endpoint.
    pub(super) fn deliver(
        &mut self,
        token: Token,
        direction: Direction,
        segment: Segment,
    ) -> Option<ScenarioInput> {
        self.add_to_digest(token, direction, &segment);
        let segment = self.truncate_if_broken(token, direction, segment)?;
        let connection = self.connections.get(token)?;
        if !connection.is_receiver_open(direction) {
            return None;
        }
        let peer = connection.peer;
        match direction {
            Direction::FromCourier => self.deliver_to_peer(token, peer, segment),
            Direction::ToCourier => {
                self.deliver_to_courier(token, segment);
                None
            }
        }
    }

    fn add_to_digest(&mut self, token: Token, direction: Direction, segment: &Segment) {
        let data: &[u8] = match segment {
            Segment::Data(bytes) => bytes,
            _ => &[],
        };
        self.digest.update(self.events.now().to_be_bytes());
        self.digest.update(token.to_be_bytes());
        self.digest.update([digest_kind(segment), digest_direction(direction)]);
        self.digest.update(data);
    }

    /// Returns the part of a segment that arrives, or `None` if nothing does. On an intact connection all of
    /// it arrives; after a break only a prefix of the next data segment and the close do.
    fn truncate_if_broken(
        &mut self,
        token: Token,
        direction: Direction,
        segment: Segment,
    ) -> Option<Segment> {
        let connection = self.connections.get(token)?;
        let Some(fraction) = connection.surviving_fraction(direction) else { return Some(segment) };
        match segment {
            Segment::Data(bytes) => {
                self.connections.end_surviving_data(token, direction);
                let surviving = (bytes.len() as f64 * fraction) as usize;
                Some(Segment::Data(bytes.slice(..surviving)))
            }
            Segment::Close => Some(Segment::Close),
            Segment::Connect | Segment::Connected | Segment::Refused => None,
        }
    }

    fn deliver_to_peer(&mut self, token: Token, peer: Peer, segment: Segment) -> Option<ScenarioInput> {
        match segment {
            Segment::Connect => match peer {
                Peer::Endpoint { endpoint, .. } => self.connect_to_endpoint(token, endpoint),
                Peer::Client(_) => None,
            },
            Segment::Connected => Some(ScenarioInput::Connected(token)),
            Segment::Data(bytes) => Some(ScenarioInput::Received { token, bytes }),
            Segment::Refused | Segment::Close => {
                self.connections.close_end(token, Side::Peer);
                Some(ScenarioInput::Disconnected(token))
            }
        }
    }

    fn connect_to_endpoint(&mut self, token: Token, endpoint: u32) -> Option<ScenarioInput> {
        if self.listening_endpoints.contains(&endpoint) {
            self.transmit(token, Direction::ToCourier, Segment::Connected);
            return Some(ScenarioInput::Accepted { endpoint, token });
        }
        self.transmit(token, Direction::ToCourier, Segment::Refused);
        self.connections.close_end(token, Side::Peer);
        None
    }

    fn deliver_to_courier(&mut self, token: Token, segment: Segment) {
        let Some(connection) = self.connections.get(token) else { return };
        let program = connection.program();
        let input = match connection.peer {
            Peer::Client(client) => self.client_input(token, program, client, segment),
            Peer::Endpoint { upstream, .. } => self.upstream_input(token, upstream, segment),
        };
        if let Some(input) = input {
            self.deliver_to_host(program, input);
        }
    }

    fn client_input(
        &mut self,
        token: Token,
        program: CourierIncarnation,
        client: ClientId,
        segment: Segment,
    ) -> Option<Input> {
        match segment {
            Segment::Connect if self.is_accepting(program) => {
                // The kernel completes the handshake, even if the process is suspended.
                self.transmit(token, Direction::FromCourier, Segment::Connected);
                Some(Input::ClientConnected(client))
            }
            Segment::Connect => {
                self.transmit(token, Direction::FromCourier, Segment::Refused);
                self.connections.close_end(token, Side::Courier);
                None
            }
            Segment::Data(bytes) => Some(Input::ClientReceived(client, bytes)),
            Segment::Close => {
                self.connections.close_end(token, Side::Courier);
                Some(Input::ClientDisconnected(client))
            }
            Segment::Connected | Segment::Refused => None,
        }
    }

    fn upstream_input(&mut self, token: Token, upstream: UpstreamId, segment: Segment) -> Option<Input> {
        match segment {
            Segment::Connected => Some(Input::UpstreamConnected(upstream)),
            Segment::Data(bytes) => Some(Input::UpstreamReceived(upstream, bytes)),
            Segment::Refused => {
                self.record_if_connect_failed(token);
                self.connections.close_end(token, Side::Courier);
                Some(Input::UpstreamConnectFailed(upstream))
            }
            Segment::Close => {
                self.record_if_connect_failed(token);
                // The count must precede the closing, which drops the data that waits for the end of a
                // partition.
                let bytes_written = self.connections.bytes_accepted(token);
                self.connections.close_end(token, Side::Courier);
                Some(Input::UpstreamDisconnected { upstream, bytes_written })
            }
            Segment::Connect => None,
        }
    }
}
