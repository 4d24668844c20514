use comfreymast_base::DaemonName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The daemon that owns an organisation's slots: the one with the highest hash.
///
/// Only organisations owned by a daemon that comes or goes change hands.
#[must_use]
pub fn owner_of<'a>(
    organisation: &str,
    daemons: impl IntoIterator<Item = &'a DaemonName>,
) -> Option<&'a DaemonName> {
    let seed = xxh3_64_with_seed(organisation.as_bytes(), 0);
    let hash = |daemon: &DaemonName| xxh3_64_with_seed(daemon.as_str().as_bytes(), seed);
    daemons.into_iter().max_by_key(|daemon| (hash(daemon), *daemon))
}
