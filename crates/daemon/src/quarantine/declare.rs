use bytes::Bytes;
use comfreymast_base::OperationId;
use comfreymast_decide::quarantine::Fingerprint;
use comfreymast_net::within;
use comfreymast_platform::LogError;
use comfreymast_wire::log::{Quarantine, Record, record};
use derive_more::{Display, Error, From};
use prost::Message;

use crate::daemon::Daemon;

/// How long to wait for an appended record to be applied to the ledger.
const APPLY_LIMIT_MS: u64 = 5_000;

/// Why a quarantine was not declared or lifted.
#[derive(Debug, Display, Error, From)]
pub(crate) enum DeclareError {
    /// The record was not appended.
    #[display("{_0}")]
    Log(LogError),
    /// The record may be in the log.
    #[display("the log does not tell whether the change took effect; try again")]
    #[from(ignore)]
    Unknown,
}

/// Quarantines a request after `deaths` engine deaths, or lifts its quarantine if that is `None`.
///
/// Idempotent: the same declaration may be appended more than once.
pub(crate) async fn declare(
    daemon: &Daemon,
    fingerprint: Fingerprint,
    deaths: Option<u32>,
) -> Result<(), DeclareError> {
    let operation = OperationId::random();
    let quarantine = Quarantine {
        fingerprint: fingerprint.to_vec().into(),
        active: deaths.is_some(),
        deaths: deaths.unwrap_or(0),
        daemon: daemon.settings.name.to_string(),
        declared_unix_ms: daemon.clock.unix_ms(),
    };
    let record = Record {
        operation_id: operation.to_vec().into(),
        body: Some(record::Body::Quarantine(quarantine)),
    };
    match daemon.log.append(vec![Bytes::from(record.encode_to_vec())]).await {
        Ok(_) | Err(LogError::OutcomeUnknown { .. } | LogError::Malformed { .. }) => {}
        Err(error) => return Err(error.into()),
    }
    let applied = daemon.ledger.wait_for(|ledger| ledger.operation(operation).map(|_| ()));
    within(APPLY_LIMIT_MS, applied).await.map_err(|_| DeclareError::Unknown)
}
