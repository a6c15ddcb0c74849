//! `tail`: receives reports as Graphite or collectd would, and shows them.

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
    /// Listen for Graphite's forms on this address; port 0 lets the system choose
    #[arg(long, value_name = "ADDR")]
    graphite: Option<SocketAddr>,
    /// Listen for collectd's packets on this address
    #[arg(long, value_name = "ADDR")]
    collectd: Option<SocketAddr>,
    /// A collectd user with a key; packets must then be signed or encrypted
    #[arg(long, value_name = "USER:KEY", requires = "collectd", value_parser = parse_user)]
    user: Vec<UserKey>,
    /// Write each point to this file as a plaintext line; `report` draws charts from it
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// Stop after this many seconds
    #[arg(long)]
    seconds: Option<f64>,
}

#[derive(Clone, Debug)]
struct UserKey {
    user: String,
    key: String,
}

fn parse_user(text: &str) -> Result<UserKey, String> {
    let (user, key) = text.split_once(':').ok_or("USER:KEY is expected")?;
    Ok(UserKey { user: user.to_owned(), key: key.to_owned() })
}

pub(super) fn run(args: Args) -> anyhow::Result<Outcome> {
    if args.seconds.is_some_and(|seconds| !(seconds > 0.0 && seconds <= 1e6)) {
        bail!("--seconds: more than 0 and at most 1000000");
    }
    let mut users: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for UserKey { user, key } in args.user {
        users.entry(user).or_default().push(key);
    }
    let require = if users.is_empty() { Require::Nothing } else { Require::Signed };
    let addresses = ListenAddresses { graphite: args.graphite, collectd: args.collectd, users, require };
    let options = ListenOptions { addresses, record: args.record, seconds: args.seconds };
    match listen::run(options)? {
        CounterCheck::NoneFell => Ok(Outcome::Passed),
        CounterCheck::Fell => Ok(Outcome::Failed),
    }
}
