use comfreymast_proof::Direction;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::SoakOptions;

/// A fault injected from outside the processes, or an action of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Kills a daemon and restarts it.
    Kill { daemon: usize },
    /// Kills all daemons at the same time and restarts them.
    KillAll,
    /// Sends a daemon SIGTERM and restarts it once it has exited.
    Terminate { daemon: usize },
    /// Suspends a daemon with SIGSTOP and resumes it with SIGCONT.
    Pause { daemon: usize, for_ms: u64 },
    /// Sends a daemon SIGHUP, so that it reloads its settings.
    Reload { daemon: usize },
    /// Drops all data between a daemon and the store in one direction, on every connection.
    StoreSilent { daemon: usize, way: Direction, for_ms: u64 },
    /// Resets a daemon's open connections to the store.
    StoreReset { daemon: usize },
    /// Delays a daemon's connections to the store.
    StoreDelayed { daemon: usize, delay_ms: u64, for_ms: u64 },
    /// Injects a fault into the store, for all daemons.
    Store { trouble: StoreTrouble, for_ms: u64 },
    /// Resets an upstream's open connections.
    UpstreamReset { upstream: usize },
    /// Drops all data in one direction on an upstream's open connections; new ones work.
    UpstreamSilent { upstream: usize, way: Direction },
    /// Delays an upstream's connections.
    UpstreamDelayed { upstream: usize, delay_ms: u64, for_ms: u64 },
    /// Injects a fault into an upstream.
    Upstream { upstream: usize, trouble: UpstreamTrouble, for_ms: u64 },
    /// Replaces an upstream by a new one, with or without announcing in the store that it is
    /// leaving.
    Leave { upstream: usize, gives_notice: bool },
    /// The store is away for a moment and comes back from a copy of this age; operators and upstreams
    /// write again a little later.
    StoreReturn { copy_age_ms: u64, away_ms: u64 },
    /// Publishes a new configuration.
    Publish,
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreTrouble {
    Down,
    Hangs,
    Slow,
    ForgetsReaders,
    ForgetsHistory,
}

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamTrouble {
    Refuses,
    LosesAnswers,
    Hangs,
    Fails,
    BreaksStreams,
    HasNoRoom,
    EndsInsideEvents,
    IsUnframed,
    BreaksUnframedStreams,
}

/// A fault and its time since the start of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) at_ms: u64,
    pub(crate) fault: Fault,
}

/// Draws the fault schedule of a seed: faults of all kinds, and of how answers end.
pub(crate) fn plan_faults(options: &SoakOptions) -> Vec<PlannedFault> {
    let mut planned = plan_faults_of_all_kinds(options);
    planned.extend(plan_answer_faults(options));
    planned.extend(plan_store_returns(options));
    planned.sort_by_key(|fault| fault.at_ms);
    planned
}

/// Drawn apart, so that the other faults of a seed stay the same.
fn plan_answer_faults(options: &SoakOptions) -> Vec<PlannedFault> {
    const SEED_OFFSET: u64 = 0x616e_7377;
    const GAP_MS: std::ops::Range<u64> = 200..1_500;
    let troubles = [
        UpstreamTrouble::EndsInsideEvents,
        UpstreamTrouble::IsUnframed,
        UpstreamTrouble::BreaksUnframedStreams,
    ];
    let mut random = StdRng::seed_from_u64(options.seed ^ SEED_OFFSET);
    let mut planned = Vec::new();
    let mut at_ms = random.random_range(GAP_MS);
    while at_ms < options.duration_ms {
        let upstream = random.random_range(0..options.engines + options.plain_upstreams);
        let trouble = troubles.choose(&mut random).copied().unwrap_or(UpstreamTrouble::IsUnframed);
        let for_ms = random.random_range(200..2_000);
        planned.push(PlannedFault { at_ms, fault: Fault::Upstream { upstream, trouble, for_ms } });
        at_ms += random.random_range(GAP_MS);
    }
    planned
}

