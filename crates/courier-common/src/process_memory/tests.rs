use super::*;

#[test]
fn status_is_read_in_bytes() {
    let status = "Name:\tcourier\nVmHWM:\t    4300 kB\nVmRSS:\t    4100 kB\n";
    let memory = ProcessMemory { resident_bytes: 4100 * 1024, peak_bytes: 4300 * 1024 };
    assert_eq!(ProcessMemory::parse(status), Some(memory));
    assert_eq!(ProcessMemory::parse("VmHWM:\t 1 kB\n"), None);
}
