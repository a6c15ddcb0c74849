//! CPU time and memory that the system accounts to a process.

use anyhow::Context;

/// The field of `/proc/PID/stat` after the program's name with the user time, in clock ticks.
const USER_TIME_FIELD: usize = 11;
/// As [`USER_TIME_FIELD`], with the system time.
const SYSTEM_TIME_FIELD: usize = 12;
/// The field of `/proc/PID/statm` with the resident pages.
const RESIDENT_FIELD: usize = 1;

/// CPU time that a process has used so far, in seconds.
pub(super) fn cpu_seconds(pid: u32) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, after_name) = stat.rsplit_once(')').context("stat")?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |number: usize| fields.get(number).copied().context("stat");
    let user_ticks: u64 = field(USER_TIME_FIELD)?.parse()?;
    let system_ticks: u64 = field(SYSTEM_TIME_FIELD)?.parse()?;
    let ticks = user_ticks + system_ticks;
    Ok(ticks as f64 / rustix::param::clock_ticks_per_second() as f64)
}

/// Resident memory of a process, in bytes.
pub(super) fn resident_bytes(pid: u32) -> anyhow::Result<u64> {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages: u64 = statm.split_whitespace().nth(RESIDENT_FIELD).context("statm")?.parse()?;
    Ok(pages * rustix::param::page_size() as u64)
}
