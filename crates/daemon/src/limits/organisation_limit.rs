use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use comfreymast_contract::Limits as ContractLimits;
use comfreymast_decide::limits::{Demand, Rate, RateMeter, Share};
use event_listener::Event;

const BURST_MS: u64 = 1_000;
/// Factor by which the requested share of a rate exceeds its use.
const RATE_HEADROOM: f64 = 1.25;
/// Minimum time between requests to the owner, over all requests that wait for a slot.
pub(crate) const ASK_INTERVAL_MS: u64 = 20;

/// This daemon's share of one organisation's limits.
#[derive(Debug, Default)]
pub(crate) struct OrganisationLimit {
    /// The slots leased to this daemon.
    pub(crate) share: Share,
    /// Rate of requests started.
    pub(crate) requests: RateMeter,
    /// Rate of tokens generated.
    pub(crate) tokens: RateMeter,
    /// Demand for requests, including refused ones.
    pub(crate) request_demand: Demand,
    /// Demand for tokens, measured as tokens generated.
    pub(crate) token_demand: Demand,
    /// Notified at each grant.
    pub(crate) granted: Event,
    floor_slots: AtomicU32,
    asked_ms: AtomicU64,
}

impl OrganisationLimit {
    /// The number of slots that need no lease.
    pub(crate) fn floor_slots(&self) -> u32 {
        self.floor_slots.load(Ordering::Acquire)
    }

    /// Sets the number of slots that need no lease.
    pub(crate) fn set_floor_slots(&self, slots: u32) {
        self.floor_slots.store(slots, Ordering::Release);
    }

    /// Slots this daemon could use beyond the floor: for the requests in progress or waiting, or
    /// for the share of the rates that slots carry, whichever is more.
    pub(crate) fn wanted(&self, limits: &ContractLimits, now_ms: u64) -> u32 {
        let floor_slots = self.floor_slots();
        let of_requests = fraction(self.request_demand.per_s(now_ms), limits.requests_per_s.into());
        let of_tokens = fraction(self.token_demand.per_s(now_ms), limits.tokens_per_s);
        let slots = f64::from(limits.concurrent_requests);
        let for_rates = (of_requests.max(of_tokens) * RATE_HEADROOM).min(1.0) * slots;
        // The cast from float to integer saturates.
        self.share
            .slots_wanted(floor_slots, now_ms)
            .max((for_rates.ceil() as u32).saturating_sub(floor_slots))
    }

    /// True for one caller per [`ASK_INTERVAL_MS`], which asks the owner on behalf of all.
    pub(crate) fn may_ask(&self, now_ms: u64) -> bool {
        let is_due = |asked_ms: u64| (now_ms >= asked_ms + ASK_INTERVAL_MS).then_some(now_ms);
        self.asked_ms.fetch_update(Ordering::AcqRel, Ordering::Acquire, is_due).is_ok()
    }

    /// This daemon's share of a rate of the contract, in proportion to its share of the slots.
    pub(crate) fn rate_share(&self, limits: &ContractLimits, per_s: u64, now_ms: u64) -> Rate {
        let slots = self.floor_slots() + self.share.leased(now_ms);
        let fraction = f64::from(slots.max(1)) / f64::from(limits.concurrent_requests.max(1));
        Rate { per_s: per_s as f64 * fraction, burst_ms: BURST_MS }
    }
}

fn fraction(used: u64, limit: u64) -> f64 {
    used as f64 / limit.max(1) as f64
}
