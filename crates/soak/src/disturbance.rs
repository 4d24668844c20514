/// Who or what a fault touches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Touched {
    /// One daemon, or its links.
    Daemon(usize),
    /// One daemon, which was told to stop.
    Stopping(usize),
    /// The store, for all daemons.
    Store,
    /// One upstream, or its links.
    Upstream(String),
}

/// A span of time in which a fault may show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Disturbance {
    pub(crate) touched: Touched,
    pub(crate) from_ms: u64,
    /// `None` while it lasts.
    pub(crate) to_ms: Option<u64>,
}

impl Disturbance {
    /// True when the span and the one from `from_ms` to `to_ms` have a moment in common.
    pub(crate) fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        self.from_ms <= to_ms && self.to_ms.is_none_or(|end_ms| end_ms >= from_ms)
    }
}
