use comfreymast_contract::ServiceLevel;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Service-level indicator that is measured for each kind of work.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Indicator {
    /// Time to the first token; one measurement for each request that produced a token.
    #[display("first_token")]
    FirstToken,
    /// Time between successive tokens; one measurement for each pair.
    #[display("between_tokens")]
    BetweenTokens,
    /// Whether the reader waited longer than the stall bound; one measurement for each request that
    /// ran.
    #[display("stall")]
    Stall,
    /// Whether an accepted request got its complete answer; one measurement for each accepted
    /// request.
    #[display("whole")]
    Whole,
    /// Whether a request that the contract allows was refused; one measurement for each request.
    #[display("refused")]
    Refused,
}

impl Indicator {
    /// Every indicator, in the order of a report.
    pub const ALL: [Self; 5] =
        [Self::FirstToken, Self::BetweenTokens, Self::Stall, Self::Whole, Self::Refused];

    /// The bound that the contract sets, in milliseconds; `None` for an indicator without one.
    #[must_use]
    pub fn bound_ms(self, level: &ServiceLevel) -> Option<u64> {
        match self {
            Self::FirstToken => Some(level.first_token_ms),
            Self::BetweenTokens => Some(level.between_tokens_ms),
            Self::Stall => Some(level.stall_ms),
            Self::Whole | Self::Refused => None,
        }
    }

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
