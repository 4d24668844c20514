use std::sync::atomic::{AtomicU64, Ordering};

/// How fast something may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Units a second.
    pub per_s: f64,
    /// How far ahead of the rate a burst may run.
    pub burst_ms: u64,
}

/// Meters requests or tokens against a rate that may change from call to call. Lock-free.
///
/// It keeps the time up to which everything charged so far has been paid for (the theoretical
/// arrival time of the generic cell rate algorithm). Tokens are charged after they were made,
/// since their number is not known ahead.
///
/// ```
/// use comfreymast_decide::limits::{Rate, RateMeter};
/// let meter = RateMeter::default();
/// let rate = Rate { per_s: 1.0, burst_ms: 500 };
/// assert_eq!(meter.try_charge(rate, 1, 0), Ok(()));
/// assert_eq!(meter.try_charge(rate, 1, 0), Err(500));
/// ```
#[derive(Debug, Default)]
pub struct RateMeter {
    paid_until_us: AtomicU64,
}

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

impl RateMeter {
    /// Charges `units` if the burst allows it.
    ///
    /// # Errors
    ///
    /// The milliseconds until it would; nothing was charged.
    pub fn try_charge(&self, rate: Rate, units: u64, now_ms: u64) -> Result<(), u64> {
        let now_us = now_ms * US_PER_MS;
        let limit_us = now_us + rate.burst_ms * US_PER_MS;
        let charge = |paid_until_us: u64| {
            (paid_until_us <= limit_us)
                .then(|| paid_until_us.max(now_us).saturating_add(cost_us(rate, units)))
        };
        match self.paid_until_us.fetch_update(Ordering::AcqRel, Ordering::Acquire, charge) {
            Ok(_) => Ok(()),
            Err(paid_until_us) => Err((paid_until_us - limit_us).div_ceil(US_PER_MS)),
        }
    }

    /// Charges `units` whatever the rate; later calls wait for it.
    pub fn charge(&self, rate: Rate, units: u64, now_ms: u64) {
        let now_us = now_ms * US_PER_MS;
        let charge = |paid_until_us: u64| {
            Some(paid_until_us.max(now_us).saturating_add(cost_us(rate, units)))
        };
        let _ = self.paid_until_us.fetch_update(Ordering::AcqRel, Ordering::Acquire, charge);
    }

    /// Milliseconds until [`RateMeter::try_charge`] would succeed; 0 for now.
    #[must_use]
    pub fn wait_ms(&self, rate: Rate, now_ms: u64) -> u64 {
        let limit_us = (now_ms + rate.burst_ms) * US_PER_MS;
        let paid_until_us = self.paid_until_us.load(Ordering::Acquire);
        paid_until_us.saturating_sub(limit_us).div_ceil(US_PER_MS)
    }
}

fn cost_us(rate: Rate, units: u64) -> u64 {
    if rate.per_s <= 0.0 {
        return 0;
    }
    // Casting a float to an integer saturates.
    (units as f64 * US_PER_S / rate.per_s) as u64
}
