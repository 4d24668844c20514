//! How many places of an upstream a daemon uses while the upstream is brittle: it falls over when it has to
//! turn too many requests away.
//!
//! All daemons together then send no more than an upstream can run at once, without asking each other: each
//! has the same share of the places, and who gets the rest follows from the names. Daemons that disagree for a
//! moment on who there is share a place or leave one unused.
//!
//! Load pattern: callers ask for more than the upstreams can do, which let nobody wait and are gone for seconds
//! once they fall.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Places that are left free, if there are more than two, for new connections, health checks and requests whose
/// callers have left.
const SPARE_SLOTS: u32 = 1;

/// The places that the daemon `me` uses of `slots` at `upstream`, among `daemons`, which include it.
#[must_use]
pub fn own_slots<'a>(
    upstream: &str,
    slots: u32,
    me: &str,
    daemons: impl Iterator<Item = &'a str>,
) -> u32 {
    let usable = if slots > 2 { slots - SPARE_SLOTS } else { slots };
    let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
    let rank_of = |name: &str| (xxh3_64_with_seed(name.as_bytes(), seed), name.to_owned());
    let own = rank_of(me);
    let (mut count, mut before) = (1, 0);
    for name in daemons.filter(|name| *name != me) {
        count += 1;
        before += u32::from(rank_of(name) < own);
    }
    usable / count + u32::from(before < usable % count)
}
