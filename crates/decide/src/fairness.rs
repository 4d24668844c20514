//! Fair sharing: which organisation is served next, and which had more than its share.

use std::collections::HashMap;

use comfreymast_base::Organisation;

/// How the service given to an organisation is counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairnessOptions {
    /// Time constant of the decay: after this long without service a count is down to a third.
    pub decay_ms: f64,
}

impl Default for FairnessOptions {
    fn default() -> Self {
        Self { decay_ms: 120_000.0 }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    tokens: f64,
    at_ms: u64,
}

/// The tokens that each organisation received recently, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    options: FairnessOptions,
    served: HashMap<Organisation, DecayingCount>,
}

impl FairShares {
    /// Creates counts without any service.
    #[must_use]
    pub fn new(options: FairnessOptions) -> Self {
        Self { options, served: HashMap::new() }
    }

    /// Counts tokens given to an organisation; a negative number credits what it did not use.
    pub fn charge(&mut self, organisation: &Organisation, tokens: f64, now_ms: u64) {
        let tokens = (self.served_tokens(organisation, now_ms) + tokens).max(0.0);
        self.served.insert(organisation.clone(), DecayingCount { tokens, at_ms: now_ms });
    }

    /// The decayed count of tokens that an organisation received.
    #[must_use]
    pub fn served_tokens(&self, organisation: &Organisation, now_ms: u64) -> f64 {
        self.served.get(organisation).map_or(0.0, |count| self.decayed(*count, now_ms))
    }

    /// The mean number of tokens over the organisations that were served recently.
    #[must_use]
    pub fn equal_share_tokens(&self, now_ms: u64) -> f64 {
        const ACTIVE_TOKENS: f64 = 1.0;
        let all = self.served.values().map(|count| self.decayed(*count, now_ms));
        let active: Vec<f64> = all.filter(|tokens| *tokens >= ACTIVE_TOKENS).collect();
        active.iter().sum::<f64>() / active.len().max(1) as f64
    }

    /// Removes organisations whose count has decayed to a negligible value.
    pub fn forget_idle(&mut self, now_ms: u64) {
        const FORGET_FACTOR: f64 = 10.0;
        let limit_ms = self.options.decay_ms * FORGET_FACTOR;
        self.served.retain(|_, count| (now_ms.saturating_sub(count.at_ms) as f64) < limit_ms);
    }

    fn decayed(&self, count: DecayingCount, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(count.at_ms) as f64;
        count.tokens * (-age_ms / self.options.decay_ms).exp()
    }
}
