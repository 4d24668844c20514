use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use comfreymast_base::Organisation;
use comfreymast_decide::retry::{RetryBudget, RetryOptions};

/// The retry budget of each organisation that has called this daemon.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: ArcSwap<BTreeMap<Organisation, Arc<RetryBudget>>>,
}

impl RetryBudgets {
    /// The budget of one organisation, created full on first use. Only organisations with a
    /// contract get here, so the number of budgets is bounded by that of contracts.
    pub(crate) fn of(&self, organisation: &Organisation, now_ms: u64) -> Arc<RetryBudget> {
        if let Some(budget) = self.budgets.load().get(organisation) {
            return budget.clone();
        }
        let budget = Arc::new(RetryBudget::new(RetryOptions::default(), now_ms));
        self.budgets.rcu(|budgets| {
            let mut budgets = BTreeMap::clone(budgets);
            budgets.entry(organisation.clone()).or_insert_with(|| budget.clone());
            budgets
        });
        self.budgets.load().get(organisation).cloned().unwrap_or(budget)
    }
}
