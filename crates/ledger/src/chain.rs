use std::collections::VecDeque;

use sha2::{Digest, Sha256};

/// How many offsets back the digest is kept.
const MAX_RECENT_DIGESTS: usize = 8_192;

/// A digest of every record below an offset, in order.
///
/// Two ledgers with equal digests at an offset have applied the same records.
pub type ChainDigest = [u8; 32];

/// A hash chain over the log, with the digests of the latest offsets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chain {
    head: ChainDigest,
    /// The digest below each of the latest offsets, oldest first.
    recent: VecDeque<(u64, ChainDigest)>,
}

impl Chain {
    /// A chain that continues from `head`.
    pub(crate) fn from_head(head: ChainDigest) -> Self {
        Self { head, recent: VecDeque::new() }
    }

    pub(crate) fn head(&self) -> ChainDigest {
        self.head
    }

    pub(crate) fn push(&mut self, offset: u64, record: &[u8]) {
        self.recent.push_back((offset, self.head));
        if self.recent.len() > MAX_RECENT_DIGESTS {
            self.recent.pop_front();
        }
        let mut hasher = Sha256::new();
        hasher.update(self.head);
        hasher.update(offset.to_be_bytes());
        hasher.update(record);
        self.head = hasher.finalize().into();
    }

    /// The digest of the records below `offset`, if it is still kept.
    pub(crate) fn digest_below(&self, offset: u64) -> Option<ChainDigest> {
        let (first, _) = self.recent.front()?;
        let index = usize::try_from(offset.checked_sub(*first)?).ok()?;
        self.recent.get(index).map(|(_, digest)| *digest)
    }
}
