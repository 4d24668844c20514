use comfreymast_base::Organisation;
use comfreymast_ledger::{ClaimKey, HASH_BYTES};
use hyper::HeaderMap;
use hyper::http::request::Parts;
use sha2::{Digest, Sha256};

use crate::callers::CallError;

const KEY_HEADER: &str = "idempotency-key";
const REPEATABLE_HEADER: &str = "comfreymast-repeatable";
const RETRY_HEADER: &str = "comfreymast-retry-attempt";
const MAX_KEY_BYTES: usize = 255;

/// The idempotency key of a request.
#[derive(Clone, Debug)]
pub(super) struct IdempotencyKey {
    /// The key as it is recorded in the log.
    pub(super) claim: ClaimKey,
    /// When the key was created, if it is a UUID of version 7.
    pub(super) created_unix_ms: Option<u64>,
}

impl IdempotencyKey {
    /// Parses the header; `None` if it is absent.
    pub(super) fn read(
        organisation: &Organisation,
        headers: &HeaderMap,
    ) -> Result<Option<Self>, CallError> {
        let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
        let text = value.to_str().unwrap_or_default();
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            let reason = format!("{KEY_HEADER} must be 1 to {MAX_KEY_BYTES} visible characters");
            return Err(CallError::Malformed { reason });
        }
        let claim = ClaimKey {
            organisation: organisation.clone(),
            key_hash: Sha256::digest(text.as_bytes()).into(),
        };
        Ok(Some(Self { claim, created_unix_ms: created_unix_ms(text) }))
    }
}

/// True if the caller forbids running the request twice, even where the contract allows it.
pub(super) fn forbids_repeat(headers: &HeaderMap) -> bool {
    headers.get(REPEATABLE_HEADER).is_some_and(|value| value.as_bytes() == b"false")
}

/// True if the caller marks the request as one of its own retries.
pub(super) fn is_marked_retry(headers: &HeaderMap) -> bool {
    headers.contains_key(RETRY_HEADER)
}

/// The SHA-256 hash of the method, path and body of a request.
pub(super) fn request_hash(head: &Parts, body: &[u8]) -> [u8; HASH_BYTES] {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut hasher = Sha256::new();
    // Line feeds are unambiguous separators: neither a method nor a path contains one.
    for part in [head.method.as_str().as_bytes(), b"\n", path.as_bytes(), b"\n", body] {
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// The timestamp of a UUID of version 7; `None` for any other text.
fn created_unix_ms(text: &str) -> Option<u64> {
    const VERSION_DIGIT: usize = 14;
    const DASHES: [usize; 4] = [8, 13, 18, 23];
    const UUID_CHARS: usize = 36;
    let is_uuid = text.len() == UUID_CHARS
        && text.bytes().enumerate().all(|(index, byte)| {
            if DASHES.contains(&index) { byte == b'-' } else { byte.is_ascii_hexdigit() }
        });
    if !is_uuid || text.as_bytes()[VERSION_DIGIT] != b'7' {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", &text[..8], &text[9..13]), 16).ok()
}
