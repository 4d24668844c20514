use serde::{Deserialize, Serialize};

/// What an organisation is promised for one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceLevel {
    /// The longest wait for the first token.
    pub first_token_ms: u64,
    /// The longest gap between two tokens.
    pub between_tokens_ms: u64,
    /// A wait with nothing arriving that counts as a stall.
    pub stall_ms: u64,
    /// The share of requests, from 0 to 1, that must meet each bound above.
    pub objective: f64,
    /// How long the whole answer may take; queued work past it is refused.
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
