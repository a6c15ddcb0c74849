//! Retries of startup steps that fail with a transient error, and the signals that arrive meanwhile.

use calloop::signals::Signal;
use linnetcart_net::{Event, Net, RETRY_PAUSE};
use std::error::Error;

/// Signals that arrived between the tries of startup steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartupSignals {
    /// `SIGHUP` arrived: the configuration has to be read again.
    pub reload_requested: bool,
    /// `SIGTERM` or `SIGINT` arrived: the process has to end.
    terminated: bool,
}

/// The outcome of [`retry`].
#[derive(Debug)]
pub enum RetryOutcome<T> {
    /// The step succeeded.
    Done(T),
    /// A termination signal arrived.
    Terminated,
}

/// Calls `attempt` until it succeeds, fails with an error that is not transient, or a termination signal
/// arrives. Polls the event loop for [`RETRY_PAUSE`] between the calls, and logs the first failure only.
pub fn retry<T, E: Error>(
    net: &mut Net,
    signals: &mut StartupSignals,
    mut attempt: impl FnMut(&mut Net) -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
) -> Result<RetryOutcome<T>, E> {
    let mut is_logged = false;
    loop {
        match attempt(net) {
            Ok(done) => return Ok(RetryOutcome::Done(done)),
            Err(error) if is_transient(&error) => log_once(&mut is_logged, &error),
            Err(error) => return Err(error),
        }
        wait_for_retry(net, signals);
        if signals.terminated {
            return Ok(RetryOutcome::Terminated);
        }
    }
}

fn log_once(is_logged: &mut bool, error: &impl Error) {
    if !*is_logged {
        tracing::warn!(%error, "start fails for the moment, it is tried again");
    }
    *is_logged = true;
}

fn wait_for_retry(net: &mut Net, signals: &mut StartupSignals) {
    let mut events = Vec::new();
    net.poll(RETRY_PAUSE, &mut events);
    for event in events {
        match event {
            Event::Signal(signal) if signal == Signal::SIGHUP as i32 => signals.reload_requested = true,
            Event::Signal(_) => signals.terminated = true,
            _ => {}
        }
    }
}
