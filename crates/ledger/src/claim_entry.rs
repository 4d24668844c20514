use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::{DaemonName, OperationId, Organisation};

/// Bytes of a SHA-256 hash.
pub const HASH_BYTES: usize = 32;

/// The key of a claim: one idempotency key of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey {
    /// The organisation that uses the key.
    pub organisation: Organisation,
    /// SHA-256 of the idempotency key.
    pub key_hash: [u8; HASH_BYTES],
}

/// The claim that won a key.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimEntry {
    /// The operation that appended it.
    pub operation: OperationId,
    /// The log offset of its record.
    pub offset: u64,
    /// SHA-256 of the claimed request.
    pub request_hash: [u8; HASH_BYTES],
    /// The daemon that made the claim.
    pub daemon: DaemonName,
    /// The incarnation of that daemon when it made the claim.
    pub incarnation: u64,
    /// When it was made, by that daemon's clock.
    pub claimed_unix_ms: u64,
    /// How the request ended; `None` until its daemon has recorded it.
    pub end: Option<ClaimResult>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// It was run. The response is `None` where it was too long to keep or has been dropped.
    Done(Option<Arc<RecordedResponse>>),
    /// It was not run, so the key may be claimed again.
    NotRun,
    /// It may have been run; the outcome can no longer be determined.
    Unknown,
}

/// The recorded response to a request that was run.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type; empty when there was none.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Bytes,
}
