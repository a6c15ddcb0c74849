//! What errors of system calls mean. This is the only module of the crate that looks at an errno.

use rustix::io::Errno;
use std::io;

/// What an error of a call on a connection means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ErrorMeaning {
    /// A signal interrupted the call, which may be made again at once.
    Interrupted,
    /// The call would have to wait; the system reports when it can be made.
    WouldBlock,
    /// The system lacks memory, buffers or file descriptors at present. It does not report when that ends: the
    /// call has to be made again after a pause.
    Momentary,
    /// The connection is of no further use.
    Broken,
}

/// What an error of `accept` means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptError {
    /// No connection is queued.
    Empty,
    /// The connection at the front of the queue failed, or a signal arrived; others may be queued.
    OneConnection,
    /// The system cannot create a connection at present. The queue stays as it is.
    Momentary,
}

/// Why a connection could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// This machine could not begin: it says nothing about the peer.
    Local,
    /// The peer or the way to it refused the connection.
    Remote,
}

/// The result of a call of `connect`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectStart {
    /// The system is connecting.
    InProgress,
    /// The connection could not be established.
    Failed(ConnectFailure),
}

/// Returns what an error of a call on a connection means.
pub(crate) fn meaning(error: &io::Error) -> ErrorMeaning {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => ErrorMeaning::Interrupted,
        Some(Errno::AGAIN) => ErrorMeaning::WouldBlock,
        Some(errno) if is_lack_of_resources(errno) => ErrorMeaning::Momentary,
        _ => ErrorMeaning::Broken,
    }
}

/// Returns what an error of `accept` means.
pub(crate) fn accept_error(error: &io::Error) -> AcceptError {
    match meaning(error) {
        ErrorMeaning::WouldBlock => AcceptError::Empty,
        ErrorMeaning::Momentary => AcceptError::Momentary,
        ErrorMeaning::Interrupted | ErrorMeaning::Broken => AcceptError::OneConnection,
    }
}

/// Returns what the result of `connect` on a non-blocking socket means.
pub(crate) fn connect_start(result: io::Result<()>) -> ConnectStart {
    let Err(error) = result else { return ConnectStart::InProgress };
    match Errno::from_io_error(&error) {
        // An interrupted connect goes on in the kernel.
        Some(Errno::INPROGRESS | Errno::ALREADY | Errno::INTR) => ConnectStart::InProgress,
        _ => ConnectStart::Failed(connect_failure(&error)),
    }
}

/// Returns who is at fault when a connection cannot be established.
pub(crate) fn connect_failure(error: &io::Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        // `EAGAIN` of a TCP connect means that no local port or route cache entry is free.
        Some(Errno::ADDRNOTAVAIL | Errno::ADDRINUSE | Errno::AGAIN | Errno::NETUNREACH | Errno::NETDOWN) => {
            ConnectFailure::Local
        }
        Some(errno) if is_lack_of_resources(errno) => ConnectFailure::Local,
        _ => ConnectFailure::Remote,
    }
}

/// Whether an error will probably be over soon, so that the call is worth making again: a signal, or a lack of
/// memory, buffers, descriptors or space, or a failed transfer.
pub fn is_momentary(error: &io::Error) -> bool {
    match Errno::from_io_error(error) {
        Some(Errno::INTR | Errno::AGAIN | Errno::NOSPC | Errno::DQUOT | Errno::IO | Errno::BUSY) => true,
        Some(errno) => is_lack_of_resources(errno),
        None => false,
    }
}

fn is_lack_of_resources(errno: Errno) -> bool {
    matches!(errno, Errno::NOBUFS | Errno::NOMEM | Errno::MFILE | Errno::NFILE)
}

#[cfg(test)]
mod tests;
