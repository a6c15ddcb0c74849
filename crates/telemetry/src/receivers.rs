//! The receivers of reports: Graphite over a TCP connection, and collectd over UDP datagrams.

use crate::collectd::{InitializationVector, PacketEncoder};
use crate::connection::{ConnectionAction, Losses, ReceiverConnection};
use crate::graphite::{self, Encoding, MetricSource, NameStyle};
use crate::notifications::StateNotification;
use crate::series::Point;
use crate::settings::{Collectd, Graphite, Telemetry as Settings};
use crate::time::SECOND;
use crate::Output;
use linnetcart::Time;
use rand::{Rng, RngCore};
use rand_chacha::ChaCha8Rng;

/// The configured receivers.
#[derive(Debug)]
pub(crate) struct Receivers {
    source: MetricSource,
    graphite: Option<GraphiteReceiver>,
    collectd: Option<Collectd>,
    /// Interval between two reports in nanoseconds, which packets to collectd state.
    interval: Time,
    /// Losses of the connection up to the last [`Receivers::take_losses`].
    counted_losses: Losses,
    /// Source of the seeds of connections and of the initialization vectors of packets.
    random: ChaCha8Rng,
}

#[derive(Debug)]
struct GraphiteReceiver {
    settings: Graphite,
    connection: ReceiverConnection,
}

impl Receivers {
    pub(crate) fn new(source: MetricSource, random: ChaCha8Rng) -> Receivers {
        Receivers {
            source,
            graphite: None,
            collectd: None,
            interval: 0,
            counted_losses: Losses::default(),
            random,
        }
    }

    /// Applies new settings. The connection to Graphite and its send buffer are retained if the settings of
    /// the Graphite receiver are unchanged; otherwise they are discarded.
    pub(crate) fn configure(&mut self, settings: &Settings, outputs: &mut Vec<Output>) {
        self.interval = settings.interval_s * SECOND;
        self.collectd.clone_from(&settings.collectd);
        let graphite_before = self.graphite.as_ref().map(|receiver| &receiver.settings);
        if graphite_before != settings.graphite.as_ref() {
            self.replace_graphite(settings.graphite.as_ref(), outputs);
        }
    }

    /// Closes the connection to Graphite and discards its send buffer, then creates a new one if configured.
    fn replace_graphite(&mut self, settings: Option<&Graphite>, outputs: &mut Vec<Output>) {
        if self.graphite.is_some() {
            outputs.push(Output::Graphite(ConnectionAction::Close));
        }
        self.counted_losses = Losses::default();
        self.graphite = settings.map(|settings| GraphiteReceiver {
            settings: settings.clone(),
            connection: ReceiverConnection::new(
                settings.address,
                settings.queue_bytes,
                settings.stuck_s * SECOND,
                self.random.next_u64(),
            ),
        });
    }

    /// Whether any receiver is configured.
    pub(crate) fn has_receiver(&self) -> bool {
        self.graphite.is_some() || self.collectd.is_some()
    }

    /// Returns the connection to Graphite, if Graphite is configured.
    pub(crate) fn connection(&self) -> Option<&ReceiverConnection> {
        self.graphite.as_ref().map(|receiver| &receiver.connection)
    }

    /// Returns the connection to Graphite, for handling its events.
    pub(crate) fn connection_mut(&mut self) -> Option<&mut ReceiverConnection> {
        self.graphite.as_mut().map(|receiver| &mut receiver.connection)
    }

    /// Whether no bytes wait for a connected receiver.
    pub(crate) fn is_idle(&self) -> bool {
        self.connection()
            .is_none_or(|connection| !connection.is_connected() || connection.buffered_bytes() == 0)
    }

    /// Returns the losses of the connection since the last call.
    pub(crate) fn take_losses(&mut self) -> Losses {
        let Some(connection) = self.connection() else { return Losses::default() };
        let losses = connection.losses();
        let before = std::mem::replace(&mut self.counted_losses, losses);
        Losses {
            points_dropped: losses.points_dropped - before.points_dropped,
            connection_failures: losses.connection_failures - before.connection_failures,
        }
    }

    /// Sends points of a report to all receivers, with the report's timestamp in nanoseconds since 1970.
    pub(crate) fn send_points(&mut self, points: &[Point], timestamp: Time, outputs: &mut Vec<Output>) {
        if let Some(GraphiteReceiver { settings, connection }) = &mut self.graphite {
            let time_s = timestamp / SECOND;
            let chunks = graphite::encode(&self.source, points, time_s, encoding(settings));
            connection.send(chunks);
        }
        self.send_datagrams(timestamp, outputs, |encoder, next_iv| encoder.points(points, next_iv));
    }

    /// Sends a notification to collectd, if configured. Graphite's protocol has no notifications.
    pub(crate) fn notify(
        &mut self,
        notification: &StateNotification,
        timestamp: Time,
        outputs: &mut Vec<Output>,
    ) {
        let StateNotification { plugin_instance, severity, text } = notification;
        self.send_datagrams(timestamp, outputs, |encoder, next_iv| {
            vec![encoder.notification(plugin_instance, *severity, text, next_iv)]
        });
    }

    /// Encodes packets and sends each as a datagram, if a collectd receiver is configured.
    fn send_datagrams(
        &mut self,
        timestamp: Time,
        outputs: &mut Vec<Output>,
        encode: impl FnOnce(&PacketEncoder, &mut dyn FnMut() -> InitializationVector) -> Vec<Vec<u8>>,
    ) {
        let Some(collectd) = &self.collectd else { return };
        let host = host_name(collectd, &self.source);
        let encoder = PacketEncoder {
            host: &host,
            time: timestamp,
            interval: self.interval,
            security: &collectd.security,
            max_bytes: collectd.packet_bytes,
        };
        let random = &mut self.random;
        let packets = encode(&encoder, &mut || random.random());
        for packet in packets {
            outputs.push(Output::Datagram(collectd.address, packet.into()));
        }
    }

    /// Appends the actions that are due on the connection to Graphite.
    pub(crate) fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if let Some(connection) = self.connection_mut() {
            outputs.extend(connection.poll(now).into_iter().map(Output::Graphite));
        }
    }
}

fn encoding(settings: &Graphite) -> Encoding {
    let names = if settings.tags { NameStyle::Tags } else { NameStyle::Paths };
    Encoding { form: settings.form, names }
}

/// Returns the host name under which collectd stores this courier's series.
fn host_name(collectd: &Collectd, source: &MetricSource) -> String {
    match &collectd.host {
        Some(host) => host.clone(),
        None => format!("linnetcart-{}-{}", source.deployment, source.courier),
    }
}
