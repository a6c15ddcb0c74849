//! Tries again what fails for a moment during the startup, and heeds signals meanwhile.

use calloop::signals::Signal;
use linnetcart_net::{Event, Net, RETRY_PAUSE};
use std::error::Error;

/// Signals that arrived while the startup waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waited {
    /// The configuration has to be read again.
    pub reload_requested: bool,
    /// The process is to end.
    terminated: bool,
}

/// The result of tries.
#[derive(Debug)]
pub enum Retries<T> {
    /// A try succeeded.
    Done(T),
    /// A termination signal arrived.
    Terminated,
}

/// Tries until it succeeds, fails for a reason that is not momentary, or a termination signal arrives.
pub fn retry<T, E: Error>(
    net: &mut Net,
    waited: &mut Waited,
    mut attempt: impl FnMut(&mut Net) -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
) -> Result<Retries<T>, E> {
    let mut is_logged = false;
    loop {
        match attempt(net) {
            Ok(done) => return Ok(Retries::Done(done)),
            Err(error) if is_transient(&error) => log_once(&mut is_logged, &error),
            Err(error) => return Err(error),
        }
        wait(net, waited);
        if waited.terminated {
            return Ok(Retries::Terminated);
        }
    }
}

fn log_once(is_logged: &mut bool, error: &impl Error) {
    if !*is_logged {
        tracing::warn!(%error, "start fails for the moment, it is tried again");
    }
    *is_logged = true;
}

fn wait(net: &mut Net, waited: &mut Waited) {
    let mut events = Vec::new();
    net.poll(RETRY_PAUSE, &mut events);
    for event in events {
        match event {
            Event::Signal(signal) if signal == Signal::SIGHUP as i32 => waited.reload_requested = true,
            Event::Signal(_) => waited.terminated = true,
            _ => {}
        }
    }
}
