//! Retries of steps of a program's start that fail for a moment.

use crate::is_momentary;
use std::io;
use std::time::Duration;

/// Pause between two tries.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Tries until it succeeds or fails for a reason that is not momentary. The first failure is logged.
pub fn retry_momentary<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut is_logged = false;
    loop {
        match attempt() {
            Err(error) if is_momentary(&error) => {
                if !is_logged {
                    tracing::warn!(%error, "start fails for the moment, it is tried again");
                }
                is_logged = true;
            }
            result => return result,
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}
