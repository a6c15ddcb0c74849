//! `linnetcart-lab`.

use clap::Parser;

fn main() -> std::process::ExitCode {
    linnetcart_lab::cli::run(linnetcart_lab::cli::Args::parse())
}
