//! Errors as the system reports them, and what they mean.

use super::*;

fn error(errno: Errno) -> io::Error {
    errno.into()
}

#[test]
fn interrupted_connect_goes_on_and_local_errors_blame_no_peer() {
    for errno in [Errno::INPROGRESS, Errno::ALREADY, Errno::INTR] {
        assert_eq!(connect_start(Err(error(errno))), ConnectStart::InProgress, "{errno:?}");
    }
    for errno in [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::NETUNREACH, Errno::NOBUFS, Errno::MFILE] {
        let failed = ConnectStart::Failed(ConnectFailure::Local);
        assert_eq!(connect_start(Err(error(errno))), failed, "{errno:?}");
    }
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert_eq!(connect_failure(&error(errno)), ConnectFailure::Remote, "{errno:?}");
    }
}

#[test]
fn lack_of_resources_breaks_no_connection() {
    for errno in [Errno::NOBUFS, Errno::NOMEM, Errno::MFILE, Errno::NFILE] {
        assert_eq!(meaning(&error(errno)), ErrorMeaning::Momentary, "{errno:?}");
        assert_eq!(accept_error(&error(errno)), AcceptError::Momentary, "{errno:?}");
    }
    for errno in [Errno::PIPE, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert_eq!(meaning(&error(errno)), ErrorMeaning::Broken, "{errno:?}");
    }
    for errno in [Errno::CONNABORTED, Errno::PROTO, Errno::INTR] {
        assert_eq!(accept_error(&error(errno)), AcceptError::OneConnection, "{errno:?}");
    }
}
