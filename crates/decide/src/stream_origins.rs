//! Which service and software version began a stream, for callers who take it up through another daemon.
//!
//! Load pattern: a record for each resumable stream, kept by the daemon that began it and by a few others,
//! and asked for only when a stream has broken off.

use std::collections::{HashMap, VecDeque};

use comfreymast_base::{Service, SoftwareVersion};
use xxhash_rust::xxh3::{xxh3_64_with_seed, xxh3_128};

/// Identifies an attempt of a caller of one organisation.
pub type OriginKey = [u8; 16];

/// The most records that a daemon keeps.
const CAPACITY: usize = 16_384;

/// The key of the attempt `id`. An attempt of the same name of another organisation has another one.
#[must_use]
pub fn origin_key(organisation: &str, id: &str) -> OriginKey {
    // A line feed is an unambiguous separator: no name in a header contains one.
    xxh3_128(format!("{organisation}\n{id}").as_bytes()).to_be_bytes()
}

/// The `count` names that keep the record of `key`, by rendezvous hashing.
#[must_use]
pub fn holders<'a>(
    key: &OriginKey,
    names: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(key, 0);
    let mut ranked: Vec<_> =
        names.map(|name| (xxh3_64_with_seed(name.as_bytes(), seed), name)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(count).map(|(_, name)| name).collect()
}

/// What began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service; `None` if a daemon of an earlier release recorded the stream.
    pub service: Option<Service>,
    /// The version; `None` if its upstream stated none.
    pub version: Option<SoftwareVersion>,
    /// When nobody takes the stream up any more.
    pub expires_ms: u64,
}

/// The streams that began a short time ago.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    by_key: HashMap<OriginKey, StreamOrigin>,
    oldest_first: VecDeque<OriginKey>,
}

impl StreamOrigins {
    /// Adds a stream. One that is known stays as it is, as its first event is what counts, but for a service
    /// that was missing.
    pub fn record(&mut self, key: OriginKey, origin: StreamOrigin, now_ms: u64) {
        self.expire(now_ms);
        if let Some(known) = self.by_key.get_mut(&key) {
            if known.service.is_none() && known.version == origin.version {
                known.service = origin.service;
            }
            return;
        }
        self.by_key.insert(key, origin);
        self.oldest_first.push_back(key);
    }

    /// What is known of a stream.
    #[must_use]
    pub fn find(&self, key: &OriginKey, now_ms: u64) -> Option<&StreamOrigin> {
        self.by_key.get(key).filter(|origin| origin.expires_ms > now_ms)
    }

    /// The number of streams that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// True if no stream is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Drops streams from the oldest on that have expired, or that do not fit.
    fn expire(&mut self, now_ms: u64) {
        while let Some(oldest) = self.oldest_first.front() {
            let is_old = self.by_key.get(oldest).is_none_or(|origin| origin.expires_ms <= now_ms);
            if !is_old && self.by_key.len() < CAPACITY {
                return;
            }
            self.by_key.remove(oldest);
            self.oldest_first.pop_front();
        }
    }
}
