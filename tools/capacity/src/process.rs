//! Resource usage of a process, from `/proc`.

use std::{fs, path::Path, time::Duration};

/// Resident memory of a running process, in KiB.
pub fn resident_kib(pid: u32) -> i64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).expect("the status has a resident size")
}

/// CPU time of all live threads of a running process.
pub fn cpu_time(pid: u32) -> Duration {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).expect("the process runs");
    let total: u64 = tasks.flatten().map(|task| cpu_ns(&task.path())).sum();
    Duration::from_nanos(total)
}

fn cpu_ns(task: &Path) -> u64 {
    let text = fs::read_to_string(task.join("schedstat")).unwrap_or_default();
    text.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or_default()
}
