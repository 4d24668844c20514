use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The only source of time, in milliseconds.
///
/// Cheap to clone. Clones of a manual clock share the same time.
///
/// ```
/// let clock = comfreymast_base::Clock::manual(5);
/// clock.advance_ms(10);
/// assert_eq!(clock.now_ms(), 15);
/// ```
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    System { origin: Instant },
    Manual { now_ms: Arc<AtomicU64> },
}

impl Clock {
    /// A clock that reads the system's monotonic clock, starting at zero.
    #[must_use]
    pub fn system() -> Self {
        Self { source: Source::System { origin: Instant::now() } }
    }

    /// A clock that advances only by [`Clock::advance_ms`].
    #[must_use]
    pub fn manual(now_ms: u64) -> Self {
        Self { source: Source::Manual { now_ms: Arc::new(AtomicU64::new(now_ms)) } }
    }

    /// Milliseconds since this clock's origin. Monotonic.
    pub fn now_ms(&self) -> u64 {
        match &self.source {
            Source::System { origin } => millis(origin.elapsed()),
            Source::Manual { now_ms } => now_ms.load(Ordering::Acquire),
        }
    }

    /// Milliseconds since the Unix epoch, for records that other machines read.
    ///
    /// Wall clocks of two VMs differ, so no guarantee may depend on this value.
    pub fn unix_ms(&self) -> u64 {
        match &self.source {
            Source::System { .. } => {
                millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
            }
            Source::Manual { now_ms } => now_ms.load(Ordering::Acquire),
        }
    }

    /// Advances a manual clock. Has no effect on a system clock.
    pub fn advance_ms(&self, duration_ms: u64) {
        if let Source::Manual { now_ms } = &self.source {
            now_ms.fetch_add(duration_ms, Ordering::AcqRel);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
