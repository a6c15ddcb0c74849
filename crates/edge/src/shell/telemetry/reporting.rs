//! Telemetry together with the sockets and counter files that it reports through.

use crate::core::Core;
use crate::counter_files::CounterFiles;
use crate::delivery_events::DeliveryEvent;
use crate::shell::Role;
use linnetcart::Time;
use linnetcart_net::{Net, Token};
use linnetcart_telemetry::connection::ConnectionAction;
use linnetcart_telemetry::{ListedEndpoint, Status, SyncError, Telemetry};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The socket on which the host's collectd sends its metrics.
struct MetricsListener {
    token: Token,
    /// Address that the socket is bound to, as in the settings.
    address: SocketAddr,
}

/// Telemetry of the courier, and its sockets and counter files.
pub(in crate::shell) struct Reporting {
    pub(super) telemetry: Telemetry,
    /// Files of the counter store; `None` without a state directory.
    counter_files: Option<CounterFiles>,
    /// The connection to Graphite, open or being established; `None` if there is neither.
    pub(super) graphite: Option<Token>,
    /// The socket from which datagrams are sent to collectd; `None` until the first has been sent.
    collectd: Option<Token>,
    metrics_listener: Option<MetricsListener>,
    /// Version of the endpoint list that telemetry was last given; `None` before the first list.
    list_version: Option<u64>,
    /// When the last report of the process was requested, at shutdown, by the monotonic clock; `None` before
    /// that.
    pub(super) last_report_at: Option<Time>,
}

impl Reporting {
    /// Creates the reporting, without any socket yet. `counter_files` is `None` without a state directory.
    pub(super) fn new(telemetry: Telemetry, counter_files: Option<CounterFiles>) -> Self {
        Reporting {
            telemetry,
            counter_files,
            graphite: None,
            collectd: None,
            metrics_listener: None,
            list_version: None,
            last_report_at: None,
        }
    }

    /// Returns when telemetry must be processed next at the latest, by the monotonic clock.
    pub(in crate::shell) fn next_wakeup(&self) -> Time {
        self.telemetry.next_wakeup()
    }

    /// Returns, for the status page, the number of reports and cells, the state of the connection to
    /// Graphite, and the metrics of the host.
    pub(in crate::shell) fn status(&self, now: Time) -> Status {
        self.telemetry.status(now)
    }

    /// Counts a delivery event.
    pub(in crate::shell) fn record(&mut self, event: &DeliveryEvent) {
        self.telemetry.record(event);
    }

    /// Handles an established connection to Graphite.
    pub(in crate::shell) fn graphite_connected(&mut self, now: Time) {
        self.telemetry.connected(now);
    }

    /// Handles a connection to Graphite that closed or could not be established.
    pub(in crate::shell) fn graphite_disconnected(&mut self, now: Time) {
        self.graphite = None;
        self.telemetry.disconnected(now);
    }

    /// Handles a datagram from the host's collectd. Datagrams on another socket are ignored.
    pub(in crate::shell) fn datagram_received(&mut self, token: Token, packet: &[u8], now: Time, wall: u64) {
        if self.metrics_listener.as_ref().is_some_and(|listener| listener.token == token) {
            self.telemetry.datagram_received(packet, now, wall);
        }
    }

    /// Passes the endpoint list to telemetry if its version changed.
    pub(super) fn update_endpoints(&mut self, core: &Core) {
        let list = core.list();
        if self.list_version == Some(list.version) {
            return;
        }
        self.list_version = Some(list.version);
        let settings = core.settings();
        self.telemetry.set_endpoints(list.entries.values().map(|entry| ListedEndpoint {
            endpoint: entry.id,
            destination: entry.destination,
            independent_route: settings.kind(&entry.kind).is_some_and(|kind| kind.independent_routes),
        }));
    }

    /// Reports the results of finished syncs of the counter log to telemetry.
    pub(super) fn collect_syncs(&mut self) {
        let finished = self.counter_files.as_ref().map(CounterFiles::finished).unwrap_or_default();
        for sync in finished {
            let result = sync.result.map_err(|error| SyncError::Storage(error.to_string()));
            self.telemetry.synced(sync.number, result);
        }
    }

    /// Appends a frame to the counter log.
    pub(super) fn append(&mut self, frame: &[u8]) {
        if let Some(files) = &mut self.counter_files {
            files.append(frame);
        }
    }

    /// Starts a sync of the counter log in the background. If it cannot be started, the failure is reported
    /// to telemetry at once.
    pub(super) fn sync_counters(&mut self, number: u64) {
        let telemetry = &self.telemetry;
        let started = match &mut self.counter_files {
            Some(files) => files
                .sync(number, || telemetry.saved(), &telemetry.log_header())
                .map_err(|error| SyncError::Storage(error.to_string())),
            None => Err(SyncError::Storage("no --state-dir was given".to_owned())),
        };
        if started.is_err() {
            self.telemetry.synced(number, started);
        }
    }

    /// Connects, writes to or closes the connection to Graphite.
    pub(super) fn carry_out_graphite(
        &mut self,
        action: ConnectionAction,
        net: &mut Net,
        roles: &mut BTreeMap<Token, Role>,
    ) {
        match action {
            ConnectionAction::Connect(address) => {
                let token = net.connect(address);
                roles.insert(token, Role::Graphite);
                self.graphite = Some(token);
            }
            ConnectionAction::Write(bytes) => {
                if let Some(token) = self.graphite {
                    net.send(token, &bytes);
                }
            }
            ConnectionAction::Close => {
                if let Some(token) = self.graphite.take() {
                    net.close(token);
                    roles.remove(&token);
                }
            }
        }
    }

    /// Binds the socket for metrics of the host's collectd, or replaces it if its address in the settings
    /// changed.
    pub(super) fn configure_metrics_listener(&mut self, net: &mut Net) {
        let wanted = self.telemetry.settings().listen.as_ref().map(|listen| listen.address);
        if self.metrics_listener.as_ref().map(|listener| listener.address) == wanted {
            return;
        }
        if let Some(listener) = self.metrics_listener.take() {
            net.close_datagrams(listener.token);
        }
        let Some(address) = wanted else { return };
        match net.bind_datagrams(address) {
            Ok(bound) => {
                tracing::info!(address = %bound.address, "listening for host metrics");
                self.metrics_listener = Some(MetricsListener { token: bound.token, address });
            }
            Err(error) => tracing::error!(%address, %error, "cannot listen for host metrics"),
        }
    }

    /// Sends a datagram to collectd, from a socket that the first call binds. A datagram that the operating
    /// system does not accept is lost. The counters are cumulative, so the next report makes up for it.
    pub(super) fn send_datagram(&mut self, net: &mut Net, address: SocketAddr, packet: &[u8]) {
        if self.collectd.is_none() {
            let any_port = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
            let bound = any_port.parse().ok().and_then(|any_port| net.bind_datagrams(any_port).ok());
            self.collectd = bound.map(|socket| socket.token);
        }
        if let Some(token) = self.collectd {
            net.send_to(token, address, packet);
        }
    }
}
