//! The memory of the process, as the system accounts for it.

/// Resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Resident now.
    pub resident_bytes: u64,
    /// The most that was resident since the start of the process.
    pub peak_bytes: u64,
}

impl ProcessMemory {
    /// Path of the file whose text [`ProcessMemory::parse`] reads.
    pub const STATUS_FILE: &str = "/proc/self/status";

    /// Reads the text of [`ProcessMemory::STATUS_FILE`]. Returns `None` if a value is missing.
    pub fn parse(status: &str) -> Option<ProcessMemory> {
        Some(ProcessMemory {
            resident_bytes: kilobytes(status, "VmRSS:")? * 1024,
            peak_bytes: kilobytes(status, "VmHWM:")? * 1024,
        })
    }
}

fn kilobytes(status: &str, name: &str) -> Option<u64> {
    let value = status.lines().find_map(|line| line.strip_prefix(name))?;
    value.trim().strip_suffix(" kB")?.parse().ok()
}

#[cfg(test)]
mod tests;
