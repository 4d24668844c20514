use std::sync::atomic::{AtomicU64, Ordering};

use comfreymast_decide::currency::CurrencyOptions;

/// Evidence that this daemon's contracts and VM list are up to date.
#[derive(Debug, Default)]
pub(crate) struct Currency {
    options: CurrencyOptions,
    contracts: EvidenceTime,
    log: EvidenceTime,
    vm_list: EvidenceTime,
}

impl Currency {
    /// A read of the log that began at `at_ms` reached its end.
    pub(crate) fn log_read(&self, at_ms: u64) {
        self.log.advance(at_ms);
        self.contracts.advance(at_ms);
    }

    /// A round trip with a peer that began at `at_ms` found no newer state, or a read of the VM
    /// list that began then found no peer.
    pub(crate) fn peer_agreed(&self, at_ms: u64) {
        self.contracts.advance(at_ms);
    }

    /// An attempt to read the VM list that began at `at_ms` has ended, well or not.
    pub(crate) fn vm_list_tried(&self, at_ms: u64) {
        self.vm_list.advance(at_ms);
    }

    /// True while new work may be served.
    pub(crate) fn is_current(&self, now_ms: u64) -> bool {
        self.options.is_current(self.contracts.get(), now_ms)
            && self.options.is_current(self.vm_list.get(), now_ms)
    }

    /// How long ago the log was last read to its end; `None` for never.
    pub(crate) fn log_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.log.get().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// How old the evidence for the contracts is; `None` when there never was any.
    pub(crate) fn contracts_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.contracts.get().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// The age past which evidence does not count.
    pub(crate) fn max_age_ms(&self) -> u64 {
        self.options.max_age_ms
    }
}

/// A time that only advances, or never was.
#[derive(Debug, Default)]
struct EvidenceTime {
    /// One more than the time; 0 for never.
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
