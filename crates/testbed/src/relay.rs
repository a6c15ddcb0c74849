//! A relay that decides nothing, on the same loop and codec as the edge: what moving messages costs by itself.
//!
//! A request of one record for a partition goes as one call to that partition's endpoint, on a connection that
//! carries nothing else meanwhile; what comes back goes to the client.

use linnetcart_kafka::server::{self, Body, Broker, Topic};
use linnetcart_kafka::{client, Frames};
use linnetcart_net::{Event, Net, Token};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

const FRAME: usize = 1 << 20;
const VERSION: i16 = 9;

enum Role {
    Client(Frames),
    Link { endpoint: usize, frames: Frames, waits: Option<(Token, i32, i16)> },
}

/// Relays between clients and these endpoints, by partition, until it is killed.
pub fn run(endpoints: &[SocketAddr]) -> anyhow::Result<()> {
    let mut net = Net::new(60_000)?;
    let (listener, at) = net.listen("127.0.0.1:0".parse()?)?;
    println!("{}", serde_json::json!({"kafka": at.to_string(), "control": at.to_string()}));
    std::io::stdout().flush()?;
    let mut roles: BTreeMap<Token, Role> = BTreeMap::new();
    let mut idle: Vec<Vec<Token>> = vec![Vec::new(); endpoints.len()];
    let mut number = 0;
    let mut events = Vec::new();
    loop {
        net.poll(Duration::from_millis(500), &mut events)?;
        for event in events.drain(..) {
            match event {
                Event::Accepted { listener: l, token, .. } if l == listener => {
                    roles.insert(token, Role::Client(Frames::new(FRAME)));
                }
                Event::Data(token, bytes) => match roles.get_mut(&token) {
                    Some(Role::Client(frames)) => {
                        frames.push(&bytes);
                        let mut requests = Vec::new();
                        while let Ok(Some(frame)) = frames.next_frame() {
                            requests.extend(server::read(&frame));
                        }
                        for r in requests {
                            let (correlation, version) = (r.correlation, r.version);
                            let Body::Produce(p) = r.body else {
                                let broker = Broker { id: 0, host: "127.0.0.1".into(), port: at.port() };
                                let response = match r.body {
                                    Body::Metadata(_) => {
                                        server::metadata(correlation, version, &broker, &[] as &[Topic])
                                    }
                                    _ => server::api_versions(correlation, version, false),
                                };
                                net.send(token, &response);
                                continue;
                            };
                            for part in p.parts {
                                let Ok(records) = part.records else { continue };
                                let endpoint = part.partition as usize % endpoints.len();
                                number = number % i32::MAX + 1;
                                let to = [client::ProduceTarget {
                                    topic: &part.topic,
                                    partition: part.partition,
                                    records: &records,
                                }];
                                let request = client::produce(number, "relay", VERSION, (-1, 1000), &to)?;
                                let link =
                                    idle[endpoint].pop().unwrap_or_else(|| net.connect(endpoints[endpoint]));
                                net.send(link, &request);
                                let role = roles.entry(link).or_insert_with(|| Role::Link {
                                    endpoint,
                                    frames: Frames::new(FRAME),
                                    waits: None,
                                });
                                if let Role::Link { waits, .. } = role {
                                    *waits = Some((token, correlation, version));
                                }
                            }
                        }
                    }
                    Some(Role::Link { endpoint, frames, waits }) => {
                        frames.push(&bytes);
                        while let Ok(Some(frame)) = frames.next_frame() {
                            let produced = client::read_produced(&frame, VERSION)?;
                            if let Some((client, correlation, version)) = waits.take() {
                                net.send(
                                    client,
                                    &server::produce(correlation, version, &produced.parts, 0, None),
                                );
                            }
                            idle[*endpoint].push(token);
                        }
                    }
                    None => {}
                },
                Event::HalfClosed(token) => {
                    net.close(token);
                    roles.remove(&token);
                    idle.iter_mut().for_each(|i| i.retain(|&t| t != token));
                }
                Event::Closed { token, .. } | Event::ConnectFailed(token) => {
                    roles.remove(&token);
                    idle.iter_mut().for_each(|i| i.retain(|&t| t != token));
                }
                _ => {}
            }
        }
    }
}
