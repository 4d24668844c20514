use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

/// The body of a call, until it is released.
#[derive(Debug)]
pub(crate) struct CallBody(Mutex<Bytes>);

impl CallBody {
    /// The body, without a copy.
    pub(crate) fn bytes(&self) -> Bytes {
        self.lock().clone()
    }

    /// Gives up the memory of a body that cannot be sent again.
    pub(crate) fn release(&self) {
        *self.lock() = Bytes::new();
    }

    fn lock(&self) -> MutexGuard<'_, Bytes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<Bytes> for CallBody {
    fn from(bytes: Bytes) -> Self {
        Self(Mutex::new(bytes))
    }
}