/// Drawn apart, like the faults of answers.
fn plan_store_returns(options: &SoakOptions) -> Vec<PlannedFault> {
    const SEED_OFFSET: u64 = 0x6572_6173;
    const GAP_MS: std::ops::Range<u64> = 1_500..5_000;
    let mut random = StdRng::seed_from_u64(options.seed ^ SEED_OFFSET);
    let mut planned = Vec::new();
    let mut at_ms = random.random_range(GAP_MS);
    while at_ms < options.duration_ms {
        let copy_age_ms = random.random_range(100..2_000);
        let away_ms = random.random_range(100..800);
        planned.push(PlannedFault { at_ms, fault: Fault::StoreReturn { copy_age_ms, away_ms } });
        at_ms += random.random_range(GAP_MS);
    }
    planned
}

/// Some faults repeat in quick succession, and many overlap.
fn plan_faults_of_all_kinds(options: &SoakOptions) -> Vec<PlannedFault> {
    const MAX_GAP_MS: u64 = 700;
    const SERIES_GAP_MS: u64 = 120;
    const SERIES_PROBABILITY: f64 = 0.2;
    const MAX_SERIES_LENGTH: usize = 4;
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut planned = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += random.random_range(20..MAX_GAP_MS);
        if at_ms >= options.duration_ms {
            return planned;
        }
        let fault = random_fault(options, &mut random);
        let is_series = random.random_bool(SERIES_PROBABILITY);
        let count = if is_series { random.random_range(2..=MAX_SERIES_LENGTH) } else { 1 };
        for _ in 0..count {
            planned.push(PlannedFault { at_ms, fault });
            at_ms += if is_series { random.random_range(0..SERIES_GAP_MS) } else { 0 };
        }
    }
}

fn random_fault(options: &SoakOptions, random: &mut StdRng) -> Fault {
    let daemon = random.random_range(0..options.daemons);
    let upstream = random.random_range(0..options.engines + options.plain_upstreams);
    let for_ms = random.random_range(200..3_000);
    let delay_ms = random.random_range(5..120);
    let way = if random.random_bool(0.5) { Direction::ToTarget } else { Direction::FromTarget };
    match random.random_range(0..100) {
        0..8 => Fault::Kill { daemon },
        8..9 => Fault::KillAll,
        9..17 => Fault::Terminate { daemon },
        17..24 => Fault::Pause { daemon, for_ms },
        24..30 => Fault::Reload { daemon },
        30..35 => Fault::StoreSilent { daemon, way, for_ms },
        35..39 => Fault::StoreReset { daemon },
        39..43 => Fault::StoreDelayed { daemon, delay_ms, for_ms },
        43..51 => Fault::Store { trouble: random_store_trouble(random), for_ms },
        51..56 => Fault::UpstreamReset { upstream },
        56..60 => Fault::UpstreamSilent { upstream, way },
        60..64 => Fault::UpstreamDelayed { upstream, delay_ms, for_ms },
        64..76 => Fault::Upstream { upstream, trouble: random_upstream_trouble(random), for_ms },
        76..90 => Fault::Leave { upstream, gives_notice: random.random_bool(0.7) },
        _ => Fault::Publish,
    }
}

fn random_store_trouble(random: &mut StdRng) -> StoreTrouble {
    let troubles = [
        StoreTrouble::Down,
        StoreTrouble::Hangs,
        StoreTrouble::Slow,
        StoreTrouble::ForgetsReaders,
        StoreTrouble::ForgetsHistory,
    ];
    troubles.choose(random).copied().unwrap_or(StoreTrouble::Down)
}

fn random_upstream_trouble(random: &mut StdRng) -> UpstreamTrouble {
    let troubles = [
        UpstreamTrouble::Refuses,
        UpstreamTrouble::LosesAnswers,
        UpstreamTrouble::Hangs,
        UpstreamTrouble::Fails,
        UpstreamTrouble::BreaksStreams,
        UpstreamTrouble::HasNoRoom,
    ];
    troubles.choose(random).copied().unwrap_or(UpstreamTrouble::Refuses)
}
