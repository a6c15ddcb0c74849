//! Runs linnetcart behind the framed pipe of standard input and output.
mod wire;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = wire::Host::default();
    let served = (|| -> Result<(), wire::Bad> {
        while let Some((head, body)) = wire::read_batch(&mut input)? {
            let reply = host.batch(&head, &body)?;
            output.write_all(&reply)?;
            output.flush()?;
        }
        Ok(())
    })();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(bad) => {
            eprintln!("linnetcart-bench-adapter: {bad}");
            ExitCode::FAILURE
        }
    }
}
