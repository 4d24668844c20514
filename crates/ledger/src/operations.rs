use std::collections::{HashMap, VecDeque};

use comfreymast_base::OperationId;

use crate::Applied;

/// How many operations of one kind are kept.
const MAX_OPERATIONS: usize = 4_096;

/// The first 16 bytes of the SHA-256 of the change that an operation requested.
pub type RequestDigest = [u8; 16];

/// The effect of one operation when it was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedOperation {
    /// The log offset of its record.
    pub offset: u64,
    /// The effect of that record.
    pub applied: Applied,
    /// Digest of the requested change; detects an operation id reused for another change.
    pub request_digest: RequestDigest,
}

/// The latest operations, by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Operations {
    by_id: HashMap<OperationId, AppliedOperation>,
    order: VecDeque<OperationId>,
}

impl Operations {
    pub(crate) fn get(&self, id: OperationId) -> Option<&AppliedOperation> {
        self.by_id.get(&id)
    }

    pub(crate) fn insert(&mut self, id: OperationId, operation: AppliedOperation) {
        self.by_id.insert(id, operation);
        self.order.push_back(id);
        if self.order.len() > MAX_OPERATIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }

    /// The operations kept, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (OperationId, &AppliedOperation)> {
        self.order.iter().filter_map(|id| Some((*id, self.by_id.get(id)?)))
    }
}
