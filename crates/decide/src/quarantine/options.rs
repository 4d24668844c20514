use super::SubjectKind;
use super::recent::RECENT_SUCCESS_TTL_MS;

/// When a request, or a part of prompts, is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubjectLimits {
    /// Number of deaths after which it is quarantined.
    pub deaths: u32,
    /// Number of deaths after which it is quarantined even if others shared as many of them, or if
    /// other engines died too.
    pub certain_deaths: u32,
    /// The same for one that had succeeded a short time before. A part that many requests have is in
    /// deaths that others cause.
    pub deaths_after_success: u32,
    /// How long after a success it still speaks for it.
    pub success_ttl_ms: u64,
}

/// When requests and parts of prompts are quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// For whole requests.
    pub request: SubjectLimits,
    /// For parts of prompts.
    pub part: SubjectLimits,
    /// How long a death is remembered.
    pub window_ms: u64,
    /// How long the reports of one death may take to arrive from all daemons.
    pub settle_ms: u64,
    /// A report that saw the engine alive more than this after its last death is of a new death.
    pub same_death_ms: u64,
    /// Progress since its last death that clears a request of its earlier deaths.
    pub progress_tokens: u32,
    /// If another engine dies within this time without the request, one more death is required.
    pub mass_failure_ms: u64,
    /// An engine that a daemon has known for this much less time than since a success counts as
    /// started after it, since news of a start arrive late.
    pub start_news_ms: u64,
    /// Maximum number of deaths that are remembered.
    pub max_deaths: usize,
    /// Maximum number of suspected requests and parts.
    pub max_suspects: usize,
    /// Maximum number of requests and parts over all deaths.
    pub max_subjects: usize,
}

impl Default for QuarantineOptions {
    fn default() -> Self {
        Self {
            request: SubjectLimits {
                deaths: 2,
                certain_deaths: u32::MAX,
                deaths_after_success: 2,
                success_ttl_ms: RECENT_SUCCESS_TTL_MS,
            },
            part: SubjectLimits {
                deaths: 5,
                certain_deaths: 7,
                deaths_after_success: 12,
                success_ttl_ms: 3_000,
            },
            window_ms: 600_000,
            settle_ms: 300,
            same_death_ms: 2_000,
            progress_tokens: 16,
            mass_failure_ms: 5_000,
            start_news_ms: 1_000,
            max_deaths: 1_024,
            max_suspects: 4_096,
            max_subjects: 32_768,
        }
    }
}

impl QuarantineOptions {
    /// Thresholds for requests of any kind, of which several may be equal. One more death is
    /// required than of generations, whose prompts tell them apart, and equal counts in all of them
    /// do not protect a request for ever. Upstreams may be back within a second.
    #[must_use]
    pub fn for_any_request() -> Self {
        let base = Self::default();
        let request =
            SubjectLimits { deaths: 3, certain_deaths: 4, deaths_after_success: 3, ..base.request };
        Self { request, same_death_ms: 500, ..base }
    }

    /// The limits for requests or for parts.
    #[must_use]
    pub fn limits(&self, kind: SubjectKind) -> &SubjectLimits {
        match kind {
            SubjectKind::Request => &self.request,
            SubjectKind::Part => &self.part,
        }
    }
}
