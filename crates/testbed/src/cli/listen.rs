//! `tail`: receives the couriers' metrics as Graphite or collectd would, and shows them.

use super::common::Outcome;
use crate::listen::{self, CounterCheck, ListenOptions};
use crate::report_receiver::ListenAddresses;
use anyhow::bail;
use linnetcart_telemetry::settings::Require;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Listen on this TCP address for Graphite's plaintext and pickle forms; port 0: any free port
    #[arg(long, value_name = "ADDR")]
    graphite: Option<SocketAddr>,
    /// Listen on this UDP address for collectd packets; port 0: any free port
    #[arg(long, value_name = "ADDR")]
    collectd: Option<SocketAddr>,
    /// Accept collectd packets only if they are signed or encrypted with the key of one of these users
    #[arg(long, value_name = "USER:KEY", requires = "collectd", value_parser = parse_user)]
    user: Vec<UserKey>,
    /// Write each data point to this file as a line of Graphite plaintext; `report` draws charts from it
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// Stop after this many seconds; the default is to run until SIGINT or SIGTERM
    #[arg(long)]
    seconds: Option<f64>,
}

#[derive(Clone, Debug)]
struct UserKey {
    user: String,
    key: String,
}

fn parse_user(text: &str) -> Result<UserKey, String> {
    let (user, key) = text.split_once(':').ok_or("expected USER:KEY")?;
    Ok(UserKey { user: user.to_owned(), key: key.to_owned() })
}

pub(super) fn run(args: Args) -> anyhow::Result<Outcome> {
    if args.seconds.is_some_and(|seconds| !(seconds > 0.0 && seconds <= 1e6)) {
        bail!("--seconds must be more than 0 and at most 1000000");
    }
    let mut users: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for UserKey { user, key } in args.user {
        users.entry(user).or_default().push(key);
    }
    let require = if users.is_empty() { Require::Nothing } else { Require::Signed };
    let addresses = ListenAddresses { graphite: args.graphite, collectd: args.collectd, users, require };
    let options = ListenOptions { addresses, record: args.record, seconds: args.seconds };
    match listen::run(options)? {
        CounterCheck::Monotonic => Ok(Outcome::Passed),
        CounterCheck::Decreased => Ok(Outcome::Failed),
    }
}
