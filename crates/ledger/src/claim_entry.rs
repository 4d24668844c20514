use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::{DaemonName, OperationId, Organisation};

/// Bytes of a SHA-256 hash.
pub const HASH_BYTES: usize = 32;

/// What a claim is about: one idempotency key of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey {
    /// Whose key.
    pub organisation: Organisation,
    /// SHA-256 of the idempotency key.
    pub key_hash: [u8; HASH_BYTES],
}

/// The claim that won a key.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimEntry {
    /// The operation that appended it.
    pub operation: OperationId,
    /// Where it is on the log.
    pub offset: u64,
    /// SHA-256 of the request it was made for.
    pub request_hash: [u8; HASH_BYTES],
    /// The daemon that holds it.
    pub daemon: DaemonName,
    /// The run of that daemon.
    pub incarnation: u64,
    /// When it was made, by that daemon's clock.
    pub claimed_unix_ms: u64,
    /// How the request ended; `None` until its holder has said so.
    pub end: Option<ClaimResult>,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// It was run. The answer is `None` where it was too long to keep.
    Done(Option<Arc<ClaimAnswer>>),
    /// It was not run: the key is free again.
    NotRun,
    /// It may have been run, and nobody will ever know.
    Unknown,
}

/// The recorded answer of a request that was run.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type; empty where there was none.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Bytes,
}
