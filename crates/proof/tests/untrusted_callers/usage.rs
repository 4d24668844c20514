//! What a process has used of its memory and descriptors.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(10);

/// Samples the open descriptors of a process until it is dropped.
pub(crate) struct Usage {
    pid: u32,
    most_descriptors: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

impl Usage {
    /// Starts to sample.
    pub(crate) fn of(pid: u32) -> Self {
        let (most_descriptors, stop) =
            (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let (most, stopped) = (most_descriptors.clone(), stop.clone());
        let sampler = std::thread::spawn(move || {
            while !stopped.load(Ordering::Acquire) {
                let open = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
                most.fetch_max(open, Ordering::AcqRel);
                std::thread::sleep(INTERVAL);
            }
        });
        Self { pid, most_descriptors, stop, sampler: Some(sampler) }
    }

    /// The most descriptors that were open at a time.
    pub(crate) fn most_descriptors(&self) -> usize {
        self.most_descriptors.load(Ordering::Acquire)
    }

    /// The most memory that the process has had, in KiB; `None` once it has ended.
    pub(crate) fn peak_memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(sampler) = self.sampler.take() {
            let _ = sampler.join();
        }
    }
}
