use comfreymast_proof::Direction;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::SoakOptions;

/// One thing that goes wrong, or that operators do, from outside of all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A daemon is killed and started again.
    Kill { daemon: usize },
    /// All daemons are killed at the same moment and started again.
    KillAll,
    /// A daemon is told to stop, and started again once it has.
    Terminate { daemon: usize },
    /// A daemon stands still.
    Pause { daemon: usize, for_ms: u64 },
    /// A daemon is told that its settings changed.
    Reload { daemon: usize },
    /// A daemon's connections to the store carry nothing one way.
    StoreSilent { daemon: usize, way: Direction, for_ms: u64 },
    /// A daemon's open connections to the store are reset.
    StoreReset { daemon: usize },
    /// A daemon's connections to the store are slow.
    StoreDelayed { daemon: usize, delay_ms: u64, for_ms: u64 },
    /// The store misbehaves towards all.
    Store { trouble: StoreTrouble, for_ms: u64 },
    /// An upstream's open connections are reset.
    UpstreamReset { upstream: usize },
    /// An upstream's open connections carry nothing one way; new ones work.
    UpstreamSilent { upstream: usize, way: Direction },
    /// An upstream's connections are slow.
    UpstreamDelayed { upstream: usize, delay_ms: u64, for_ms: u64 },
    /// An upstream misbehaves.
    Upstream { upstream: usize, trouble: UpstreamTrouble, for_ms: u64 },
    /// An upstream leaves and another takes its place; some give no notice in the store.
    Leave { upstream: usize, gives_notice: bool },
    /// An operator publishes a new configuration.
    Publish,
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreTrouble {
    Down,
    Hangs,
    Slow,
    ForgetsReaders,
    ForgetsHistory,
}

/// How an upstream misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamTrouble {
    Refuses,
    LosesAnswers,
    Hangs,
    Fails,
    BreaksStreams,
    HasNoRoom,
}

/// A fault and its time from the start of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) at_ms: u64,
    pub(crate) fault: Fault,
}

/// The faults of a seed. Some come in series, and many overlap.
pub(crate) fn plan(options: &SoakOptions) -> Vec<PlannedFault> {
    const MOST_GAP_MS: u64 = 700;
    const SERIES_GAP_MS: u64 = 120;
    const SERIES_SHARE: f64 = 0.2;
    const MOST_IN_SERIES: usize = 4;
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut planned = Vec::new();
    let mut at_ms = 0;
    loop {
        at_ms += random.random_range(20..MOST_GAP_MS);
        if at_ms >= options.duration_ms {
            return planned;
        }
        let fault = draw(options, &mut random);
        let is_series = random.random_bool(SERIES_SHARE);
        let count = if is_series { random.random_range(2..=MOST_IN_SERIES) } else { 1 };
        for _ in 0..count {
            planned.push(PlannedFault { at_ms, fault });
            at_ms += if is_series { random.random_range(0..SERIES_GAP_MS) } else { 0 };
        }
    }
}

fn draw(options: &SoakOptions, random: &mut StdRng) -> Fault {
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
        43..51 => Fault::Store { trouble: draw_store_trouble(random), for_ms },
        51..56 => Fault::UpstreamReset { upstream },
        56..60 => Fault::UpstreamSilent { upstream, way },
        60..64 => Fault::UpstreamDelayed { upstream, delay_ms, for_ms },
        64..76 => Fault::Upstream { upstream, trouble: draw_trouble(random), for_ms },
        76..90 => Fault::Leave { upstream, gives_notice: random.random_bool(0.7) },
        _ => Fault::Publish,
    }
}

fn draw_store_trouble(random: &mut StdRng) -> StoreTrouble {
    let troubles = [
        StoreTrouble::Down,
        StoreTrouble::Hangs,
        StoreTrouble::Slow,
        StoreTrouble::ForgetsReaders,
        StoreTrouble::ForgetsHistory,
    ];
    troubles.choose(random).copied().unwrap_or(StoreTrouble::Down)
}

fn draw_trouble(random: &mut StdRng) -> UpstreamTrouble {
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
