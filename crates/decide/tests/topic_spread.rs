//! A model in virtual time of a long topic that spreads among daemons with slow links.
//!
//! It plays the way of incident 018 too: fetches that are given up after a time limit and begun anew beside each
//! other, all from the same few.

use comfreymast_base::StorePosition;
use comfreymast_decide::topic_source::{SourceView, choose_source};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What is left of a link of 10 Mbit/s beside callers.
const LINK_BYTES_PER_MS: f64 = 1_250.0 * 0.7;
const DAEMONS_PER_DATA_CENTRE: usize = 17;
const LIMIT_MS: u64 = 12_000;
/// A document of some 4,200 routes, and the same compressed.
const TOPIC_BYTES: f64 = 900_000.0;
const COMPRESSED_BYTES: f64 = 75_000.0;
const OLD: StorePosition = StorePosition { era: 0, offset: 1 };
const NEW: StorePosition = StorePosition { era: 0, offset: 2 };

/// How daemons catch up.
#[derive(Clone, Copy)]
struct Way {
    topic_bytes: f64,
    /// How many fetches of a daemon run beside each other.
    beside_each_other: usize,
    /// When a fetch is given up, whatever has arrived.
    fetch_limit_ms: u64,
    /// The pause before the next fetch.
    pause_ms: u64,
    /// How many peers a daemon serves at a time.
    max_served: usize,
    /// The share of its link that it serves them at.
    link_share: f64,
}

const ONE_AT_A_TIME: Way = Way {
    topic_bytes: COMPRESSED_BYTES,
    beside_each_other: 1,
    fetch_limit_ms: u64::MAX,
    pause_ms: 60,
    max_served: 3,
    link_share: 0.5,
};
const GIVEN_UP_AND_BEGUN_ANEW: Way = Way {
    topic_bytes: TOPIC_BYTES,
    beside_each_other: 4,
    fetch_limit_ms: 1_500,
    pause_ms: 460,
    max_served: usize::MAX,
    link_share: 1.0,
};

#[derive(Clone, Copy)]
struct Transfer {
    source: usize,
    target: usize,
    left_bytes: f64,
    until_ms: u64,
}

/// What came of one change.
#[derive(Debug, Default)]
struct Spread {
    /// When each daemon had it, in order; those that never had it are missing.
    caught_up_ms: Vec<u64>,
    /// Whole topics that were asked for, without those that were refused at once.
    fetches: usize,
}

/// Spreads one change among the daemons of one data centre, the first of which reads the store.
fn spread(way: &Way, seed: u64) -> Spread {
    const NOTICE_MS: u64 = 40;
    const TOLERANCE_MS: u64 = 60;
    const HEARTBEAT_MS: u64 = 150;
    let mut random = SmallRng::seed_from_u64(seed);
    let count = DAEMONS_PER_DATA_CENTRE;
    // When others know that a daemon has it.
    let mut known_ms = vec![u64::MAX; count];
    known_ms[0] = NOTICE_MS;
    let mut next_ms: Vec<u64> = Vec::new();
    for _ in 0..count {
        next_ms.push(NOTICE_MS + TOLERANCE_MS + random.random_range(0..HEARTBEAT_MS));
    }
    let mut transfers: Vec<Transfer> = Vec::new();
    let mut outcome = Spread { caught_up_ms: vec![0], fetches: 0 };
    for now_ms in 0..LIMIT_MS {
        for target in 1..count {
            let running = transfers.iter().filter(|transfer| transfer.target == target).count();
            let has_it = known_ms[target] != u64::MAX;
            if has_it || now_ms < next_ms[target] || running >= way.beside_each_other {
                continue;
            }
            next_ms[target] = now_ms + way.pause_ms + random.random_range(0..10);
            let views: Vec<_> = known_ms
                .iter()
                .map(|known_ms| if *known_ms <= now_ms { NEW } else { OLD })
                .map(|position| SourceView { position, is_own_word: true })
                .collect();
            let ties: Vec<u32> = (0..count).map(|_| random.random()).collect();
            let Some(source) = choose_source(&views, OLD, |index| ties[index]) else { continue };
            let served = transfers.iter().filter(|transfer| transfer.source == source).count();
            if served < way.max_served {
                outcome.fetches += 1;
                let until_ms = now_ms.saturating_add(way.fetch_limit_ms);
                let left_bytes = way.topic_bytes;
                transfers.push(Transfer { source, target, left_bytes, until_ms });
            }
        }
        advance(&mut transfers, way);
        transfers.retain(|transfer| now_ms < transfer.until_ms);
        for Transfer { target, left_bytes, .. } in transfers.iter().copied() {
            if left_bytes <= 0.0 && known_ms[target] == u64::MAX {
                known_ms[target] = now_ms + NOTICE_MS;
                outcome.caught_up_ms.push(now_ms);
            }
        }
        transfers.retain(|transfer| known_ms[transfer.target] == u64::MAX);
    }
    outcome
}

/// Moves each transfer on by one millisecond. A link is shared by all that run over it.
fn advance(transfers: &mut [Transfer], way: &Way) {
    let all = transfers.to_vec();
    for transfer in transfers {
        let sharing = |of: fn(&Transfer) -> usize| {
            all.iter().filter(|other| of(other) == of(transfer)).count() as f64
        };
        let sent = LINK_BYTES_PER_MS * way.link_share / sharing(|transfer| transfer.source);
        let received = LINK_BYTES_PER_MS / sharing(|transfer| transfer.target);
        transfer.left_bytes -= sent.min(received);
    }
}

/// The time until the last daemon of a fleet has the change, `None` if one never has, and the fetches for each.
fn fleet(way: &Way, daemons: usize) -> (Option<u64>, f64) {
    let data_centres = daemons.div_ceil(DAEMONS_PER_DATA_CENTRE);
    let spreads: Vec<_> = (0..data_centres as u64).map(|seed| spread(way, seed)).collect();
    let is_complete = spreads.iter().all(|one| one.caught_up_ms.len() == DAEMONS_PER_DATA_CENTRE);
    let last_ms = spreads.iter().filter_map(|one| one.caught_up_ms.last().copied()).max();
    let fetches: usize = spreads.iter().map(|one| one.fetches).sum();
    let count = (data_centres * DAEMONS_PER_DATA_CENTRE) as f64;
    (last_ms.filter(|_| is_complete), fetches as f64 / count)
}

#[test]
fn a_long_topic_spreads_as_fast_among_300_daemons_as_among_30() {
    /// The bound of the platform is three seconds, from the acknowledgement.
    const MOST_MS: u64 = 1_500;
    for daemons in [30, 100, 300] {
        let (last_ms, fetches) = fleet(&ONE_AT_A_TIME, daemons);
        println!("{daemons} daemons: {last_ms:?} ms, {fetches:.2} fetches for each");
        assert!(last_ms.is_some_and(|ms| ms <= MOST_MS), "{daemons}: {last_ms:?}");
        assert!(fetches <= 1.2, "{daemons}: {fetches}");
    }
}

#[test]
fn fetches_that_are_given_up_and_begun_anew_collapse_on_the_same_links() {
    for daemons in [30, 100, 300] {
        let (last_ms, fetches) = fleet(&GIVEN_UP_AND_BEGUN_ANEW, daemons);
        println!("{daemons} daemons: {last_ms:?} ms, {fetches:.2} fetches for each");
        assert_eq!(last_ms, None, "{daemons}");
        assert!(fetches > 10.0, "{daemons}: {fetches}");
    }
}
