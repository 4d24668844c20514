use serde::{Deserialize, Serialize};

/// The service level objective of one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceLevel {
    /// Maximum time to the first token.
    pub first_token_ms: u64,
    /// Maximum gap between two tokens.
    pub between_tokens_ms: u64,
    /// Time without any output that counts as a stall.
    pub stall_ms: u64,
    /// The fraction of requests, from 0 to 1, that must meet each bound above.
    pub objective: f64,
    /// Maximum time for the whole answer; queued work past its deadline is refused.
    pub deadline_ms: u64,
}

impl Default for ServiceLevel {
    fn default() -> Self {
        Self {
            first_token_ms: 560,
            between_tokens_ms: 57,
            stall_ms: 1_000,
            objective: 0.95,
            deadline_ms: 600_000,
        }
    }
}
