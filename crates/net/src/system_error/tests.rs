//! Classification of the errors that the system reports.

use super::*;

fn error(errno: Errno) -> io::Error {
    errno.into()
}

#[test]
fn interrupted_connect_is_in_progress_and_local_errors_are_not_remote() {
    for errno in [Errno::INPROGRESS, Errno::ALREADY, Errno::INTR] {
        assert_eq!(classify_connect_result(Err(error(errno))), ConnectStart::InProgress, "{errno:?}");
    }
    for errno in [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::NETUNREACH, Errno::NOBUFS, Errno::MFILE] {
        let failed = ConnectStart::Failed(ConnectFailure::Local);
        assert_eq!(classify_connect_result(Err(error(errno))), failed, "{errno:?}");
    }
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert_eq!(classify_connect_error(&error(errno)), ConnectFailure::Remote, "{errno:?}");
    }
}

#[test]
fn lack_of_resources_is_no_fatal_error() {
    for errno in [Errno::NOBUFS, Errno::NOMEM, Errno::MFILE, Errno::NFILE] {
        assert_eq!(classify_call_error(&error(errno)), CallError::OutOfResources, "{errno:?}");
        assert_eq!(classify_accept_error(&error(errno)), AcceptError::OutOfResources, "{errno:?}");
    }
    for errno in [Errno::PIPE, Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        assert_eq!(classify_call_error(&error(errno)), CallError::Fatal, "{errno:?}");
    }
    for errno in [Errno::CONNABORTED, Errno::PROTO, Errno::INTR] {
        assert_eq!(classify_accept_error(&error(errno)), AcceptError::OneConnection, "{errno:?}");
    }
}
