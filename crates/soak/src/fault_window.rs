/// What a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FaultTarget {
    /// One daemon, or its links.
    Daemon(usize),
    /// One daemon, which is shutting down after SIGTERM.
    Stopping(usize),
    /// The store, and with it all daemons.
    Store,
    /// One upstream, or its links.
    Upstream(String),
}

/// The period in which a fault may have an effect. Times are Unix milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FaultWindow {
    pub(crate) target: FaultTarget,
    pub(crate) from_ms: u64,
    /// `None` while the fault lasts.
    pub(crate) to_ms: Option<u64>,
}

impl FaultWindow {
    /// True when the window overlaps the period from `from_ms` to `to_ms`, both included.
    pub(crate) fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        self.from_ms <= to_ms && self.to_ms.is_none_or(|end_ms| end_ms >= from_ms)
    }
}
