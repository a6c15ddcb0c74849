//! A courier whose discovery and only endpoint are controlled by the test.

use crate::courier::{platform_config, submission, CourierProcess};
use crate::peer::{GatedListener, Peer};
use serde_json::Value;

/// The head of discovery's answer to a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A courier that has synced with the test's discovery.
pub struct WatchedScene {
    pub courier: CourierProcess,
    pub discovery: GatedListener,
    pub endpoint: GatedListener,
    pub watch: Peer,
}

impl WatchedScene {
    pub fn new(name: &str) -> WatchedScene {
        WatchedScene::with_endpoint(name, GatedListener::new(), |_| {})
    }

    /// Starts a courier with this endpoint and a configuration that `change` has changed.
    pub fn with_endpoint(
        name: &str,
        endpoint: GatedListener,
        change: impl FnOnce(&mut Value),
    ) -> WatchedScene {
        let discovery = GatedListener::new();
        let courier = CourierProcess::with_config(name, |listen| {
            let mut config = platform_config(listen, &[endpoint.address], discovery.address);
            change(&mut config);
            config
        });
        let mut watch = discovery.accept();
        assert!(watch.wait_for_request());
        watch.read_request();
        watch.send(&format!("{WATCH_HEAD}1\r\n\n\r\n"));
        WatchedScene { courier, discovery, endpoint, watch }
    }

    /// Sends an event of the watch, unless the courier has closed it, and waits until it is applied.
    pub fn send_event(&mut self, event: &Value) {
        let line = format!("{event}\n");
        self.watch.send_if_open(&format!("{:x}\r\n{line}\r\n", line.len()));
        self.courier.wait_until_input_processed();
    }

    /// Submits a message, which has to be accepted.
    pub fn submit(&self, class: &str, id: &str) {
        assert_eq!(self.courier.request(&submission(class, id, "")), Some(202));
    }
}
