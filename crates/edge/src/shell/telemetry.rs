//! Telemetry with its sockets and files: the connection to Graphite, datagrams to and from collectd, the
//! counter files.

use super::telemetry_log::log_event;
use super::{nanos, wall_clock, Role, Shell, FLUSH_TIMEOUT, MAX_POLL_INTERVAL};
use crate::core::Core;
use crate::counter_files::{self, CounterFiles, LoadedCounters};
use crate::delivery_events::DeliveryEvent;
use linnetcart::Time;
use linnetcart_net::{Net, Token};
use linnetcart_telemetry::connection::ConnectionAction;
use linnetcart_telemetry::settings::Telemetry as TelemetrySettings;
use linnetcart_telemetry::{
    CourierInfo, CurrentState, ListedEndpoint, Output, RestoredState, Status, SyncError, Telemetry,
};
use std::net::SocketAddr;
use std::path::Path;

/// Where the host's collectd sends its metrics.
struct MetricsListener {
    token: Token,
    /// The address that was configured.
    address: SocketAddr,
}

/// Telemetry of the courier.
pub(super) struct Reporting {
    telemetry: Telemetry,
    counter_files: Option<CounterFiles>,
    graphite: Option<Token>,
    /// The socket that datagrams to collectd leave by.
    collectd: Option<Token>,
    metrics_listener: Option<MetricsListener>,
    /// The version of the endpoint list that telemetry has.
    list_version: Option<u64>,
    /// When the last report was asked for.
    last_report_at: Option<Time>,
}

impl Reporting {
    pub(super) fn next_wakeup(&self) -> Time {
        self.telemetry.next_wakeup()
    }

    pub(super) fn status(&self, now: Time) -> Status {
        self.telemetry.status(now)
    }

    pub(super) fn record(&mut self, event: &DeliveryEvent) {
        self.telemetry.record(event);
    }

    pub(super) fn graphite_connected(&mut self, now: Time) {
        self.telemetry.connected(now);
    }

    pub(super) fn graphite_disconnected(&mut self, now: Time) {
        self.graphite = None;
        self.telemetry.disconnected(now);
    }

    pub(super) fn datagram_received(&mut self, token: Token, packet: &[u8], now: Time, wall: u64) {
        if self.metrics_listener.as_ref().is_some_and(|listener| listener.token == token) {
            self.telemetry.datagram_received(packet, now, wall);
        }
    }

    /// Gives telemetry the endpoint list if it changed.
    fn update_endpoints(&mut self, core: &Core) {
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

    /// Reports to telemetry which syncs of the counter files are done.
    fn collect_syncs(&mut self) {
        let finished = self.counter_files.as_ref().map(CounterFiles::finished).unwrap_or_default();
        for sync in finished {
            let result = sync.result.map_err(|error| SyncError::Storage(error.to_string()));
            self.telemetry.synced(sync.number, result);
        }
    }

    /// Begins to bring the counters to disk.
    fn sync_counters(&mut self, number: u64) {
        let telemetry = &self.telemetry;
        let started = match &mut self.counter_files {
            Some(files) => files
                .sync(number, || telemetry.saved(), &telemetry.log_head())
                .map_err(|error| SyncError::Storage(error.to_string())),
            None => Err(SyncError::Storage("there is no --state-dir".to_owned())),
        };
        if started.is_err() {
            self.telemetry.synced(number, started);
        }
    }

    /// Listens where the host's collectd is to send its metrics.
    fn configure_metrics_listener(&mut self, net: &mut Net) {
        let wanted = self.telemetry.settings().listen.as_ref().map(|listen| listen.address);
        if self.metrics_listener.as_ref().map(|listener| listener.address) == wanted {
            return;
        }
        if let Some(listener) = self.metrics_listener.take() {
            net.close_datagrams(listener.token);
        }
        let Some(address) = wanted else { return };
        match net.bind_datagrams(address) {
            Ok((token, bound_to)) => {
                tracing::info!(address = %bound_to, "listening for host metrics");
                self.metrics_listener = Some(MetricsListener { token, address });
            }
            Err(error) => tracing::error!(%address, %error, "cannot listen for host metrics"),
        }
    }

    /// Sends a datagram to collectd. What the system does not take is gone, and the next report has the
    /// counts.
    fn send_datagram(&mut self, net: &mut Net, address: SocketAddr, packet: &[u8]) {
        if self.collectd.is_none() {
            let any_port = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
            let bound = any_port.parse().ok().and_then(|any_port| net.bind_datagrams(any_port).ok());
            self.collectd = bound.map(|(token, _)| token);
        }
        if let Some(token) = self.collectd {
            net.send_to(token, address, packet);
        }
    }
}

impl Shell {
    /// Begins to report, or reports otherwise, once it is configured; counts go on from what an earlier run
    /// left.
    pub(super) fn configure_reporting(&mut self) {
        let now = self.now();
        let (Some(settings), Some(core)) = (&self.program.telemetry, &self.program.core) else { return };
        if let Some(reporting) = &mut self.reporting {
            if reporting.telemetry.settings() != settings {
                reporting.telemetry.configure(settings.clone(), now);
                reporting.configure_metrics_listener(&mut self.net);
            }
            return;
        }
        let courier = courier_info(core, self.program.start.seed);
        let settings = settings.clone();
        if let Some(mut reporting) = self.start_reporting(courier, settings, now) {
            reporting.configure_metrics_listener(&mut self.net);
            self.reporting = Some(reporting);
        }
    }

