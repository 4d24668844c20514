use serde::{Deserialize, Serialize};

/// The limits of an organisation, summed over all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of requests in progress.
    pub concurrent_requests: u32,
    /// Maximum rate of started requests.
    pub requests_per_s: u32,
    /// Maximum rate of output tokens.
    pub tokens_per_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { concurrent_requests: 64, requests_per_s: 50, tokens_per_s: 20_000 }
    }
}
