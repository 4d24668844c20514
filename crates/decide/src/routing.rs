//! Load balancing that ignores the memory of upstreams.
//!
//! [`least_outstanding`], [`round_robin`] and [`two_choices`] are the baselines that
//! [`crate::admission`] is compared with. [`subset`] limits the upstreams that a daemon uses.

use std::hash::{DefaultHasher, Hash, Hasher};

use comfreymast_base::{DaemonName, Upstream};

/// One upstream that could take the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Outstanding requests of this daemon.
    pub outstanding: u32,
    /// Outstanding requests in its last report, including those of other daemons.
    pub reported: u32,
    /// True when it is in this daemon's data centre.
    pub is_near: bool,
}

impl Candidate {
    fn cost(&self) -> (u32, bool) {
        (self.outstanding.max(self.reported), !self.is_near)
    }
}

/// The index of the candidate with the fewest requests; ties go to this daemon's data centre.
///
/// ```
/// use comfreymast_decide::routing::{Candidate, least_outstanding};
/// let busy = Candidate { outstanding: 3, reported: 0, is_near: true };
/// let idle = Candidate { outstanding: 0, reported: 1, is_near: false };
/// assert_eq!(least_outstanding(&[busy, idle]), Some(1));
/// ```
#[must_use]
pub fn least_outstanding(candidates: &[Candidate]) -> Option<usize> {
    let indexed = candidates.iter().enumerate();
    Some(indexed.min_by_key(|(_, candidate)| candidate.cost())?.0)
}

/// The index of the candidate whose turn it is.
#[must_use]
pub fn round_robin(candidates: &[Candidate], turn: usize) -> Option<usize> {
    (!candidates.is_empty()).then(|| turn % candidates.len())
}

/// Power of two choices: the better of the candidates at `first` and `second`, which the caller
/// picks at random.
#[must_use]
pub fn two_choices(candidates: &[Candidate], first: usize, second: usize) -> Option<usize> {
    let (one, other) = (candidates.get(first)?, candidates.get(second)?);
    Some(if other.cost() < one.cost() { second } else { first })
}

/// The subset of upstreams that one daemon uses when there are more than it can monitor.
///
/// Rendezvous hashing keeps a daemon's subset stable while other daemons come and go, and gives
/// each upstream about the same number of daemons.
#[must_use]
pub fn subset(daemon: &DaemonName, upstreams: &[Upstream], size: usize) -> Vec<Upstream> {
    let weight = |upstream: &Upstream| {
        let mut hasher = DefaultHasher::new();
        (daemon, upstream).hash(&mut hasher);
        hasher.finish()
    };
    let mut chosen = upstreams.to_vec();
    if chosen.len() > size {
        chosen.sort_by_cached_key(weight);
        chosen.truncate(size);
        chosen.sort();
    }
    chosen
}