    /// Counters that are there but cannot be used must not begin at zero: `None`, to be tried again.
    fn start_reporting(
        &mut self,
        courier: CourierInfo,
        settings: TelemetrySettings,
        now: Time,
    ) -> Option<Reporting> {
        let state_dir = self.options.state_dir.clone();
        let mut restored = RestoredState::default();
        let mut next_log = 0;
        if let Some(dir) = &state_dir {
            let loaded = self.load_counters(dir, now)?;
            restored = loaded.restored;
            next_log = loaded.next_log;
        }
        let telemetry = Telemetry::new(courier, restored, settings, now);
        let mut counter_files = None;
        if let Some(dir) = &state_dir {
            match CounterFiles::create(dir, next_log, telemetry.saved(), &telemetry.log_head()) {
                Ok(files) => counter_files = Some(files),
                Err(error) => {
                    if self.log_limiter.permits(now) {
                        tracing::error!(%error, "counters not writable, nothing is reported");
                    }
                    return None;
                }
            }
        }
        Some(Reporting {
            telemetry,
            counter_files,
            graphite: None,
            collectd: None,
            metrics_listener: None,
            list_version: None,
            last_report_at: None,
        })
    }

    fn load_counters(&mut self, dir: &Path, now: Time) -> Option<LoadedCounters> {
        match counter_files::load(dir) {
            Ok(loaded) => {
                if let Some(damaged) = &loaded.damaged {
                    let moved_to = damaged.moved_to.display();
                    tracing::error!(
                        error = %damaged.error,
                        %moved_to,
                        "damaged counters set aside, counting begins at zero"
                    );
                    self.program.state_error = Some(damaged.to_string());
                }
                Some(loaded)
            }
            Err(error) => {
                if self.log_limiter.permits(now) {
                    tracing::error!(dir = %dir.display(), %error, "counters not readable");
                }
                None
            }
        }
    }

    /// Whether the last report has left, or has had its time. The first call asks for it.
    pub(super) fn last_report_sent(&mut self, now: Time) -> bool {
        let Some(reporting) = &mut self.reporting else { return true };
        let Some(asked_at) = reporting.last_report_at else {
            reporting.telemetry.report_now(now);
            reporting.last_report_at = Some(now);
            return false;
        };
        let timed_out = now > asked_at + nanos(FLUSH_TIMEOUT);
        timed_out || (now > asked_at + nanos(MAX_POLL_INTERVAL) && reporting.telemetry.is_quiet())
    }

    /// Lets telemetry make its reports, and carries out what it wants done.
    pub(super) fn report(&mut self) {
        let now = self.now();
        let (Some(reporting), Some(core)) = (&mut self.reporting, &self.program.core) else { return };
        reporting.update_endpoints(core);
        reporting.collect_syncs();
        if let Some(token) = reporting.graphite {
            reporting.telemetry.acknowledged(now, self.net.written_bytes(token));
        }
        reporting.telemetry.process(now, wall_clock(), || current_state(core));
        let mut warnings = Vec::new();
        for output in reporting.telemetry.outputs() {
            match output {
                Output::Append(frame) => {
                    if let Some(files) = &mut reporting.counter_files {
                        files.append(&frame);
                    }
                }
                Output::Sync(number) => reporting.sync_counters(number),
                Output::Graphite(ConnectionAction::Connect(address)) => {
                    let token = self.net.connect(address);
                    self.roles.insert(token, Role::Graphite);
                    reporting.graphite = Some(token);
                }
                Output::Graphite(ConnectionAction::Write(bytes)) => {
                    if let Some(token) = reporting.graphite {
                        self.net.send(token, &bytes);
                    }
                }
                Output::Graphite(ConnectionAction::Close) => {
                    if let Some(token) = reporting.graphite.take() {
                        self.net.close(token);
                        self.roles.remove(&token);
                    }
                }
                Output::Datagram(address, packet) => {
                    reporting.send_datagram(&mut self.net, address, &packet);
                }
                Output::Log(event) => warnings.push(event),
                Output::Info(event) => log_event(&event),
            }
        }
        for event in warnings {
            if self.log_limiter.permits(now) {
                log_event(&event);
            }
        }
    }
}

/// What telemetry needs to know of the courier once.
fn courier_info(core: &Core, seed: u64) -> CourierInfo {
    let settings = core.settings();
    let names = settings.classes.iter().map(|class| class.name.clone());
    CourierInfo {
        deployment: settings.deployment.clone(),
        courier_index: settings.courier.index,
        classes: names.zip(settings.library_settings().classes).collect(),
        weight_halves: settings.weights.halves,
        seed,
    }
}

/// What telemetry needs to know of the courier for each report.
fn current_state(core: &Core) -> CurrentState {
    let status = core.status();
    let limits = &core.settings().limits;
    CurrentState {
        messages_in_flight: status.in_flight,
        bytes_in_flight: status.in_flight_bytes,
        calls_in_flight: status.calls,
        max_calls_in_flight: limits.max_calls as usize,
        max_messages_in_flight: limits.max_in_flight as usize,
        clients: status.clients,
        upstream_connections: status.upstream_connections,
    }
}
