use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::OperationId;
use comfreymast_ledger::ClaimKey;
use comfreymast_wire::log::{ClaimEnd, ClaimOutcome, Record, record};
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use prost::Message;

use crate::daemon::Daemon;

/// Longer answers are not recorded in the log.
const MAX_RECORDED_BYTES: usize = 4_096;

/// The right to run one request.
///
/// If it is dropped without a result, it records that the request was not run if no byte can have
/// reached an upstream, and otherwise that the outcome is unknown.
#[derive(Debug)]
pub(crate) struct RunPermit {
    repeatable: bool,
    in_flight: bool,
    lost: bool,
    held: Option<HeldClaim>,
}

/// A claim that this daemon won.
#[derive(Debug)]
struct HeldClaim {
    daemon: Arc<Daemon>,
    key: ClaimKey,
    operation: OperationId,
}

impl RunPermit {
    /// A permit for a request that needs no claim.
    pub(crate) fn unclaimed(repeatable: bool) -> Self {
        Self { repeatable, in_flight: false, lost: false, held: None }
    }

    /// A permit for the claim that `operation` won.
    pub(super) fn claimed(daemon: &Arc<Daemon>, key: ClaimKey, operation: OperationId) -> Self {
        let held = HeldClaim { daemon: daemon.clone(), key, operation };
        Self { repeatable: false, in_flight: false, lost: false, held: Some(held) }
    }

    /// True if the request holds a claim in the log.
    pub(crate) fn is_claimed(&self) -> bool {
        self.held.is_some()
    }

    /// True if another attempt is allowed: the request is repeatable, or was not run.
    pub(crate) fn allows_attempt(&self) -> bool {
        self.repeatable || !self.may_have_run()
    }

    /// True if an attempt may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.in_flight || self.lost
    }

    /// Must be called before the first byte of an attempt can reach an upstream.
    pub(crate) fn mark_dispatched(&mut self) {
        self.in_flight = true;
    }

    /// Notes that the upstream refused the attempt without running it.
    pub(crate) fn mark_refused(&mut self) {
        self.in_flight = false;
    }

    /// Notes that the answer of the attempt was lost.
    pub(crate) fn mark_lost(&mut self) {
        self.in_flight = false;
        self.lost = true;
    }

    /// Records that the request was run, without its answer, which is too long to record.
    pub(crate) fn complete(&mut self) {
        if let Some(held) = self.held.take() {
            held.record(ClaimEnd::Done, None);
        }
    }

    /// Records that the request was run, with its answer.
    pub(crate) fn complete_with(&mut self, answer: &Response<Bytes>) {
        if let Some(held) = self.held.take() {
            held.record(ClaimEnd::Done, Some(answer));
        }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            let end = if self.may_have_run() { ClaimEnd::Unknown } else { ClaimEnd::NotRun };
            held.record(end, None);
        }
    }
}

impl HeldClaim {
    fn record(&self, end: ClaimEnd, answer: Option<&Response<Bytes>>) {
        let record = end_record(&self.key, self.operation, end, answer);
        self.daemon.claims.end(record);
    }
}

/// Encodes the record that ends the claim of `operation`.
pub(super) fn end_record(
    key: &ClaimKey,
    operation: OperationId,
    end: ClaimEnd,
    answer: Option<&Response<Bytes>>,
) -> Bytes {
    let answer = answer.filter(|answer| answer.body().len() <= MAX_RECORDED_BYTES);
    let content_type = answer.and_then(|answer| answer.headers().get(CONTENT_TYPE));
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let outcome = ClaimOutcome {
        organisation: key.organisation.to_string(),
        key_hash: key.key_hash.to_vec().into(),
        claim_operation_id: operation.to_vec().into(),
        end: end.into(),
        status: answer.map_or(0, |answer| u32::from(answer.status().as_u16())),
        content_type: content_type.to_owned(),
        body: answer.map(|answer| answer.body().clone()).unwrap_or_default(),
    };
    let record = Record {
        operation_id: OperationId::random().to_vec().into(),
        body: Some(record::Body::ClaimOutcome(outcome)),
    };
    Bytes::from(record.encode_to_vec())
}
