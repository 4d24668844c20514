use serde::{Deserialize, Serialize};

/// How much an organisation may have at once, over all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests in progress.
    pub concurrent_requests: u32,
    /// Requests started a second.
    pub requests_per_s: u32,
    /// Output tokens a second.
    pub tokens_per_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { concurrent_requests: 64, requests_per_s: 50, tokens_per_s: 20_000 }
    }
}
