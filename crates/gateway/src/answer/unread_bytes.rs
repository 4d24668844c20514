use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The share of the VM's memory that parts of streams may take which their callers have not read: one in this
/// many.
const MEMORY_DIVISOR: u64 = 16;

/// Counts the bytes of streams that wait for their callers to read them.
#[derive(Debug)]
pub(crate) struct UnreadBytes {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

/// The bytes of one part of a stream, until this is dropped.
#[derive(Debug)]
pub(crate) struct UnreadShare {
    unread: Arc<UnreadBytes>,
    bytes: Bytes,
}

impl UnreadBytes {
    /// The budget of a VM with this much memory.
    pub(crate) fn of_vm(memory_bytes: u64) -> Arc<Self> {
        let limit_bytes = usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Arc::new(Self { limit_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// True if streams may have more than one unread part each.
    pub(crate) fn has_room(&self) -> bool {
        self.used_bytes.load(Ordering::Acquire) <= self.limit_bytes
    }

    /// Counts a part until it was read.
    pub(crate) fn count(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        self.used_bytes.fetch_add(bytes.len(), Ordering::AcqRel);
        Bytes::from_owner(UnreadShare { unread: self.clone(), bytes })
    }
}

impl AsRef<[u8]> for UnreadShare {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for UnreadShare {
    fn drop(&mut self) {
        self.unread.used_bytes.fetch_sub(self.bytes.len(), Ordering::AcqRel);
    }
}
