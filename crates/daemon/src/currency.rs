use std::sync::atomic::{AtomicU64, Ordering};

use comfreymast_decide::currency::CurrencyOptions;

/// Tracks the evidence that this daemon's contracts and VM list are up to date.
#[derive(Debug, Default)]
pub(crate) struct Currency {
    options: CurrencyOptions,
    contracts: EvidenceTime,
    log: EvidenceTime,
    vm_list: EvidenceTime,
}

impl Currency {
    /// Records that a read of the log which began at `at_ms` reached its end.
    pub(crate) fn record_log_read(&self, at_ms: u64) {
        self.log.advance(at_ms);
        self.contracts.advance(at_ms);
    }

    /// Records that a round trip with a peer which began at `at_ms` found no newer state, or that
    /// a read of the VM list which began then found no peer.
    pub(crate) fn record_peer_agreement(&self, at_ms: u64) {
        self.contracts.advance(at_ms);
    }

    /// Records that an attempt to read the VM list which began at `at_ms` has succeeded or failed.
    pub(crate) fn record_vm_list_attempt(&self, at_ms: u64) {
        self.vm_list.advance(at_ms);
    }

    /// True while the evidence is recent enough to serve new work.
    pub(crate) fn is_current(&self, now_ms: u64) -> bool {
        self.options.is_current(self.contracts.get(), now_ms)
            && self.options.is_current(self.vm_list.get(), now_ms)
    }

    /// Time since the log was last read to its end; `None` if it never was.
    pub(crate) fn log_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.log.get().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Age of the evidence for the contracts; `None` if there never was any.
    pub(crate) fn contracts_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.contracts.get().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// The age beyond which evidence expires.
    pub(crate) fn max_age_ms(&self) -> u64 {
        self.options.max_age_ms
    }
}

/// A monotonic time that is initially unset.
#[derive(Debug, Default)]
struct EvidenceTime {
    /// The time plus 1; 0 while unset.
    at_ms_plus_1: AtomicU64,
}

impl EvidenceTime {
    fn advance(&self, at_ms: u64) {
        self.at_ms_plus_1.fetch_max(at_ms + 1, Ordering::AcqRel);
    }

    fn get(&self) -> Option<u64> {
        self.at_ms_plus_1.load(Ordering::Acquire).checked_sub(1)
    }
}
