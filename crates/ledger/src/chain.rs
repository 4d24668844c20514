use std::collections::VecDeque;

use sha2::{Digest, Sha256};

/// How many offsets back the digest is remembered.
const MAX_REMEMBERED: usize = 8_192;

/// A digest of every record below an offset, in order.
///
/// Two folds with equal chains at an offset were made from the same records.
pub type ChainDigest = [u8; 32];

/// The chain digests of the latest offsets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chain {
    head: ChainDigest,
    /// The digest below each of the latest offsets, the oldest first.
    remembered: VecDeque<(u64, ChainDigest)>,
}

impl Chain {
    /// A chain that continues from `head`.
    pub(crate) fn from_head(head: ChainDigest) -> Self {
        Self { head, remembered: VecDeque::new() }
    }

    pub(crate) fn head(&self) -> ChainDigest {
        self.head
    }

    pub(crate) fn push(&mut self, offset: u64, record: &[u8]) {
        self.remembered.push_back((offset, self.head));
        if self.remembered.len() > MAX_REMEMBERED {
            self.remembered.pop_front();
        }
        let mut hasher = Sha256::new();
        hasher.update(self.head);
        hasher.update(offset.to_be_bytes());
        hasher.update(record);
        self.head = hasher.finalize().into();
    }

    /// The digest of the records below `offset`, if it is remembered.
    pub(crate) fn below(&self, offset: u64) -> Option<ChainDigest> {
        let (first, _) = self.remembered.front()?;
        let index = usize::try_from(offset.checked_sub(*first)?).ok()?;
        self.remembered.get(index).map(|(_, digest)| *digest)
    }
}
