use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_decide::speed::{
    SpeedEstimate, SpeedReport, USUAL_SLOWNESS, combine, is_slow, valid_slowness,
};

/// A change of this daemon's own estimate by this factor is told to peers at once.
const NOTICE_FACTOR: f64 = 1.5;

/// The speed of one start of an engine, as far as this daemon and its peers have observed it.
#[derive(Debug)]
pub(crate) struct EngineSpeed {
    observed: Mutex<Observed>,
    /// The slowness relative to the engine's service, as the bits of an `f64`.
    relative: AtomicU64,
    is_slow: AtomicBool,
}

#[derive(Debug)]
struct Observed {
    own: SpeedEstimate,
    others: Vec<SpeedReport>,
    /// This daemon's own estimate when peers were last notified of it.
    noticed: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        let observed =
            Observed { own: SpeedEstimate::default(), others: Vec::new(), noticed: USUAL_SLOWNESS };
        Self {
            observed: Mutex::new(observed),
            relative: AtomicU64::new(USUAL_SLOWNESS.to_bits()),
            is_slow: AtomicBool::new(false),
        }
    }
}

impl EngineSpeed {
    /// Records that something took `took_ms` which takes a usual engine `usual_ms`. True if peers are
    /// to be notified.
    pub(super) fn record(&self, took_ms: f64, usual_ms: f64, now_ms: u64) -> bool {
        let mut observed = self.observed();
        observed.own.record(took_ms, usual_ms, now_ms);
        let Some(report) = observed.own.report() else { return false };
        let change = report.slowness / observed.noticed;
        let is_notable = change >= NOTICE_FACTOR || change * NOTICE_FACTOR <= 1.0;
        if is_notable {
            observed.noticed = report.slowness;
        }
        is_notable
    }

    /// What this daemon has observed itself.
    pub(crate) fn own_report(&self) -> Option<SpeedReport> {
        self.observed().own.report()
    }

    /// Replaces what other daemons told. What they heard before this start of the engine was known
    /// here, at `first_seen_ms`, may be of an earlier start.
    pub(crate) fn set_others(&self, mut others: Vec<SpeedReport>, first_seen_ms: u64) {
        others.retain(|report| report.heard_ms >= first_seen_ms);
        self.observed().others = others;
    }

    /// What all daemons have observed.
    pub(super) fn combined(&self, now_ms: u64) -> Option<SpeedReport> {
        let observed = self.observed();
        let mut reports = observed.others.clone();
        reports.extend(observed.own.report());
        combine(&reports, now_ms)
    }

    /// The age of the newest observation of any daemon.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.combined(now_ms).map(|report| now_ms.saturating_sub(report.heard_ms))
    }

    /// The speed relative to the engine's service.
    pub(crate) fn speed(&self) -> f64 {
        1.0 / self.relative_slowness()
    }

    /// The slowness relative to the engine's service.
    pub(crate) fn relative_slowness(&self) -> f64 {
        let relative = f64::from_bits(self.relative.load(Ordering::Acquire));
        valid_slowness(relative).unwrap_or(USUAL_SLOWNESS)
    }

    /// True while the engine is judged slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.is_slow.load(Ordering::Acquire)
    }

    /// Sets the slowness relative to the engine's service. Returns whether the engine is slow, if
    /// that changes.
    pub(super) fn set_relative(&self, relative: f64) -> Option<bool> {
        self.relative.store(relative.to_bits(), Ordering::Release);
        let is_slow = is_slow(relative, self.is_slow());
        (self.is_slow.swap(is_slow, Ordering::AcqRel) != is_slow).then_some(is_slow)
    }

    fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
