//! Fault injection for tests: system calls of a child process fail with errors that Linux documents for them,
//! at random from a seed.
//!
//! A shim is preloaded into the child (`LD_PRELOAD`) and replaces functions of the C library. Which of their
//! calls fail depends on a control file, which [`FaultControl`] changes while the child runs, or on a
//! schedule in the environment variable `FAULT_PLAN` (see `shim/fault_shim.c`). Only the child is affected.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod soak;

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A fault that the shim can inject. The variants have the order of `enum fault` in the shim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Fault {
    /// A write to a file fails: `ENOSPC`, `EIO` or `EDQUOT`.
    FileWrite,
    /// A write to a file is short: it writes only a part of the bytes, and the next one fails.
    FileShortWrite,
    /// The process is killed with `SIGKILL` after a write to a file has written a part of the bytes or all.
    KillInFileWrite,
    /// A file cannot be opened for writing.
    FileCreate,
    /// A file cannot be truncated.
    FileTruncate,
    /// A file cannot be removed.
    FileRemove,
    /// A file cannot be opened for reading, or a read from it fails.
    FileRead,
    /// A directory cannot be listed.
    DirectoryList,
    /// `send` returns `EINTR`.
    SendInterrupted,
    /// `send` is short: it accepts only a part of the bytes.
    SendShort,
    /// `send` returns `ENOBUFS` or `ENOMEM`.
    SendNoBuffers,
    /// `recv` returns `EINTR`.
    ReceiveInterrupted,
    /// `recv` is short: it returns at most 16 bytes.
    ReceiveShort,
    /// `recv` returns `ENOBUFS` or `ENOMEM`.
    ReceiveNoBuffers,
    /// `accept` fails.
    Accept,
    /// `socket` fails.
    Socket,
    /// `connect` fails at once with a local error, such as `EADDRNOTAVAIL`.
    Connect,
    /// `connect` returns `EINTR`, and the kernel continues to connect.
    ConnectInterrupted,
    /// `getsockopt` and `getpeername` fail.
    SocketStatus,
    /// `setsockopt` and `ioctl` fail.
    SocketOption,
    /// `epoll_wait` or `epoll_pwait2` returns `EINTR`.
    WaitInterrupted,
    /// `epoll_ctl` fails to add a descriptor (`EPOLL_CTL_ADD`).
    Register,
    /// `epoll_ctl` fails to change a registered descriptor (`EPOLL_CTL_MOD`).
    RegisterAgain,
    /// The process stalls for up to 150 ms after it has read the monotonic clock, as if it were preempted. A
    /// reading is eligible with probability 1/16, since the clock is read several times in an iteration.
    Standstill,
    /// A write to standard error fails.
    LogWrite,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 25] = [
        Fault::FileWrite,
        Fault::FileShortWrite,
        Fault::KillInFileWrite,
        Fault::FileCreate,
        Fault::FileTruncate,
        Fault::FileRemove,
        Fault::FileRead,
        Fault::DirectoryList,
        Fault::SendInterrupted,
        Fault::SendShort,
        Fault::SendNoBuffers,
        Fault::ReceiveInterrupted,
        Fault::ReceiveShort,
        Fault::ReceiveNoBuffers,
        Fault::Accept,
        Fault::Socket,
        Fault::Connect,
        Fault::ConnectInterrupted,
        Fault::SocketStatus,
        Fault::SocketOption,
        Fault::WaitInterrupted,
        Fault::Register,
        Fault::RegisterAgain,
        Fault::Standstill,
        Fault::LogWrite,
    ];
}

/// How often a fault is injected: with probability rate / 255 into each call that it applies to.
pub type Rate = u8;

/// The rate at which every call fails.
pub const ALWAYS: Rate = 255;

// The layout of `struct control` in the shim.
const WALL_OFFSET_POSITION: u64 = 0;
const SEED_POSITION: u64 = 8;
const RATES_POSITION: u64 = 16;
const COUNTS_POSITION: u64 = 80;
const CONTROL_BYTES: u64 = COUNTS_POSITION + 8 * Fault::ALL.len() as u64;

/// The faults of a child process, which can be changed while it runs.
#[derive(Debug)]
pub struct FaultControl {
    path: PathBuf,
    directory: PathBuf,
    file: File,
}

impl FaultControl {
    /// Creates the control file at `path`, without faults. `seed` seeds the random choice of the calls that
    /// fail; faults of files affect only those below `directory`.
    pub fn new(path: &Path, directory: &Path, seed: u64) -> io::Result<FaultControl> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES)?;
        file.write_all_at(&seed.to_ne_bytes(), SEED_POSITION)?;
        Ok(FaultControl { path: path.to_owned(), directory: directory.to_owned(), file })
    }

    /// Opens the existing control file at `path` and keeps its rates, seed and counts.
    pub fn open(path: &Path, directory: &Path) -> io::Result<FaultControl> {
        let file = File::options().read(true).write(true).open(path)?;
        Ok(FaultControl { path: path.to_owned(), directory: directory.to_owned(), file })
    }

    /// Sets how often a fault is injected; rate 0 means never.
    pub fn set(&self, fault: Fault, rate: Rate) {
        let position = RATES_POSITION + fault as u64;
        self.file.write_all_at(&[rate], position).expect("the control file is writable");
    }

    /// Injects a fault into every call from now on.
    pub fn always(&self, fault: Fault) {
        self.set(fault, ALWAYS);
    }

    /// Injects no fault from now on. The wall clock stays as it is.
    pub fn clear(&self) {
        Fault::ALL.into_iter().for_each(|fault| self.set(fault, 0));
    }

    /// Sets the child's wall clock ahead of the real one by `step`, in whole milliseconds.
    pub fn step_wall_clock_forward(&self, step: Duration) {
        self.set_wall_offset(step.as_millis() as i64);
    }

    /// Sets the child's wall clock behind the real one by `step`, in whole milliseconds.
    pub fn step_wall_clock_back(&self, step: Duration) {
        self.set_wall_offset(-(step.as_millis() as i64));
    }

    fn set_wall_offset(&self, milliseconds: i64) {
        let bytes = milliseconds.to_ne_bytes();
        self.file.write_all_at(&bytes, WALL_OFFSET_POSITION).expect("the control file is writable");
    }

    /// Returns how often a fault was injected since the control file was created.
    pub fn injected(&self, fault: Fault) -> u64 {
        let mut bytes = [0; 8];
        let position = COUNTS_POSITION + 8 * fault as u64;
        self.file.read_exact_at(&mut bytes, position).expect("the control file is readable");
        u64::from_ne_bytes(bytes)
    }

    /// Returns the environment variables with which the child process has to be started.
    pub fn environment(&self) -> [(&'static str, OsString); 3] {
        [
            ("LD_PRELOAD", shim_path().as_os_str().to_owned()),
            ("FAULT_CONTROL", self.path.as_os_str().to_owned()),
            ("FAULT_DIRECTORY", self.directory.as_os_str().to_owned()),
        ]
    }
}

/// Returns the path of the shim, the shared library that is preloaded into the child.
pub fn shim_path() -> &'static Path {
    Path::new(env!("FAULT_SHIM"))
}
