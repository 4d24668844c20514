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

use super::claim_log::Appended;
use super::key::{IdempotencyKey, is_marked_once, is_marked_retry, request_hash};
use super::permit::{Permit, end_record};
use crate::callers::{CallError, Outcome, set_outcome};
use crate::daemon::Daemon;
use crate::events;

/// How long a claim may take to reach the log and come back.
const CLAIM_LIMIT_MS: u64 = 1_500;
/// How long a claim that came too late is looked for, to set its key free.
const RELEASE_LIMIT_MS: u64 = 60_000;
/// How long a caller waits for the answer of the attempt that holds its key.
const WINNER_LIMIT_MS: u64 = 30_000;
const WINNER_CHECK_MS: u64 = 100;
const RETRY_AFTER_MS: u64 = 1_000;
/// How far the clocks of a caller and a daemon may differ.
const CLOCK_SKEW_MS: u64 = 60_000;
/// A claim is not used any more when its daemon was paused for this long.
const HOLD_LIMIT_MS: u64 = 10_000;
const REPLAYED_HEADER: &str = "comfreymast-replayed";

/// What a caller asked for, as far as claims go.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    key: Option<IdempotencyKey>,
    request_hash: [u8; HASH_BYTES],
    /// True when a second run does no harm.
    pub(crate) repeatable: bool,
    /// True when the caller retries by itself, so that the daemon must not.
    pub(crate) is_retry: bool,
}

impl Asked {
    /// Reads the caller's word on repeating. `repeatable` is the contract's.
    pub(crate) fn read(
        organisation: &Organisation,
        head: &Parts,
        body: &[u8],
        repeatable: bool,
    ) -> Result<Self, CallError> {
        Ok(Self {
            key: IdempotencyKey::read(organisation, &head.headers)?,
            request_hash: request_hash(head, body),
            repeatable: repeatable && !is_marked_once(&head.headers),
            is_retry: is_marked_retry(&head.headers),
        })
    }
}

/// What is to be done with a request.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Run it.
    Run(Permit),
    /// Answer with what an earlier attempt with the same key was answered.
    Replay(Response<Body>),
}

/// What became of a claim.
enum Claimed {
    Won,
    /// Another claim was there before.
    Lost,
}

/// Claims the key of a non-repeatable request, or finds the answer of the claim that has it.
///
/// A request without a key, and a repeatable one, needs no claim.
pub(crate) async fn admit(daemon: &Arc<Daemon>, asked: &Asked) -> Result<Admission, CallError> {
    let Some(key) = asked.key.as_ref().filter(|_| !asked.repeatable) else {
        return Ok(Admission::Run(Permit::unclaimed(asked.repeatable)));
    };
    loop {
        if let Some(entry) = holder(daemon, &key.claim) {
            if entry.request_hash != asked.request_hash {
                return Err(CallError::KeyReused);
            }
            match winner_end(daemon, &key.claim, entry).await? {
                ClaimResult::Done(Some(answer)) => return Ok(Admission::Replay(replay(&answer))),
                ClaimResult::Done(None) => return Err(CallError::AnswerNotKept),
                ClaimResult::Unknown => return Err(CallError::OutcomeUnknown),
                ClaimResult::NotRun => {}
            }
        }
        check_age(daemon, key)?;
        let began_ms = daemon.clock.now_ms();
        let operation = OperationId::random();
        if let Claimed::Won = claim(daemon, &key.claim, operation, asked).await? {
            let permit = Permit::claimed(daemon, key.claim.clone(), operation);
            // Dropping the permit on these ways out sets the key free.
            check_age(daemon, key)?;
            if daemon.clock.now_ms() - began_ms > HOLD_LIMIT_MS {
                return Err(CallError::LogUnavailable { retry_after_ms: RETRY_AFTER_MS });
            }
            return Ok(Admission::Run(permit));
        }
    }
}

/// The claim that holds a key now.
fn holder(daemon: &Daemon, key: &ClaimKey) -> Option<ClaimEntry> {
    let ledger = daemon.ledger.ledger();
    let entry = ledger.claims().get(key)?;
    (entry.end != Some(ClaimResult::NotRun)).then(|| entry.clone())
}

