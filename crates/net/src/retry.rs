//! Retries of startup steps that fail with a transient error.

use crate::is_transient;
use std::io;
use std::time::Duration;

/// Pause between a failed call and its retry.
pub const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Calls `attempt` until it succeeds or fails with an error that is not transient ([`is_transient`]), with
/// [`RETRY_PAUSE`] between the calls. Logs the first failure only.
pub fn retry_transient<T>(mut attempt: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut is_logged = false;
    loop {
        match attempt() {
            Err(error) if is_transient(&error) => {
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
