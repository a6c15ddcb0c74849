//! Changes of the configuration: incomplete files, signals during the start, reordered or removed classes.

use crate::courier::{platform_config, wait_until, CourierProcess};
use crate::stubs::{discovery_stub, endpoint_stub};
use rustix::process::Signal;
use serde_json::{json, Value};

/// Returns the courier's configuration with only the classes at these indexes, in this order.
fn with_classes(courier: &CourierProcess, classes: &[usize]) -> Value {
    let mut config = courier.read_config();
    let all = config["settings"]["services"].clone();
    config["settings"]["services"] = classes.iter().map(|&index| all[index].clone()).collect();
    config
}

/// A class is numbered by its position in the settings. If the journal referred to it by that number, a
/// message would have the class of another after a restart under reordered settings, and a message that is
/// not idempotent could be executed twice.
#[test]
fn message_under_reordered_settings_keeps_its_class() {
    let discovery = discovery_stub();
    let endpoint = endpoint_stub();
    let mut courier = CourierProcess::new("classes", endpoint.address, discovery.address);
    assert_eq!((courier.submit("order", "slow-order"), courier.submit("status", "slow-status")), (202, 202));
    wait_until("both attempts are in flight", || endpoint.requests().len() == 2);
    // The idempotent class now has the number that the class `order`, which is not idempotent, had before.
    courier.write_config(&with_classes(&courier, &[2, 0, 1]));
    courier.kill_and_restart();
    wait_until("the idempotent message is retried", || endpoint.count_matching("slow-status") == 2);
    wait_until("the other is completed", || discovery.count_matching("slow-order") == 1);
    // A message whose class no longer exists is completed too.
    courier.write_config(&with_classes(&courier, &[0, 2]));
    courier.kill_and_restart();
    wait_until("it has failed", || discovery.count_matching(r#""slow-status","state":"failed""#) == 1);
    assert_eq!((endpoint.count_matching("slow-order"), endpoint.count_matching("slow-status")), (1, 2));
    let id = [("id", json!("slow-status"))];
    assert_eq!(courier.count_logged("recovered message of unknown class failed", &id), 1);
}

/// SIGHUP may arrive while the configuration file is still being written, or before the process handles
/// signals. The file must then be read again until it is complete, and the signal must not end the process.
#[test]
fn configuration_half_written_read_once_complete_and_early_signal_harmless() {
    let endpoint = endpoint_stub();
    let first = discovery_stub();
    let second = discovery_stub();
    let mut courier = CourierProcess::new("reload", endpoint.address, first.address);
    let complete = platform_config(courier.listen, &[endpoint.address], second.address).to_string();
    courier.overwrite_config(&complete[..complete.len() / 2]);
    courier.signal(Signal::HUP);
    wait_until("the incomplete configuration is rejected", || {
        courier.count_logged("configuration unreadable, previous one stays in force", &[]) > 0
    });
    courier.overwrite_config(&complete);
    wait_until("the complete configuration is in force", || {
        courier.count_logged("configuration reloaded", &[]) > 0
    });
    assert_eq!(courier.submit("order", "slow-m"), 202);
    wait_until("its attempt is in flight", || endpoint.count_matching("slow-m") == 1);
    courier.kill_and_restart();
    wait_until("the notification goes to the new address", || second.count_matching("slow-m") == 1);
    // Signals that arrive while the process starts neither end it nor get lost.
    courier.kill();
    courier.start();
    wait_until("the process blocks SIGHUP", || courier.blocks_sighup());
    (0..20).for_each(|_| courier.signal(Signal::HUP));
    courier.wait_until_ready();
    wait_until("the configuration is read again", || {
        courier.count_logged("configuration reloaded", &[]) >= 2
    });
}
