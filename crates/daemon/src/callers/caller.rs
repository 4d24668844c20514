use std::sync::Arc;

use comfreymast_contract::{Contract, KeyHash};
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use super::call_error::CallError;
use crate::daemon::Daemon;
use crate::limits::{LimitPermit, acquire};

/// The caller of a request, with the contract in force when the request arrived.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// The contract of the caller's organisation.
    pub(crate) contract: Arc<Contract>,
    /// The concurrency slot that this request holds.
    pub(crate) permit: Arc<LimitPermit>,
}

impl Caller {
    /// Finds the organisation of the bearer key, and acquires one of its slots.
    pub(crate) async fn admit(
        daemon: &Arc<Daemon>,
        headers: &HeaderMap,
    ) -> Result<Self, CallError> {
        let contract = authenticate(daemon, headers)?;
        let permit = Arc::new(acquire(daemon, &contract).await?);
        Ok(Self { contract, permit })
    }
}

fn authenticate(daemon: &Daemon, headers: &HeaderMap) -> Result<Arc<Contract>, CallError> {
    let header = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let hash = KeyHash::of(key.ok_or(CallError::Unauthorized)?);
    let contracts = daemon.ledger.contracts();
    let entry = contracts.by_key(&hash).ok_or(CallError::Unauthorized)?;
    if !entry.contract.enabled {
        return Err(CallError::Disabled);
    }
    Ok(entry.contract.clone())
}
