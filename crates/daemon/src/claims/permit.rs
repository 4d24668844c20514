use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::OperationId;
use comfreymast_ledger::ClaimKey;
use comfreymast_wire::log::{ClaimEnd, ClaimOutcome, Record, record};
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use prost::Message;

use crate::daemon::Daemon;

/// A longer answer is not recorded.
const MAX_RECORDED_BYTES: usize = 4_096;

/// The right to run one request.
///
/// Dropping it without a word tells the log the worst that may have happened: nothing, if no byte
/// can have reached an upstream, else that the outcome is unknown.
#[derive(Debug)]
pub(crate) struct Permit {
    repeatable: bool,
    in_flight: bool,
    lost: bool,
    held: Option<Held>,
}

/// A claim that was won.
#[derive(Debug)]
struct Held {
    daemon: Arc<Daemon>,
    key: ClaimKey,
    operation: OperationId,
}

impl Permit {
    /// For a request that needs no claim.
    pub(crate) fn unclaimed(repeatable: bool) -> Self {
        Self { repeatable, in_flight: false, lost: false, held: None }
    }

    /// For the claim that `operation` won.
    pub(super) fn claimed(daemon: &Arc<Daemon>, key: ClaimKey, operation: OperationId) -> Self {
        let held = Held { daemon: daemon.clone(), key, operation };
        Self { repeatable: false, in_flight: false, lost: false, held: Some(held) }
    }

    /// True when the request holds a claim on the log.
    pub(crate) fn is_claimed(&self) -> bool {
        self.held.is_some()
    }

    /// True when another attempt is allowed: the request may be repeated, or was not run.
    pub(crate) fn allows_attempt(&self) -> bool {
        self.repeatable || !self.may_have_run()
    }

    /// True when an attempt may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.in_flight || self.lost
    }

    /// Call this before the first byte of an attempt can reach an upstream.
    pub(crate) fn dispatching(&mut self) {
        self.in_flight = true;
    }

    /// The upstream refused the attempt before it ran.
    pub(crate) fn refused(&mut self) {
        self.in_flight = false;
    }

    /// The answer of the attempt is lost.
    pub(crate) fn lost(&mut self) {
        self.in_flight = false;
        self.lost = true;
    }

    /// The request was run, and its answer is too long to record.
    pub(crate) fn done(&mut self) {
        if let Some(held) = self.held.take() {
            held.record(ClaimEnd::Done, None);
        }
    }

    /// The request was run, and this is its answer.
    pub(crate) fn answered(&mut self, answer: &Response<Bytes>) {
        if let Some(held) = self.held.take() {
            held.record(ClaimEnd::Done, Some(answer));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            let end = if self.may_have_run() { ClaimEnd::Unknown } else { ClaimEnd::NotRun };
            held.record(end, None);
        }
    }
}

impl Held {
    fn record(&self, end: ClaimEnd, answer: Option<&Response<Bytes>>) {
        let record = end_record(&self.key, self.operation, end, answer);
        self.daemon.claims.end(record);
    }
}

/// The record that ends the claim of `operation`.
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
