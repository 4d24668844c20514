use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The share of the VM's memory that answers may take which are read whole: one in this many. Growing
/// buffers take up to twice their content for moments.
const MEMORY_DIVISOR: u64 = 8;
/// What each answer may take however much the others have.
const FREE_BYTES: usize = 64 * 1024;

/// Limits the memory of all answers together that are read whole before they are passed on.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

/// The part of the budget that one answer takes, until this is dropped.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: Arc<BufferBudget>,
    answer_bytes: usize,
}

impl BufferBudget {
    /// The budget of a VM with this much memory.
    pub(crate) fn of_vm(memory_bytes: u64) -> Arc<Self> {
        let limit_bytes = usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Arc::new(Self { limit_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// The share of an answer of which nothing has arrived.
    pub(crate) fn share(self: &Arc<Self>) -> BufferShare {
        BufferShare { budget: self.clone(), answer_bytes: 0 }
    }
}

impl BufferShare {
    /// Takes more for the answer; false if all answers together would take too much.
    #[must_use]
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let before = self.counted_bytes();
        self.answer_bytes += bytes;
        let added = self.counted_bytes() - before;
        let used = self.budget.used_bytes.fetch_add(added, Ordering::AcqRel) + added;
        added == 0 || used <= self.budget.limit_bytes
    }

    /// The bytes of the answer, which keep this share until they have been passed on.
    pub(crate) fn keep_with(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(KeptBytes { bytes, _share: self })
    }

    fn counted_bytes(&self) -> usize {
        self.answer_bytes.saturating_sub(FREE_BYTES)
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.counted_bytes(), Ordering::AcqRel);
    }
}

struct KeptBytes {
    bytes: Bytes,
    _share: BufferShare,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
