//! Processor time and memory of processes, as the kernel counts them.

use std::fs;
use std::time::Duration;

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time since it started.
    pub processor: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Reads what a process has used; zero when it has ended.
pub fn read_usage(process: u32) -> ProcessUsage {
    ProcessUsage {
        processor: read_cpu_time(process).unwrap_or_default(),
        resident_kib: read_resident_kib(process).unwrap_or_default(),
    }
}

fn read_cpu_time(process: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name in parentheses may hold spaces; user and system time are fields 14 and 15.
    let (_, fields) = text.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

fn read_resident_kib(process: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Processor time that the whole machine has spent, over all its cores.
pub(super) fn machine_cpu_time() -> Duration {
    let Ok(text) = fs::read_to_string("/proc/stat") else {
        return Duration::ZERO;
    };
    let line = text.lines().next().unwrap_or_default();
    let ticks: Vec<f64> = line
        .split_whitespace()
        .skip(1)
        .filter_map(|field| field.parse().ok())
        .collect();
    let idle = ticks.get(3).unwrap_or(&0.0) + ticks.get(4).unwrap_or(&0.0);
    let busy = ticks.iter().take(8).sum::<f64>() - idle;
    Duration::from_secs_f64(busy / TICKS_PER_SECOND)
}
