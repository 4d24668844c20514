use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::{OperationId, Organisation};
use comfreymast_ledger::{
    Applied, ClaimEntry, ClaimKey, ClaimResult, HASH_BYTES, Ledger, RecordedResponse,
};
use comfreymast_net::{Body, full, sleep_ms, within};
use comfreymast_wire::log::{Claim, ClaimEnd, Record, record};
use futures_lite::future;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use prost::Message;

use super::claim_log::AppendStatus;
use super::key::{IdempotencyKey, forbids_repeat, is_marked_retry, request_hash};
use super::permit::{RunPermit, end_record};
use crate::callers::{CallError, Outcome, set_outcome};
use crate::daemon::Daemon;
use crate::events;

/// How long to wait for a claim to be appended to the log and applied to the ledger.
const CLAIM_LIMIT_MS: u64 = 1_500;
/// How long to watch for a claim that missed its time limit, to release its key.
const RELEASE_LIMIT_MS: u64 = 60_000;
/// How long a caller waits for the result of the attempt that holds its key.
const WINNER_LIMIT_MS: u64 = 30_000;
const WINNER_CHECK_MS: u64 = 100;
const RETRY_AFTER_MS: u64 = 1_000;
/// The largest expected difference between the clocks of a caller and a daemon.
const CLOCK_SKEW_MS: u64 = 60_000;
/// A claim that took longer than this to win is released unused: the daemon was paused meanwhile.
const HOLD_LIMIT_MS: u64 = 10_000;
const REPLAYED_HEADER: &str = "comfreymast-replayed";

/// Whether and how a request may be run again.
#[derive(Clone, Debug)]
pub(crate) struct RepeatPolicy {
    key: Option<IdempotencyKey>,
    request_hash: [u8; HASH_BYTES],
    /// True if the request may safely be run more than once.
    pub(crate) repeatable: bool,
    /// True if the caller retries by itself, so that the daemon must not.
    pub(crate) is_retry: bool,
}

impl RepeatPolicy {
    /// Reads the headers of a request. `repeatable` is the setting of its contract.
    pub(crate) fn read(
        organisation: &Organisation,
        head: &Parts,
        body: &[u8],
        repeatable: bool,
    ) -> Result<Self, CallError> {
        Ok(Self {
            key: IdempotencyKey::read(organisation, &head.headers)?,
            request_hash: request_hash(head, body),
            repeatable: repeatable && !forbids_repeat(&head.headers),
            is_retry: is_marked_retry(&head.headers),
        })
    }
}

/// How to handle a request.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Run the request.
    Run(RunPermit),
    /// Repeat the answer of an earlier attempt with the same key.
    Replay(Response<Body>),
}

/// The result of a claim.
enum ClaimStatus {
    Won,
    /// An earlier claim holds the key.
    Lost,
}

/// Claims the key of a non-repeatable request, or returns the answer of the claim that holds it.
///
/// Repeatable requests and requests without a key need no claim.
pub(crate) async fn admit(
    daemon: &Arc<Daemon>,
    policy: &RepeatPolicy,
) -> Result<Admission, CallError> {
    let Some(key) = policy.key.as_ref().filter(|_| !policy.repeatable) else {
        return Ok(Admission::Run(RunPermit::unclaimed(policy.repeatable)));
    };
    loop {
        if let Some(entry) = current_claim(daemon, &key.claim) {
            if entry.request_hash != policy.request_hash {
                return Err(CallError::KeyReused);
            }
            match wait_for_result(daemon, &key.claim, entry).await? {
                ClaimResult::Done(Some(answer)) => return Ok(Admission::Replay(replay(&answer))),
                ClaimResult::Done(None) => return Err(CallError::AnswerNotKept),
                ClaimResult::Unknown => return Err(CallError::OutcomeUnknown),
                ClaimResult::NotRun => {}
            }
        }
        check_age(daemon, key)?;
        let began_ms = daemon.clock.now_ms();
        let operation = OperationId::random();
        if let ClaimStatus::Won = claim(daemon, &key.claim, operation, policy).await? {
            let permit = RunPermit::claimed(daemon, key.claim.clone(), operation);
            // Returning early drops the permit, which releases the key.
            check_age(daemon, key)?;
            if daemon.clock.now_ms() - began_ms > HOLD_LIMIT_MS {
                return Err(CallError::LogUnavailable { retry_after_ms: RETRY_AFTER_MS });
            }
            return Ok(Admission::Run(permit));
        }
    }
}

/// The claim that currently holds a key.
fn current_claim(daemon: &Daemon, key: &ClaimKey) -> Option<ClaimEntry> {
    let ledger = daemon.ledger.ledger();
    let entry = ledger.claims().get(key)?;
    (entry.end != Some(ClaimResult::NotRun)).then(|| entry.clone())
}

/// Refuses a key that may belong to a claim already evicted for its age.
fn check_age(daemon: &Daemon, key: &IdempotencyKey) -> Result<(), CallError> {
    let evicted_unix_ms =
        daemon.ledger.ledger().claims().evicted_unix_ms(key.claim.organisation.as_str());
    match key.created_unix_ms {
        Some(created_unix_ms)
            if evicted_unix_ms > 0 && created_unix_ms <= evicted_unix_ms + CLOCK_SKEW_MS =>
        {
            Err(CallError::KeyExpired)
        }
        _ => Ok(()),
    }
}

