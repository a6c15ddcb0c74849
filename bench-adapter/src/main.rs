//! Bench adapter: runs the decision library of linnetcart for another program, the bench, over standard input
//! and output.
//!
//! The bench sends framed batches of binary records. The adapter decodes them into the dispatcher's events,
//! and encodes the dispatcher's actions as the reply. It makes no decisions and reads no clock: each batch
//! carries its clock time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod codes;
mod error;
mod event;
mod fields;
mod frame;
mod host;

use error::BatchError;
use host::Host;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// Size of each buffer of standard input and output.
const PIPE_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(PIPE_BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(PIPE_BUFFER_BYTES, io::stdout().lock());
    match serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("linnetcart-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads batches and writes one reply to each, in order, until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), BatchError> {
    let mut host = Host::default();
    while let Some(batch) = frame::read_batch(input)? {
        let reply = host.process(&batch)?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
