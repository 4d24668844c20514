use comfreymast_base::DaemonName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The daemon that owns an organisation's slots, by rendezvous hashing: the one with the highest
/// hash.
///
/// When a daemon joins or leaves, only the organisations that it owns change their owner.
#[must_use]
pub fn owner_of<'a>(
    organisation: &str,
    daemons: impl IntoIterator<Item = &'a DaemonName>,
) -> Option<&'a DaemonName> {
    let seed = xxh3_64_with_seed(organisation.as_bytes(), 0);
    let hash = |daemon: &DaemonName| xxh3_64_with_seed(daemon.as_str().as_bytes(), seed);
    daemons.into_iter().max_by_key(|daemon| (hash(daemon), *daemon))
}
