use std::sync::atomic::{AtomicU64, Ordering};

/// How fast something may go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Units a second.
    pub per_s: f64,
    /// How long the rate may be saved up for a burst. One unit is always allowed.
    pub burst_ms: u64,
}

impl Rate {
    /// What a duration allows, in thousandths of a unit.
    fn milli_units(self, duration_ms: u64) -> f64 {
        // Units a second times milliseconds are thousandths of a unit.
        self.per_s * duration_ms as f64
    }

    fn burst_milli(self) -> f64 {
        self.milli_units(self.burst_ms).max(MILLI)
    }
}

/// Meters requests or tokens against a rate that may change from call to call. Lock-free.
///
/// It keeps what was used and is not yet earned back (a leaky bucket), so a rate that rises pays
/// an old debt faster. Tokens are charged after they were made, since their number is not known
/// ahead.
///
/// ```
/// use comfreymast_decide::limits::{Rate, RateMeter};
/// let meter = RateMeter::default();
/// let rate = Rate { per_s: 1.0, burst_ms: 500 };
/// assert_eq!(meter.try_charge(rate, 1, 0), Ok(()));
/// assert!(meter.try_charge(rate, 1, 0).is_err());
/// ```
#[derive(Debug, Default)]
pub struct RateMeter {
    /// The time in the upper half, thousandths of units used in the lower.
    state: AtomicU64,
}

const MILLI: f64 = 1_000.0;
const HALF_BITS: u32 = 32;

#[derive(Clone, Copy)]
struct Used {
    at_ms: u32,
    milli: u32,
}

impl Used {
    fn unpack(state: u64) -> Self {
        Self { at_ms: (state >> HALF_BITS) as u32, milli: state as u32 }
    }

    fn pack(self) -> u64 {
        u64::from(self.at_ms) << HALF_BITS | u64::from(self.milli)
    }

    /// What is still owed at `now_ms`.
    fn at(self, rate: Rate, now_ms: u64) -> Self {
        let at_ms = now_ms as u32;
        // Wraps every 49 days, as both times do.
        let elapsed_ms = at_ms.wrapping_sub(self.at_ms);
        let earned = rate.milli_units(u64::from(elapsed_ms));
        // Less than a thousandth of a unit is left for the next call to count.
        if earned < 1.0 && self.milli > 0 {
            return self;
        }
        Self { at_ms, milli: self.milli.saturating_sub(earned as u32) }
    }

    fn plus(self, units: u64) -> Self {
        let milli = units.saturating_mul(MILLI as u64);
        Self { milli: self.milli.saturating_add(u32::try_from(milli).unwrap_or(u32::MAX)), ..self }
    }

    fn wait_ms(self, rate: Rate) -> u64 {
        let over_milli = f64::from(self.milli) - rate.burst_milli();
        if over_milli < 0.0 {
            return 0;
        }
        // Casting a float to an integer saturates.
        ((over_milli + 1.0) / rate.per_s).ceil() as u64
    }
}

impl RateMeter {
    /// Charges `units` if the burst allows it.
    ///
    /// # Errors
    ///
    /// The milliseconds until it would; nothing was charged.
    pub fn try_charge(&self, rate: Rate, units: u64, now_ms: u64) -> Result<(), u64> {
        let charge = |state: u64| {
            let used = Used::unpack(state).at(rate, now_ms);
            (used.wait_ms(rate) == 0).then(|| used.plus(units).pack())
        };
        let charged = self.state.fetch_update(Ordering::AcqRel, Ordering::Acquire, charge);
        charged.map(|_| ()).map_err(|state| Used::unpack(state).at(rate, now_ms).wait_ms(rate))
    }

    /// Charges `units` whatever the rate; later calls wait for it.
    pub fn charge(&self, rate: Rate, units: u64, now_ms: u64) {
        let charge = |state: u64| Some(Used::unpack(state).at(rate, now_ms).plus(units).pack());
        let _ = self.state.fetch_update(Ordering::AcqRel, Ordering::Acquire, charge);
    }

    /// Milliseconds until [`RateMeter::try_charge`] would succeed; 0 for now.
    #[must_use]
    pub fn wait_ms(&self, rate: Rate, now_ms: u64) -> u64 {
        Used::unpack(self.state.load(Ordering::Acquire)).at(rate, now_ms).wait_ms(rate)
    }
}
