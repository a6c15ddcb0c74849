//! The stand-ins of the review cases: `standin CASE FOLDER`. Run from the repository's root; writes
//! `record.txt` in FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod half_received;
mod late_repeat;
mod platform;
mod slow_discovery;

use std::io;
use std::path::Path;
use std::process::ExitCode;

/// Whether a case shows the rule broken.
pub enum Verdict {
    Held,
    Broken,
    /// The case did not come about, and shows nothing.
    Void,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    match run(case, Path::new(folder), trouble) {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Void) => ExitCode::from(2),
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let recorder = platform::Recorder::new(&folder.join("record.txt"))?;
    match case {
        "half-received" => half_received::run(&recorder, trouble),
        "late-repeat" => late_repeat::run(&recorder, trouble),
        "slow-discovery" => slow_discovery::run(&recorder, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}
