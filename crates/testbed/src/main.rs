//! The program `linnetcart-testbed`.

use clap::Parser;
use linnetcart_testbed::cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(cli::Args::parse())
}
