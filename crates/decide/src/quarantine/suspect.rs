use std::collections::VecDeque;

use super::death::Death;
use super::{Fingerprint, QuarantineOptions, SubjectKind};

/// How many deaths nothing else may explain before those count that something else does.
const MIN_UNEXPLAINED_DEATHS: usize = 2;

/// A request or part that was running at deaths.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// The numbers of the deaths, oldest first.
    pub(super) deaths: Vec<u64>,
    pub(super) progress_tokens: u32,
    pub(super) last_report_ms: u64,
    /// When it last ran to its end, or for a part began to be answered, without a death, as far as
    /// known.
    pub(super) succeeded_ms: Option<u64>,
}

impl Suspect {
    pub(super) fn new(progress_tokens: u32) -> Self {
        Self { deaths: Vec::new(), progress_tokens, last_report_ms: 0, succeeded_ms: None }
    }

    /// The deaths that count against it, oldest first: those that nothing else explains, and once
    /// there are some of these, the others too, as two culprits may share deaths.
    pub(super) fn counted<'a>(
        &'a self,
        fingerprint: &'a Fingerprint,
        deaths: &'a VecDeque<Death>,
    ) -> impl Iterator<Item = &'a Death> {
        let known = || self.deaths.iter().filter_map(|number| find_death(deaths, *number));
        let unexplained = known().filter(|death| death.counts_for(fingerprint)).count();
        known().filter(move |death| {
            unexplained >= MIN_UNEXPLAINED_DEATHS || death.counts_for(fingerprint)
        })
    }

    /// Evaluates the deaths that count against it.
    pub(super) fn evidence(
        &self,
        fingerprint: &Fingerprint,
        deaths: &VecDeque<Death>,
        options: &QuarantineOptions,
    ) -> Evidence {
        let limits = options.limits(SubjectKind::of(fingerprint));
        let mut evidence = Evidence {
            deaths: 0,
            required: limits.deaths,
            is_confirmed: self.succeeded_ms.is_none(),
        };
        if self.succeeded_ms.is_some() {
            evidence.required = limits.deaths_after_success;
        }
        for death in self.counted(fingerprint, deaths) {
            evidence.deaths += 1;
            evidence.is_confirmed |= self.succeeded_ms.is_some_and(|succeeded_ms| {
                death.last_report_ms > succeeded_ms.saturating_add(limits.success_ttl_ms)
                    || death.known_since_ms > succeeded_ms.saturating_add(options.start_news_ms)
            });
        }
        evidence
    }
}

/// What the deaths say against a request or part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Evidence {
    /// How many count.
    pub(super) deaths: u32,
    /// How many suffice.
    pub(super) required: u32,
    /// False while a success a short time before speaks against them: all engines that died were
    /// running already then.
    pub(super) is_confirmed: bool,
}

/// The death with a number. Numbers are consecutive.
pub(super) fn find_death(deaths: &VecDeque<Death>, number: u64) -> Option<&Death> {
    let first = deaths.front()?.number;
    deaths.get(usize::try_from(number.checked_sub(first)?).ok()?)
}
