//! Connections as TCP makes them: in order in each direction, with a delay, and an end that each side sees for
//! itself. A direction may be blocked; what is sent meanwhile waits in the sender's system and leaves after.

use bytes::Bytes;
use linnetcart_conformance::Time;
use linnetcart_edge::core::{ClientId, UpstreamId};
use linnetcart_scenario::runner::Token;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Bytes that a system takes of a connection whose other side takes none.
pub const SYSTEM_TAKES: u64 = 256 << 10;

/// What travels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parcel {
    /// Someone connects.
    Connect,
    /// The connection is there.
    Connected,
    /// Nobody listens.
    Refused,
    /// Bytes.
    Data(Bytes),
    /// The other side has closed, or the connection broke.
    End,
}

/// Which courier's end of a connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A client connected to the courier.
    Client(ClientId),
    /// The courier connected to an endpoint.
    Link(UpstreamId, u32),
}

/// Towards whom something travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// To the courier.
    In,
    /// From the courier.
    Out,
}

/// One direction of a connection.
#[derive(Debug, Default)]
struct Pipe {
    /// When the last thing sent arrives.
    last: Time,
    /// Bytes sent.
    sent: u64,
    /// What waits while the direction is blocked, and since when.
    held: VecDeque<(Time, Parcel)>,
    /// How long what came last was on its way.
    travelled: Time,
    held_bytes: u64,
}

/// A connection between a courier and a client or endpoint.
#[derive(Debug)]
pub struct Link {
    /// The courier.
    pub courier: u32,
    /// In which of its lives.
    pub life: u32,
    /// What it is to the courier.
    pub end: End,
    /// The courier still has its end.
    pub near: bool,
    /// The other side still has its end.
    pub far: bool,
    /// When it was begun.
    pub begun: Time,
    /// The other side has said something.
    pub greeted: bool,
    ways: [Pipe; 2],
    /// It broke: the share of the next bytes that still arrives in each direction.
    cut: Option<[f64; 2]>,
}

impl Link {
    /// If it broke: the share of the next bytes that still arrives.
    pub fn cut(&self, way: Way) -> Option<f64> {
        self.cut.map(|c| c[way as usize])
    }
}

/// Delays of a network.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delay {
    /// One way at least.
    pub least: Time,
    /// The mean of what comes on top, exponential; 0 for none.
    pub more: Time,
}

impl Delay {
    fn draw(&self, rng: &mut ChaCha8Rng) -> Time {
        match Exp::new(1.0 / (self.more.max(1) as f64)) {
            Ok(d) if self.more > 0 => self.least + d.sample(rng) as Time,
            _ => self.least,
        }
    }
}

/// Directions that are blocked: couriers, and which of their connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Block {
    /// The courier.
    pub courier: u32,
    /// Connections of clients.
    pub clients: bool,
    /// Connections to endpoints.
    pub endpoints: bool,
    /// What goes to the courier.
    pub incoming: bool,
    /// What it sends.
    pub outgoing: bool,
}

/// All connections.
#[derive(Debug, Default)]
pub struct Links {
    all: BTreeMap<Token, Link>,
    /// Connections of each courier.
    of: BTreeMap<u32, std::collections::BTreeSet<Token>>,
    by_client: BTreeMap<(u32, ClientId), Token>,
    by_link: BTreeMap<(u32, UpstreamId), Token>,
    blocks: BTreeMap<usize, Vec<Block>>,
    slows: BTreeMap<usize, (Vec<u32>, Time)>,
    next: Token,
}

impl Links {
    /// A new connection.
    pub fn open(&mut self, begun: Time, courier: u32, life: u32, end: impl FnOnce(Token) -> End) -> Token {
        self.next += 1;
        let token = self.next;
        let end = end(token);
        match end {
            End::Client(id) => self.by_client.insert((courier, id), token),
            End::Link(id, _) => self.by_link.insert((courier, id), token),
        };
        let ways = [Pipe::default(), Pipe::default()];
        self.all.insert(
            token,
            Link { courier, life, end, near: true, far: true, begun, greeted: false, ways, cut: None },
        );
        self.of.entry(courier).or_default().insert(token);
        token
    }

    /// A connection.
    pub fn get(&self, token: Token) -> Option<&Link> {
        self.all.get(&token)
    }

