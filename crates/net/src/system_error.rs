//! Classification of the errors of system calls. No other module of the crate looks at an errno.

use rustix::io::Errno;
use std::io;

/// How to proceed after an error of a system call on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// A signal interrupted the call (`EINTR`), which may be repeated at once.
    Interrupted,
    /// The call would block (`EAGAIN`); the event loop reports when it can be repeated.
    WouldBlock,
    /// The system lacks memory, buffers or file descriptors. The event loop does not report when they are
    /// available again, so the call has to be repeated after a pause.
    OutOfResources,
    /// The connection is lost.
    Fatal,
}

/// How to proceed after an error of `accept`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptError {
    /// No connection is queued.
    Empty,
    /// The connection at the front of the queue failed, or a signal arrived; others may be queued.
    OneConnection,
    /// The system lacks memory, buffers or file descriptors. The connections stay queued.
    OutOfResources,
}

/// Why a connection could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// This machine could not send the connection request, which says nothing about the peer.
    Local,
    /// The peer refused the connection, or could not be reached.
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

/// Classifies an error of a system call on a connection.
pub(crate) fn classify_call_error(error: &io::Error) -> CallError {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => CallError::Interrupted,
        Some(Errno::AGAIN) => CallError::WouldBlock,
        Some(errno) if is_out_of_resources(errno) => CallError::OutOfResources,
        _ => CallError::Fatal,
    }
}

/// Classifies an error of `accept`.
pub(crate) fn classify_accept_error(error: &io::Error) -> AcceptError {
    match classify_call_error(error) {
        CallError::WouldBlock => AcceptError::Empty,
        CallError::OutOfResources => AcceptError::OutOfResources,
        CallError::Interrupted | CallError::Fatal => AcceptError::OneConnection,
    }
}

/// Classifies the result of `connect` on a non-blocking socket.
pub(crate) fn classify_connect_result(result: io::Result<()>) -> ConnectStart {
    let Err(error) = result else { return ConnectStart::InProgress };
    match Errno::from_io_error(&error) {
        // After `EINTR`, the kernel continues to connect.
        Some(Errno::INPROGRESS | Errno::ALREADY | Errno::INTR) => ConnectStart::InProgress,
        _ => ConnectStart::Failed(classify_connect_error(&error)),
    }
}

/// Classifies the error of a connection that could not be established.
pub(crate) fn classify_connect_error(error: &io::Error) -> ConnectFailure {
    match Errno::from_io_error(error) {
        // On a TCP connect, `EAGAIN` means that no local port or routing cache entry is free.
        Some(Errno::ADDRNOTAVAIL | Errno::ADDRINUSE | Errno::AGAIN | Errno::NETUNREACH | Errno::NETDOWN) => {
            ConnectFailure::Local
        }
        Some(errno) if is_out_of_resources(errno) => ConnectFailure::Local,
        _ => ConnectFailure::Remote,
    }
}

/// Whether an error is transient, so that repeating the call may succeed: an interruption by a signal, a lack
/// of memory, buffers, file descriptors or disk space, a busy resource, or an I/O error of the device.
pub fn is_transient(error: &io::Error) -> bool {
    match Errno::from_io_error(error) {
        Some(Errno::INTR | Errno::AGAIN | Errno::NOSPC | Errno::DQUOT | Errno::IO | Errno::BUSY) => true,
        Some(errno) => is_out_of_resources(errno),
        None => false,
    }
}

fn is_out_of_resources(errno: Errno) -> bool {
    matches!(errno, Errno::NOBUFS | Errno::NOMEM | Errno::MFILE | Errno::NFILE)
}

#[cfg(test)]
mod tests;
