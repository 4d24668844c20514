use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use comfreymast_decide::stream_origins::{OriginKey, StreamOrigin, StreamOrigins};

/// The most replies to one question that wait to be read.
const MAX_REPLIES: usize = 32;

/// The streams whose origin this daemon knows, and what it asks others.
#[derive(Debug, Default)]
pub(crate) struct OriginState {
    origins: Mutex<StreamOrigins>,
    /// Who waits for the replies to a question.
    waiting: Mutex<HashMap<OriginKey, Vec<Sender<Option<StreamOrigin>>>>>,
}

impl OriginState {
    /// Adds a stream.
    pub(super) fn record(&self, key: OriginKey, origin: StreamOrigin, now_ms: u64) {
        lock(&self.origins).record(key, origin, now_ms);
    }

    /// What is known of a stream.
    pub(super) fn find(&self, key: &OriginKey, now_ms: u64) -> Option<StreamOrigin> {
        lock(&self.origins).find(key, now_ms).cloned()
    }

    /// The replies to a question about `key`, from now on.
    pub(super) fn replies(&self, key: OriginKey) -> Receiver<Option<StreamOrigin>> {
        let (sender, replies) = async_channel::bounded(MAX_REPLIES);
        let mut waiting = lock(&self.waiting);
        waiting.retain(|_, senders| {
            senders.retain(|sender| !sender.is_closed());
            !senders.is_empty()
        });
        waiting.entry(key).or_default().push(sender);
        replies
    }

    /// Gives a reply to those who wait for it.
    pub(super) fn reply(&self, key: &OriginKey, origin: Option<&StreamOrigin>) {
        for sender in lock(&self.waiting).get(key).into_iter().flatten() {
            // Fails if the question has been answered.
            let _ = sender.try_send(origin.cloned());
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
