use std::fs;

use crate::failure::Failure;

/// What a process of ours has used, as the kernel counts it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor time of all threads.
    pub(crate) cpu_us: u64,
    /// Resident memory.
    pub(crate) resident_bytes: u64,
}

impl Usage {
    /// Reads the counts of a process.
    pub(crate) fn of(process_id: u32) -> Result<Self, Failure> {
        let mut usage = Self::default();
        for thread in fs::read_dir(format!("/proc/{process_id}/task"))? {
            let path = thread?.path().join("schedstat");
            // A thread may end while its siblings are read.
            let counts = fs::read_to_string(path).unwrap_or_default();
            let cpu_ns: u64 = first_number(&counts);
            usage.cpu_us += cpu_ns / 1_000;
        }
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
