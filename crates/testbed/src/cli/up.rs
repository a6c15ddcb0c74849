//! `up`: runs one courier and its endpoints, for manual tests of clients.

use super::common::{this_program, Outcome, WorkFolder};
use crate::socket_run::{self, StackOptions};
use linnetcart_scenario::fleet::Fleet;
use linnetcart_scenario::scenario::Scenario;
use std::io::Write;

#[derive(Debug, clap::Args)]
pub(super) struct Args {
    /// Name of the built-in scenario, or path of the scenario script, whose endpoints are started
    #[arg(long, default_value = "quiet")]
    day: String,
    /// Seed of the random numbers of the fleet
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

pub(super) fn run(args: &Args) -> anyhow::Result<Outcome> {
    let mut scenario = Scenario::find(&args.day)?;
    scenario.couriers = 1;
    let fleet = Fleet::draw(scenario, args.seed);
    let folder = WorkFolder::temporary()?;
    let options = StackOptions::new(this_program()?, folder.path.clone());
    socket_run::run_until_signal(&fleet, &options, |ready| {
        println!("{ready}");
        let _ = std::io::stdout().flush();
    })?;
    Ok(Outcome::Passed)
}
