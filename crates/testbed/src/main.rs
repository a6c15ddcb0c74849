//! `linnetcart-testbed`.

use clap::Parser;

fn main() -> std::process::ExitCode {
    linnetcart_testbed::cli::run(linnetcart_testbed::cli::Args::parse())
}
