//! The `linnetcart-edge` program.

use clap::Parser;
use linnetcart_edge::cli::Args;

fn main() -> std::process::ExitCode {
    linnetcart_edge::cli::run(Args::parse())
}
