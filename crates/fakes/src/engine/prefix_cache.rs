use super::batch::Prefix;

/// An LRU cache of prompt prefixes, least recently used first.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    entries: Vec<Prefix>,
}

impl PrefixCache {
    /// An empty cache.
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, entries: Vec::new() }
    }

    /// Looks up a prefix and returns how many of its tokens were cached. Caches it if it fits.
    pub(crate) fn lookup(&mut self, prefix: Prefix) -> u32 {
        let cached_at = self.entries.iter().position(|entry| entry.hash == prefix.hash);
        let cached_tokens =
            cached_at.map_or(0, |at| self.entries.remove(at).tokens.min(prefix.tokens));
        self.entries.push(prefix);
        while self.used_tokens() > self.capacity_tokens {
            self.entries.remove(0);
        }
        cached_tokens
    }

    /// The hashes of all cached prefixes.
    pub(crate) fn hashes(&self) -> Vec<u64> {
        self.entries.iter().map(|entry| entry.hash).collect()
    }

    fn used_tokens(&self) -> u64 {
        self.entries.iter().map(|entry| u64::from(entry.tokens)).sum()
    }
}
