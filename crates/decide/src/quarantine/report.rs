use comfreymast_base::Upstream;

use super::RequestContent;

/// Identifies a request by its content, with a SHA-256 hash, or a part of prompts.
pub type Fingerprint = [u8; 32];

/// A report of a request that was running on an engine when the engine died.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeathReport {
    /// The request. Its parts are left out once the engine had begun to answer it and lived on.
    pub content: RequestContent,
    /// The engine that died.
    pub upstream: Upstream,
    /// Number of tokens of the answer that had been generated.
    pub progress_tokens: u32,
    /// When the reporting daemon last received something from the engine, on this table's clock.
    pub last_alive_ms: u64,
    /// Since when the reporting daemon knew this start of the engine, on this table's clock. `None`
    /// if that is not known, which counts as later than any success.
    pub known_since_ms: Option<u64>,
}
