use std::sync::Arc;

use comfreymast_contract::Contract;
use comfreymast_net::{sleep_ms, within};
use futures_lite::future;

use super::exchange::report_one;
use super::organisation_limit::{ASK_INTERVAL_MS, OrganisationLimit};
use super::permit::LimitPermit;
use crate::callers::CallError;
use crate::daemon::Daemon;

/// How long a request waits for its organisation's owner.
const GRANT_WAIT_MS: u64 = 250;
/// When to come back after the slots were all in use.
const SLOT_RETRY_MS: u64 = 1_000;

/// Takes a slot for one request and charges the contract's request rate.
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
    if !limit.share.try_acquire(limit.floor_slots(), daemon.clock.now_ms()) {
        ask_owner(daemon, contract, &limit).await?;
    }
    // From here on dropping the permit gives the slot back.
    let permit = LimitPermit::new(limit.clone(), contract.clone());
    charge_rates(daemon, contract, &limit)?;
    Ok(permit)
}

async fn ask_owner(
    daemon: &Arc<Daemon>,
    contract: &Contract,
    limit: &OrganisationLimit,
) -> Result<(), CallError> {
    let _waiting = limit.share.wait();
    let acquired = async {
        loop {
            let granted = limit.granted.listen();
            let now_ms = daemon.clock.now_ms();
            if limit.share.try_acquire(limit.floor_slots(), now_ms) {
                return;
            }
            if limit.may_ask(now_ms) {
                report_one(daemon, &contract.organisation);
            }
            future::or(granted, sleep_ms(ASK_INTERVAL_MS)).await;
        }
    };
    within(GRANT_WAIT_MS, acquired).await.map_err(|_| {
        limit.share.want_more();
        CallError::LimitReached { limit: "concurrent_requests", retry_after_ms: SLOT_RETRY_MS }
    })
}

fn charge_rates(
    daemon: &Daemon,
    contract: &Contract,
    limit: &OrganisationLimit,
) -> Result<(), CallError> {
    let now_ms = daemon.clock.now_ms();
    let limits = &contract.limits;
    let tokens = limit.part_of(limits, limits.tokens_per_s, now_ms);
    let wait_ms = limit.tokens.wait_ms(tokens, now_ms);
    if wait_ms > 0 {
        limit.share.want_more();
        return Err(CallError::LimitReached { limit: "tokens_per_s", retry_after_ms: wait_ms });
    }
    let requests = limit.part_of(limits, u64::from(limits.requests_per_s), now_ms);
    limit.requests.try_charge(requests, 1, now_ms).map_err(|wait_ms| {
        limit.share.want_more();
        CallError::LimitReached { limit: "requests_per_s", retry_after_ms: wait_ms }
    })
}
