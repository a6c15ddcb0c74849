//! The seeds and the duration of soak runs, from the environment.

use std::ops::Range;
use std::time::Duration;

/// Returns the seeds in `SOAK_SEEDS`, which has the form `FIRST..END`, or else `default`.
///
/// # Panics
///
/// If the variable has another form.
pub fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return default };
    let (first, end) = text.split_once("..").expect("SOAK_SEEDS has the form FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Returns the duration of a run: `SOAK_SECONDS`, or else `default`.
///
/// # Panics
///
/// If the variable is not a whole number of seconds.
pub fn duration(default: Duration) -> Duration {
    let Ok(text) = std::env::var("SOAK_SECONDS") else { return default };
    Duration::from_secs(text.parse().expect("a number"))
}
