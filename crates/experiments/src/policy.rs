//! The baselines and the admission of the daemon.

use comfreymast_decide::admission::AdmissionOptions;
use comfreymast_decide::routing::{Candidate, least_outstanding, round_robin, two_choices};
use rand::Rng;
use rand::rngs::SmallRng;

/// How daemons choose engines.
#[derive(Clone, Debug, PartialEq)]
pub enum Policy {
    /// The engines in turn.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastOutstanding,
    /// The better of two random engines.
    TwoChoices,
    /// Admission by expected memory; requests without room wait at the daemon.
    Admission(Box<AdmissionOptions>),
}

impl Policy {
    /// Admission with these options.
    #[must_use]
    pub fn admission(options: AdmissionOptions) -> Self {
        Self::Admission(Box::new(options))
    }

    /// The three simplest policies.
    #[must_use]
    pub fn baselines() -> Vec<Self> {
        vec![Self::RoundRobin, Self::LeastOutstanding, Self::TwoChoices]
    }

    /// Its name in tables.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastOutstanding => "least outstanding",
            Self::TwoChoices => "two choices",
            Self::Admission(_) => "admission",
        }
    }

    /// The engine that a baseline chooses; `None` for admission, which makes its own decisions.
    pub(crate) fn choose(
        &self,
        candidates: &[Candidate],
        turn: usize,
        random: &mut SmallRng,
    ) -> Option<usize> {
        match self {
            Self::RoundRobin => round_robin(candidates, turn),
            Self::LeastOutstanding => least_outstanding(candidates),
            Self::TwoChoices => {
                let count = candidates.len();
                let first = random.random_range(0..count.max(1));
                let second = random.random_range(0..count.max(1));
                two_choices(candidates, first, second)
            }
            Self::Admission(_) => None,
        }
    }
}
