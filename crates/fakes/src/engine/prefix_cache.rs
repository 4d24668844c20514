use super::model::Prefix;

/// The prompt prefixes an engine keeps, least recently used first.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    kept: Vec<Prefix>,
}

impl PrefixCache {
    /// An empty cache.
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self { capacity_tokens, kept: Vec::new() }
    }

    /// Reads a prefix; returns how many of its tokens were in the cache. It is kept afterwards.
    pub(crate) fn read(&mut self, prefix: Prefix) -> u32 {
        let known = self.kept.iter().position(|kept| kept.hash == prefix.hash);
        let cached_tokens = known.map_or(0, |at| self.kept.remove(at).tokens.min(prefix.tokens));
        self.kept.push(prefix);
        while self.used_tokens() > self.capacity_tokens {
            self.kept.remove(0);
        }
        cached_tokens
    }

    /// The hashes of all kept prefixes.
    pub(crate) fn hashes(&self) -> Vec<u64> {
        self.kept.iter().map(|kept| kept.hash).collect()
    }

    fn used_tokens(&self) -> u64 {
        self.kept.iter().map(|kept| u64::from(kept.tokens)).sum()
    }
}
