use std::sync::Arc;

use comfreymast_contract::Contract;
use comfreymast_net::{sleep_ms, within};
use futures_lite::future;

use super::exchange::report_one;
use super::organisation_limit::{ASK_INTERVAL_MS, OrganisationLimit};
use super::permit::LimitPermit;
use crate::callers::CallError;
use crate::daemon::Daemon;

/// How long a request waits for a grant from its organisation's owner.
const GRANT_WAIT_MS: u64 = 250;
/// Retry delay sent to a caller when all slots are in use.
const SLOT_RETRY_MS: u64 = 1_000;

/// Acquires a slot for one request and charges the contract's rates.
///
/// If this daemon's share does not suffice, the owner is asked for more at once.
///
/// # Errors
///
/// [`CallError::LimitReached`]; the request was not run.
pub(crate) async fn acquire(
    daemon: &Arc<Daemon>,
    contract: &Arc<Contract>,
) -> Result<LimitPermit, CallError> {
    let limit = daemon.limits.of(&contract.organisation);
    let listed = u32::try_from(daemon.directory.load().daemons.len()).unwrap_or(u32::MAX);
    let slots = contract.limits.concurrent_requests;
    limit.set_floor_slots(daemon.limits.options.floor_slots(slots, listed));
    limit.request_demand.add(1, daemon.clock.now_ms());
    let acquisition = Acquisition { daemon, contract, limit: &limit };
    acquisition.acquire_slot().await?;
    // From here on dropping the permit releases the slot.
    let permit = LimitPermit::new(limit.clone(), contract.clone());
    acquisition.charge_rates().await?;
    Ok(permit)
}

/// A request that is acquiring its share of an organisation's limits.
struct Acquisition<'a> {
    daemon: &'a Arc<Daemon>,
    contract: &'a Contract,
    limit: &'a OrganisationLimit,
}

impl Acquisition<'_> {
    async fn acquire_slot(&self) -> Result<(), CallError> {
        if self.try_acquire_slot() {
            return Ok(());
        }
        let _waiting = self.limit.share.start_waiting();
        let refusal =
            CallError::LimitReached { limit: "concurrent_requests", retry_after_ms: SLOT_RETRY_MS };
        self.retry_until(|| self.try_acquire_slot().then_some(())).await.ok_or(refusal)
    }

    fn try_acquire_slot(&self) -> bool {
        self.limit.share.try_acquire(self.limit.floor_slots(), self.daemon.clock.now_ms())
    }

    async fn charge_rates(&self) -> Result<(), CallError> {
        match self.try_charge_rates() {
            Ok(()) => Ok(()),
            Err(_) => match self.retry_until(|| self.try_charge_rates().ok()).await {
                Some(()) => Ok(()),
                None => self.try_charge_rates(),
            },
        }
    }

    fn try_charge_rates(&self) -> Result<(), CallError> {
        let now_ms = self.daemon.clock.now_ms();
        let limits = &self.contract.limits;
        let tokens = self.limit.rate_share(limits, limits.tokens_per_s, now_ms);
        let wait_ms = self.limit.tokens.wait_ms(tokens, now_ms);
        if wait_ms > 0 {
            let limit = "tokens_per_s";
            return Err(CallError::LimitReached { limit, retry_after_ms: wait_ms });
        }
        let requests = self.limit.rate_share(limits, u64::from(limits.requests_per_s), now_ms);
        self.limit.requests.try_charge(requests, 1, now_ms).map_err(|wait_ms| {
            CallError::LimitReached { limit: "requests_per_s", retry_after_ms: wait_ms }
        })
    }

    /// Asks the owner for more until `found` returns a value, for at most [`GRANT_WAIT_MS`].
    async fn retry_until<T>(&self, found: impl Fn() -> Option<T>) -> Option<T> {
        let finding = async {
            loop {
                let granted = self.limit.granted.listen();
                if let Some(found) = found() {
                    return found;
                }
                if self.limit.may_ask(self.daemon.clock.now_ms()) {
                    report_one(self.daemon, &self.contract.organisation);
                }
                future::or(granted, sleep_ms(ASK_INTERVAL_MS)).await;
            }
        };
        within(GRANT_WAIT_MS, finding).await.ok()
    }
}