async fn claim(
    daemon: &Arc<Daemon>,
    key: &ClaimKey,
    operation: OperationId,
    policy: &RepeatPolicy,
) -> Result<ClaimStatus, CallError> {
    const REFUSED: CallError = CallError::LogUnavailable { retry_after_ms: RETRY_AFTER_MS };
    if daemon.claims.is_stalled(daemon.clock.now_ms()) {
        return Err(REFUSED);
    }
    let unresolved = UnresolvedClaim::new(daemon, key, operation);
    let appended = daemon.claims.claim(claim_record(daemon, key, operation, policy));
    // The ledger may show the claim before the append returns, and even if its reply is lost.
    let not_appended = async {
        match appended.recv().await {
            Ok(AppendStatus::MaybeAppended) => future::pending().await,
            Ok(AppendStatus::NotAppended) | Err(_) => None,
        }
    };
    let applied =
        async { Some(daemon.ledger.wait_for(|ledger| applied_claim(ledger, operation)).await) };
    match within(CLAIM_LIMIT_MS, future::or(applied, not_appended)).await {
        Ok(Some(claimed)) => {
            unresolved.mark_resolved();
            Ok(claimed)
        }
        Ok(None) => {
            unresolved.mark_resolved();
            Err(REFUSED)
        }
        Err(_) => {
            events::CLAIM_UNRESOLVED.log(format_args!("operation {operation}"));
            Err(REFUSED)
        }
    }
}

fn applied_claim(ledger: &Ledger, operation: OperationId) -> Option<ClaimStatus> {
    match ledger.operation(operation)?.applied {
        Applied::Claim { won: true } => Some(ClaimStatus::Won),
        _ => Some(ClaimStatus::Lost),
    }
}

fn claim_record(
    daemon: &Daemon,
    key: &ClaimKey,
    operation: OperationId,
    policy: &RepeatPolicy,
) -> Bytes {
    let claim = Claim {
        organisation: key.organisation.to_string(),
        key_hash: key.key_hash.to_vec().into(),
        request_hash: policy.request_hash.to_vec().into(),
        daemon: daemon.settings.name.to_string(),
        incarnation: daemon.peers.incarnation,
        claimed_unix_ms: daemon.clock.unix_ms(),
    };
    let record =
        Record { operation_id: operation.to_vec().into(), body: Some(record::Body::Claim(claim)) };
    Bytes::from(record.encode_to_vec())
}

/// A claim that may or may not be in the log. If it is dropped unresolved, its key is released once
/// the claim is applied, because nothing was or will be run under it.
struct UnresolvedClaim {
    daemon: Arc<Daemon>,
    key: ClaimKey,
    operation: Option<OperationId>,
}

impl UnresolvedClaim {
    fn new(daemon: &Arc<Daemon>, key: &ClaimKey, operation: OperationId) -> Self {
        Self { daemon: daemon.clone(), key: key.clone(), operation: Some(operation) }
    }

    fn mark_resolved(mut self) {
        self.operation = None;
    }
}

impl Drop for UnresolvedClaim {
    fn drop(&mut self) {
        let Some(operation) = self.operation else { return };
        let daemon = self.daemon.clone();
        let key = self.key.clone();
        self.daemon.spawner.detach(async move {
            let applied = daemon.ledger.wait_for(|ledger| applied_claim(ledger, operation));
            if let Ok(ClaimStatus::Won) = within(RELEASE_LIMIT_MS, applied).await {
                daemon.claims.end(end_record(&key, operation, ClaimEnd::NotRun, None));
            }
        });
    }
}

/// Waits until the claim that holds the key has a result.
async fn wait_for_result(
    daemon: &Daemon,
    key: &ClaimKey,
    winner: ClaimEntry,
) -> Result<ClaimResult, CallError> {
    if let Some(end) = winner.end {
        return Ok(end);
    }
    let ended = daemon.ledger.wait_for(|ledger| {
        match ledger.claims().get(key) {
            Some(entry) if entry.operation == winner.operation => entry.end.clone(),
            // The key was released, and another claim holds it now.
            Some(_) => Some(ClaimResult::NotRun),
            // The claim was evicted for its age before it ended.
            None => Some(ClaimResult::Unknown),
        }
    });
    let holder_lost = async {
        while is_holder_alive(daemon, &winner) {
            sleep_ms(WINNER_CHECK_MS).await;
        }
    };
    let ended = async { Some(ended.await) };
    let holder_lost = async {
        holder_lost.await;
        None
    };
    match within(WINNER_LIMIT_MS, future::or(ended, holder_lost)).await {
        Ok(Some(end)) => Ok(end),
        Ok(None) | Err(_) => Err(CallError::ClaimUnknown { retry_after_ms: RETRY_AFTER_MS }),
    }
}

/// True while the daemon that holds a claim may still record how the request ended.
fn is_holder_alive(daemon: &Daemon, winner: &ClaimEntry) -> bool {
    if winner.daemon == daemon.settings.name {
        return winner.incarnation == daemon.peers.incarnation;
    }
    let now_ms = daemon.clock.now_ms();
    let table = daemon.peers.table();
    let peer = table.live(&winner.daemon, now_ms);
    peer.is_some_and(|peer| peer.incarnation == winner.incarnation)
}

fn replay(answer: &RecordedResponse) -> Response<Body> {
    let mut response = Response::new(full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type)
        && !answer.content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, content_type);
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    set_outcome(&mut response, Outcome::Done);
    response
}
