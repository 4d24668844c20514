use std::collections::{HashMap, VecDeque};

use comfreymast_base::OperationId;

use crate::Applied;

/// How many operations of one sort are remembered.
const MAX_OPERATIONS: usize = 4_096;

/// The first bytes of SHA-256 of what an operation asked for.
pub type RequestDigest = [u8; 16];

/// What one operation did when it was folded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldedOperation {
    /// The log offset of its record.
    pub offset: u64,
    /// What it did.
    pub applied: Applied,
    /// What it asked for; the same operation may not ask for two things.
    pub request_digest: RequestDigest,
}

/// The latest operations, by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Operations {
    by_id: HashMap<OperationId, FoldedOperation>,
    order: VecDeque<OperationId>,
}

impl Operations {
    pub(crate) fn get(&self, id: OperationId) -> Option<&FoldedOperation> {
        self.by_id.get(&id)
    }

    pub(crate) fn remember(&mut self, id: OperationId, operation: FoldedOperation) {
        self.by_id.insert(id, operation);
        self.order.push_back(id);
        if self.order.len() > MAX_OPERATIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }

    /// Oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (OperationId, &FoldedOperation)> {
        self.order.iter().filter_map(|id| Some((*id, self.by_id.get(id)?)))
    }
}
