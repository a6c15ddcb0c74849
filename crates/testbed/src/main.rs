//! The program `linnetcart-testbed`; its command line is [`linnetcart_testbed::cli`].

use clap::Parser;
use linnetcart_testbed::cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(cli::Args::parse())
}
