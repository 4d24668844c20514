use std::fs;

use crate::failure::Failure;

/// Index of `stime` in `/proc/PID/stat`, counted from the field after the process name.
const SYSTEM_TICKS_FIELD: usize = 12;
const TICK_US: u64 = 10_000;

/// Resource usage of a process, as the kernel reports it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// CPU time of all threads.
    pub(crate) cpu_us: u64,
    /// CPU time in the kernel, with a resolution of 10 ms.
    pub(crate) system_us: u64,
    /// Resident memory.
    pub(crate) resident_bytes: u64,
}

impl Usage {
    /// CPU time since `before`, with the current resident memory.
    pub(crate) fn since(self, before: Self) -> Self {
        Self {
            cpu_us: self.cpu_us.saturating_sub(before.cpu_us),
            system_us: self.system_us.saturating_sub(before.system_us),
            resident_bytes: self.resident_bytes,
        }
    }

    /// Reads the usage of a process from `/proc`.
    pub(crate) fn of(process_id: u32) -> Result<Self, Failure> {
        let mut usage = Self::default();
        for thread in fs::read_dir(format!("/proc/{process_id}/task"))? {
            let path = thread?.path().join("schedstat");
            // A thread may exit while the others are read.
            let counts = fs::read_to_string(path).unwrap_or_default();
            let cpu_ns: u64 = first_number(&counts);
            usage.cpu_us += cpu_ns / 1_000;
        }
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        // The second field, the process name in parentheses, may contain spaces.
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let system_ticks = after_name.split_whitespace().nth(SYSTEM_TICKS_FIELD);
        usage.system_us = system_ticks.map_or(0, first_number) * TICK_US;
        let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        usage.resident_bytes = first_number(resident.unwrap_or_default()) * 1_024;
        Ok(usage)
    }
}

fn first_number(text: &str) -> u64 {
    let word = text.split_whitespace().next().unwrap_or_default();
    word.parse().unwrap_or(0)
}
