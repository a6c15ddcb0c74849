//! CPU time and resident memory of a process, as `/proc` gives them.

use anyhow::Context;

/// The index of `utime` (user mode CPU time, in clock ticks) among the fields of `/proc/PID/stat` that follow
/// the program's name. proc(5) counts it as field 14, from 1 and with the process id and the name.
const USER_TIME_FIELD: usize = 11;
/// As [`USER_TIME_FIELD`], for `stime` (kernel mode CPU time).
const SYSTEM_TIME_FIELD: usize = 12;
/// The index of `resident` (resident set size, in pages) among the fields of `/proc/PID/statm`.
const RESIDENT_FIELD: usize = 1;

/// CPU time of all threads of a process since its start, in user and kernel mode, in seconds.
pub(super) fn cpu_seconds(pid: u32) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, after_name) = stat.rsplit_once(')').context("unexpected format of /proc/PID/stat")?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |number: usize| fields.get(number).copied().context("unexpected format of /proc/PID/stat");
    let user_ticks: u64 = field(USER_TIME_FIELD)?.parse()?;
    let system_ticks: u64 = field(SYSTEM_TIME_FIELD)?.parse()?;
    let ticks = user_ticks + system_ticks;
    Ok(ticks as f64 / rustix::param::clock_ticks_per_second() as f64)
}

/// Resident set size of a process, in bytes.
pub(super) fn resident_bytes(pid: u32) -> anyhow::Result<u64> {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm"))?;
    let pages: u64 = statm
        .split_whitespace()
        .nth(RESIDENT_FIELD)
        .context("unexpected format of /proc/PID/statm")?
        .parse()?;
    Ok(pages * rustix::param::page_size() as u64)
}