/// Refuses a key that may belong to a claim which was forgotten for its age.
fn check_age(daemon: &Daemon, key: &IdempotencyKey) -> Result<(), CallError> {
    let forgotten_unix_ms =
        daemon.ledger.ledger().claims().evicted_unix_ms(key.claim.organisation.as_str());
    match key.drawn_unix_ms {
        Some(drawn_unix_ms)
            if forgotten_unix_ms > 0 && drawn_unix_ms <= forgotten_unix_ms + CLOCK_SKEW_MS =>
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
    asked: &Asked,
) -> Result<Claimed, CallError> {
    const REFUSED: CallError = CallError::LogUnavailable { retry_after_ms: RETRY_AFTER_MS };
    if daemon.claims.is_stalled(daemon.clock.now_ms()) {
        return Err(REFUSED);
    }
    let unresolved = Unresolved::new(daemon, key, operation);
    let appended = daemon.claims.claim(claim_record(daemon, key, operation, asked));
    // The ledger may show the claim before the reply of its append, and also if that is lost.
    let never = async {
        match appended.recv().await {
            Ok(Appended::Perhaps) => future::pending().await,
            Ok(Appended::Never) | Err(_) => None,
        }
    };
    let applied =
        async { Some(daemon.ledger.wait_for(|ledger| applied_claim(ledger, operation)).await) };
    match within(CLAIM_LIMIT_MS, future::or(applied, never)).await {
        Ok(Some(claimed)) => {
            unresolved.resolved();
            Ok(claimed)
        }
        Ok(None) => {
            unresolved.resolved();
            Err(REFUSED)
        }
        Err(_) => {
            events::CLAIM_UNRESOLVED.log(format_args!("operation {operation}"));
            Err(REFUSED)
        }
    }
}

fn applied_claim(ledger: &Ledger, operation: OperationId) -> Option<Claimed> {
    match ledger.operation(operation)?.applied {
        Applied::Claim { won: true } => Some(Claimed::Won),
        _ => Some(Claimed::Lost),
    }
}

fn claim_record(daemon: &Daemon, key: &ClaimKey, operation: OperationId, asked: &Asked) -> Bytes {
    let claim = Claim {
        organisation: key.organisation.to_string(),
        key_hash: key.key_hash.to_vec().into(),
        request_hash: asked.request_hash.to_vec().into(),
        daemon: daemon.settings.name.to_string(),
        incarnation: daemon.peers.incarnation,
        claimed_unix_ms: daemon.clock.unix_ms(),
    };
    let record =
        Record { operation_id: operation.to_vec().into(), body: Some(record::Body::Claim(claim)) };
    Bytes::from(record.encode_to_vec())
}

/// A claim whose place on the log is not known. Dropped so, its key is set free once the claim
/// shows up, because nothing was or will be run under it.
struct Unresolved {
    daemon: Arc<Daemon>,
    key: ClaimKey,
    operation: Option<OperationId>,
}

impl Unresolved {
    fn new(daemon: &Arc<Daemon>, key: &ClaimKey, operation: OperationId) -> Self {
        Self { daemon: daemon.clone(), key: key.clone(), operation: Some(operation) }
    }

    fn resolved(mut self) {
        self.operation = None;
    }
}

impl Drop for Unresolved {
    fn drop(&mut self) {
        let Some(operation) = self.operation else { return };
        let daemon = self.daemon.clone();
        let key = self.key.clone();
        self.daemon.spawner.detach(async move {
            let applied = daemon.ledger.wait_for(|ledger| applied_claim(ledger, operation));
            if let Ok(Claimed::Won) = within(RELEASE_LIMIT_MS, applied).await {
                daemon.claims.end(end_record(&key, operation, ClaimEnd::NotRun, None));
            }
        });
    }
}

/// Waits until the claim that holds the key has ended.
async fn winner_end(
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
            // It was set free, and another has the key now.
            Some(_) => Some(ClaimResult::NotRun),
            // It was forgotten for its age before it ended.
            None => Some(ClaimResult::Unknown),
        }
    });
    let lost = async {
        while holder_lives(daemon, &winner) {
            sleep_ms(WINNER_CHECK_MS).await;
        }
    };
    let ended = async { Some(ended.await) };
    let lost = async {
        lost.await;
        None
    };
    match within(WINNER_LIMIT_MS, future::or(ended, lost)).await {
        Ok(Some(end)) => Ok(end),
        Ok(None) | Err(_) => Err(CallError::ClaimUnknown { retry_after_ms: RETRY_AFTER_MS }),
    }
}

/// True while the daemon that holds a claim may still say how the request ended.
fn holder_lives(daemon: &Daemon, winner: &ClaimEntry) -> bool {
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
