//! Writes log lines to standard error without waiting for a reader that stalls: while a pipe is half full, lines are
//! dropped and counted.

use crate::cli::LogForm;
use rustix::io::ioctl_fionread;
use rustix::pipe::fcntl_getpipe_size;
use std::fs::File;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::os::unix::fs::FileTypeExt;
use std::sync::atomic::{AtomicU64, Ordering};
use tracing_subscriber::fmt::MakeWriter;

/// Standard error as the target of the log.
#[derive(Debug)]
pub struct LogWriter {
    form: LogForm,
    /// Number of bytes in the pipe from which lines are dropped; `None` if standard error is no pipe.
    max_unread_bytes: Option<u64>,
    /// Number of lines that were dropped and not reported yet.
    dropped: AtomicU64,
}

impl LogWriter {
    /// Creates a writer of lines in this form.
    pub fn new(form: LogForm) -> LogWriter {
        LogWriter { form, max_unread_bytes: half_of_pipe(), dropped: AtomicU64::new(0) }
    }

    /// Whether standard error takes a line without a wait. A line of more than half a pipe never fits.
    fn has_room_for(&self, line: &[u8]) -> bool {
        let Some(max_unread_bytes) = self.max_unread_bytes else { return true };
        let unread = ioctl_fionread(io::stderr()).unwrap_or(0);
        unread + line.len() as u64 <= max_unread_bytes
    }

    /// Returns a line that reports dropped ones.
    fn dropped_line(&self, lines: u64) -> String {
        match self.form {
            LogForm::Json => format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped, their reader is too slow\",\"lines\":{lines}}}\n"
            ),
            LogForm::Plain => format!("WARN log lines dropped, their reader is too slow lines={lines}\n"),
        }
    }
}

/// Returns half of the size of the pipe that standard error is; `None` if it is no pipe.
fn half_of_pipe() -> Option<u64> {
    let file = File::from(io::stderr().as_fd().try_clone_to_owned().ok()?);
    if !file.metadata().ok()?.file_type().is_fifo() {
        return None;
    }
    let size = fcntl_getpipe_size(io::stderr()).ok()?;
    Some(size as u64 / 2)
}

impl Write for &LogWriter {
    /// Takes one line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.has_room_for(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            io::stderr().write_all(self.dropped_line(dropped).as_bytes())?;
        }
        io::stderr().write_all(line)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = &'a LogWriter;

    fn make_writer(&'a self) -> &'a LogWriter {
        self
    }
}
