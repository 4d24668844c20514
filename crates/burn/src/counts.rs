use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// How many measurements there were, and how many missed their bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All measurements.
    pub total: u64,
    /// Those that missed the bound.
    pub bad: u64,
}

impl Counts {
    /// The burn rate of the error budget: 1 spends it exactly, 0 spends nothing.
    ///
    /// `None` where nothing was measured: no traffic is neither good nor bad.
    #[must_use]
    pub fn burn_rate(self, objective: f64) -> Option<f64> {
        if self.total == 0 {
            return None;
        }
        let bad_share = self.bad as f64 / self.total as f64;
        Some(bad_share / (1.0 - objective))
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
    }
}