    /// The connection of a client, as the courier numbers it.
    pub fn client(&self, courier: u32, id: ClientId) -> Option<Token> {
        self.by_client.get(&(courier, id)).copied()
    }

    /// The connection to an endpoint, as the courier numbers it.
    pub fn link(&self, courier: u32, id: UpstreamId) -> Option<Token> {
        self.by_link.get(&(courier, id)).copied()
    }

    /// Connections of a courier.
    pub fn of(&self, courier: u32) -> Vec<Token> {
        self.of.get(&courier).map_or_else(Vec::new, |s| s.iter().copied().collect())
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    fn blocked(&self, l: &Link, way: Way) -> bool {
        let hit = |b: &Block| {
            let kind = if matches!(l.end, End::Client(_)) { b.clients } else { b.endpoints };
            b.courier == l.courier && kind && if way == Way::In { b.incoming } else { b.outgoing }
        };
        self.blocks.values().flatten().any(hit)
    }

    /// Directions are blocked from now on, until [`Links::unblock`] of the same number.
    pub fn block(&mut self, number: usize, blocks: Vec<Block>) {
        self.blocks.insert(number, blocks);
    }

    /// A block ends. Returns connections and directions that something waits on and that are open now.
    pub fn unblock(&mut self, number: usize) -> Vec<(Token, Way)> {
        self.blocks.remove(&number);
        let mut free = Vec::new();
        for (&token, l) in &self.all {
            for way in [Way::In, Way::Out] {
                if !l.ways[way as usize].held.is_empty() && !self.blocked(l, way) {
                    free.push((token, way));
                }
            }
        }
        free
    }

    /// Connections of these couriers take longer by so much each way, until [`Links::fast`].
    pub fn slow(&mut self, number: usize, couriers: Vec<u32>, by: Time) {
        self.slows.insert(number, (couriers, by));
    }

    /// They take as long as before.
    pub fn fast(&mut self, number: usize) {
        self.slows.remove(&number);
    }

    /// A connection breaks: this share of the next bytes still arrives in each direction.
    pub fn cut(&mut self, token: Token, (incoming, outgoing): (f64, f64)) {
        if let Some(l) = self.all.get_mut(&token) {
            l.cut.get_or_insert([incoming, outgoing]);
        }
    }

    /// Nothing more arrives of what was sent before it broke.
    pub fn cut_off(&mut self, token: Token, way: Way) {
        if let Some(c) = self.all.get_mut(&token).and_then(|l| l.cut.as_mut()) {
            c[way as usize] = 0.0;
        }
    }

    /// What waits on a direction, to be sent again.
    pub fn release(&mut self, token: Token, way: Way) -> VecDeque<(Time, Parcel)> {
        let Some(l) = self.all.get_mut(&token) else { return VecDeque::new() };
        let pipe = &mut l.ways[way as usize];
        pipe.held_bytes = 0;
        std::mem::take(&mut pipe.held)
    }

    /// Something is sent: when it arrives, or none if it waits behind a block. Bytes count once, by `fresh`.
    pub fn sent(
        &mut self,
        now: Time,
        token: Token,
        way: Way,
        parcel: &Parcel,
        (delay, fresh): (Delay, bool),
        rng: &mut ChaCha8Rng,
    ) -> Option<Time> {
        let blocked = self.all.get(&token).is_some_and(|l| self.blocked(l, way));
        let l = self.all.get_mut(&token)?;
        let slow = self.slows.values().filter(|s| s.0.contains(&l.courier)).map(|s| s.1).sum::<Time>();
        let pipe = &mut l.ways[way as usize];
        let length = if let Parcel::Data(bytes) = parcel { bytes.len() as u64 } else { 0 };
        if fresh {
            pipe.sent += length;
        }
        if blocked {
            pipe.held_bytes += length;
            pipe.held.push_back((now, parcel.clone()));
            return None;
        }
        pipe.last = pipe.last.max(now + slow + delay.draw(rng));
        Some(pipe.last)
    }

    /// Something arrived that left then.
    pub fn arrived(&mut self, now: Time, left: Time, token: Token, way: Way, data: bool) {
        if let Some(l) = self.all.get_mut(&token) {
            l.ways[way as usize].travelled = now.saturating_sub(left);
            l.greeted |= data && way == Way::In;
        }
    }

    /// How long what came last from the courier was on its way.
    pub fn travelled(&self, token: Token) -> Time {
        self.all.get(&token).map_or(0, |l| l.ways[Way::Out as usize].travelled)
    }

    /// Bytes that the courier's system took of what it sent on a connection.
    pub fn taken(&self, token: Token) -> u64 {
        self.all.get(&token).map_or(0, |l| {
            let out = &l.ways[Way::Out as usize];
            out.sent - out.held_bytes.saturating_sub(SYSTEM_TAKES)
        })
    }

    /// Bytes that the courier's system has not taken yet.
    pub fn untaken(&self, token: Token) -> u64 {
        self.all.get(&token).map_or(0, |l| l.ways[Way::Out as usize].held_bytes.saturating_sub(SYSTEM_TAKES))
    }

    /// One side has no use for the connection any more; true if the other side is still to hear of it. What was
    /// sent before still travels, but not what a block holds up: a connection that is given up then breaks.
    pub fn left(&mut self, token: Token, near: bool) -> bool {
        let Some(l) = self.all.get_mut(&token) else { return false };
        let (side, other, way) =
            if near { (&mut l.near, l.far, Way::Out) } else { (&mut l.far, l.near, Way::In) };
        let first = std::mem::take(side);
        let pipe = &mut l.ways[way as usize];
        pipe.held.retain(|(_, p)| *p == Parcel::End);
        pipe.held_bytes = 0;
        if !l.near && !l.far {
            self.forget(token);
        }
        first && other
    }

    fn forget(&mut self, token: Token) {
        let Some(l) = self.all.remove(&token) else { return };
        match l.end {
            End::Client(id) => self.by_client.remove(&(l.courier, id)),
            End::Link(id, _) => self.by_link.remove(&(l.courier, id)),
        };
        if let Some(of) = self.of.get_mut(&l.courier) {
            of.remove(&token);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    const QUICK: Delay = Delay { least: 10, more: 0 };

    fn data(text: &'static str) -> Parcel {
        Parcel::Data(Bytes::from_static(text.as_bytes()))
    }

    #[test]
    fn what_is_sent_arrives_in_order_whatever_the_delays() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut links = Links::default();
        let token = links.open(0, 0, 0, |t| End::Link(t, 7));
        let jumpy = Delay { least: 10, more: 1000 };
        let mut last = 0;
        for now in 0..200 {
            let at = links.sent(now, token, Way::Out, &data("x"), (jumpy, true), &mut rng).unwrap();
            assert!(at >= last && at >= now + 10);
            last = at;
        }
    }

    #[test]
    fn a_block_holds_one_direction_and_lets_go_in_order() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut links = Links::default();
        let token = links.open(0, 0, 0, |t| End::Link(t, 7));
        let other = links.open(0, 1, 0, |t| End::Link(t, 7));
        let one = Block { courier: 0, clients: false, endpoints: true, incoming: true, outgoing: false };
        links.block(3, vec![one]);
        let mut send = |links: &mut Links, token, way, text| {
            links.sent(5, token, way, &data(text), (QUICK, true), &mut rng)
        };
        assert_eq!(send(&mut links, token, Way::Out, "a"), Some(15), "the other direction goes on");
        assert_eq!(send(&mut links, other, Way::In, "b"), Some(15), "and other couriers");
        assert_eq!(send(&mut links, token, Way::In, "c"), None);
        assert_eq!(send(&mut links, token, Way::In, "d"), None);
        assert_eq!(links.unblock(3), [(token, Way::In)]);
        let held: Vec<Parcel> = links.release(token, Way::In).into_iter().map(|(_, p)| p).collect();
        assert_eq!(held, [data("c"), data("d")]);
    }

    #[test]
    fn a_system_takes_so_much_and_no_more_while_nothing_arrives() {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut links = Links::default();
        let token = links.open(0, 0, 0, |t| End::Link(t, 7));
        links.block(
            1,
            vec![Block { courier: 0, clients: true, endpoints: true, incoming: true, outgoing: true }],
        );
        let big = Parcel::Data(Bytes::from(vec![0; SYSTEM_TAKES as usize + 100]));
        links.sent(0, token, Way::Out, &big, (QUICK, true), &mut rng);
        assert_eq!((links.taken(token), links.untaken(token)), (SYSTEM_TAKES, 100));
        assert!(links.left(token, true), "the other side is still to hear of it");
        assert!(links.release(token, Way::Out).is_empty(), "what was held up does not arrive");
    }
}
