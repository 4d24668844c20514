use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

/// Number of measurements, and how many of them missed the service level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of all measurements.
    pub total: u64,
    /// Number of measurements that missed the service level.
    pub bad: u64,
}

impl Counts {
    /// Burn rate of the error budget: 1 spends it exactly, 0 spends nothing.
    ///
    /// `None` without measurements: without traffic, a service level is neither met nor missed.
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
