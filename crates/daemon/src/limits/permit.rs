use std::sync::Arc;

use comfreymast_contract::Contract;

use super::organisation_limit::OrganisationLimit;

/// One slot of an organisation, released on drop.
#[derive(Debug)]
pub(crate) struct LimitPermit {
    limit: Arc<OrganisationLimit>,
    contract: Arc<Contract>,
}

impl LimitPermit {
    /// Creates a permit for a slot that was acquired already.
    pub(super) fn new(limit: Arc<OrganisationLimit>, contract: Arc<Contract>) -> Self {
        Self { limit, contract }
    }

    /// Charges tokens that were generated for this request.
    pub(crate) fn charge_tokens(&self, tokens: u64, now_ms: u64) {
        let limits = &self.contract.limits;
        let rate = self.limit.rate_share(limits, limits.tokens_per_s, now_ms);
        self.limit.tokens.charge(rate, tokens, now_ms);
        self.limit.token_demand.add(tokens, now_ms);
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        self.limit.share.release();
    }
}
