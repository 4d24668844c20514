use std::sync::atomic::{AtomicU64, Ordering};

/// A rate with a burst allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Units per second.
    pub per_s: f64,
    /// Burst size, as the time in which the rate accumulates it. One unit is always allowed.
    pub burst_ms: u64,
}

impl Rate {
    /// The units that a duration allows, in thousandths.
    fn milli_units(self, duration_ms: u64) -> f64 {
        // Units per second times milliseconds are thousandths of a unit.
        self.per_s * duration_ms as f64
    }

    fn burst_milli_units(self) -> f64 {
        self.milli_units(self.burst_ms).max(MILLI_PER_UNIT)
    }
}

/// Meters requests or tokens against a rate that may change from call to call. Lock-free.
///
/// This is a leaky bucket: it stores the usage that has not yet drained, so an increased rate also
/// drains earlier usage faster. Tokens are charged after they were generated, since their number is
/// not known in advance.
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
    /// The time in the upper half, the usage in thousandths of a unit in the lower half.
    state: AtomicU64,
}

const MILLI_PER_UNIT: f64 = 1_000.0;
const HALF_BITS: u32 = 32;

#[derive(Clone, Copy)]
struct Usage {
    at_ms: u32,
    milli_units: u32,
}

impl Usage {
    fn unpack(state: u64) -> Self {
        Self { at_ms: (state >> HALF_BITS) as u32, milli_units: state as u32 }
    }

    fn pack(self) -> u64 {
        u64::from(self.at_ms) << HALF_BITS | u64::from(self.milli_units)
    }

    /// The usage that remains at `now_ms`.
    fn remaining_at(self, rate: Rate, now_ms: u64) -> Self {
        let at_ms = now_ms as u32;
        // Both times wrap every 49 days, so their difference must wrap too.
        let elapsed_ms = at_ms.wrapping_sub(self.at_ms);
        let drained = rate.milli_units(u64::from(elapsed_ms));
        // Less than a thousandth of a unit cannot be represented, so it accumulates until a later
        // call.
        if drained < 1.0 && self.milli_units > 0 {
            return self;
        }
        Self { at_ms, milli_units: self.milli_units.saturating_sub(drained as u32) }
    }

    fn plus(self, units: u64) -> Self {
        let milli_units = units.saturating_mul(MILLI_PER_UNIT as u64);
        Self {
            milli_units: self
                .milli_units
                .saturating_add(u32::try_from(milli_units).unwrap_or(u32::MAX)),
            ..self
        }
    }

    fn wait_ms(self, rate: Rate) -> u64 {
        let excess_milli_units = f64::from(self.milli_units) - rate.burst_milli_units();
        if excess_milli_units < 0.0 {
            return 0;
        }
        // A cast from float to integer saturates.
        ((excess_milli_units + 1.0) / rate.per_s).ceil() as u64
    }
}

impl RateMeter {
    /// Charges `units` if the burst allows it.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until it would be allowed, and charges nothing.
    pub fn try_charge(&self, rate: Rate, units: u64, now_ms: u64) -> Result<(), u64> {
        let charge = |state: u64| {
            let usage = Usage::unpack(state).remaining_at(rate, now_ms);
            (usage.wait_ms(rate) == 0).then(|| usage.plus(units).pack())
        };
        let charged = self.state.fetch_update(Ordering::AcqRel, Ordering::Acquire, charge);
        charged
            .map(|_| ())
            .map_err(|state| Usage::unpack(state).remaining_at(rate, now_ms).wait_ms(rate))
    }

    /// Charges `units` unconditionally; later calls wait until they have drained.
    pub fn charge(&self, rate: Rate, units: u64, now_ms: u64) {
        let charge =
            |state: u64| Some(Usage::unpack(state).remaining_at(rate, now_ms).plus(units).pack());
        let _ = self.state.fetch_update(Ordering::AcqRel, Ordering::Acquire, charge);
    }

    /// Milliseconds until [`RateMeter::try_charge`] would succeed; 0 if it would succeed now.
    #[must_use]
    pub fn wait_ms(&self, rate: Rate, now_ms: u64) -> u64 {
        Usage::unpack(self.state.load(Ordering::Acquire)).remaining_at(rate, now_ms).wait_ms(rate)
    }
}
