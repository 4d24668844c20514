use std::pin::{Pin, pin};
use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::{Clock, Organisation};
use comfreymast_decide::body_budget::Grant;
use futures_lite::future;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming};

use super::buffer::Buffer;
use super::lease::{Lease, Shared};
use super::read_error::RequestBodyError;
use crate::within;

/// The part of the memory of a VM that request bodies may take: one in this many. Answers, connections and the
/// program itself need the rest.
const MEMORY_DIVISOR: u64 = 3;
/// How long a body waits for room. Longer than a body may stall, so that stalled ones make room for it.
const ROOM_WAIT_MS: u64 = 1_000;
/// How often a body that waits looks for stalled ones.
const RECLAIM_INTERVAL_MS: u64 = 100;

type ReceivedFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// The limits of one body.
#[derive(Clone, Debug)]
pub struct BodyOptions {
    /// The maximum length.
    pub limit_bytes: usize,
    /// How long nothing may arrive.
    pub stall_ms: u64,
    /// The organisation of its caller, if that is known.
    pub organisation: Option<Organisation>,
}

/// The memory of all request bodies of a daemon. Clones share it.
#[derive(Clone, Debug)]
pub struct RequestBodies {
    shared: Arc<Shared>,
}

impl RequestBodies {
    /// The budget of a VM with this much memory.
    #[must_use]
    pub fn of_vm(memory_bytes: u64, clock: &Clock) -> Self {
        let limit_bytes = usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        Self { shared: Shared::new(limit_bytes, clock.clone()) }
    }

    /// The bytes that all bodies hold.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.shared.budget().held_bytes()
    }

    /// Reads a body to its end. An announced length is checked against the limits before anything is read. The
    /// memory counts until the last clone of the result is dropped.
    ///
    /// # Errors
    ///
    /// [`RequestBodyError`].
    pub async fn read(
        &self,
        body: Incoming,
        options: BodyOptions,
    ) -> Result<Bytes, RequestBodyError> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let BodyOptions { limit_bytes, stall_ms, organisation } = options;
        let announced = body.size_hint().exact();
        let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced.is_some_and(|bytes| bytes > limit_bytes) {
            return Err(RequestBodyError::TooLong { limit_bytes });
        }
        let lease = Lease::open(&self.shared, organisation);
        let mut buffer = Buffer::new(limit_bytes);
        if let Some(bytes) = announced {
            self.wait_for_room(&lease, bytes).await?;
            buffer.grow(bytes);
        }
        let mut body = pin!(body);
        while let Some(frame) = self.next_frame(&lease, body.as_mut(), stall_ms).await? {
            let frame = frame.map_err(|source| RequestBodyError::Connection { source })?;
            let data = frame.into_data().unwrap_or_default();
            let step_bytes = buffer.step_bytes(data.len())?;
            if step_bytes > 0 {
                self.wait_for_room(&lease, step_bytes).await?;
                buffer.grow(step_bytes);
            }
            buffer.bytes.extend_from_slice(&data);
            lease.record_arrival(data.len());
        }
        if lease.is_cancelled() {
            return Err(RequestBodyError::Reclaimed);
        }
        Ok(lease.keep_with(buffer.bytes))
    }

    /// Takes `bytes` of the budget, as soon as there is room.
    async fn wait_for_room(&self, lease: &Lease, bytes: usize) -> Result<(), RequestBodyError> {
        let until_ms = self.shared.clock.now_ms() + ROOM_WAIT_MS;
        loop {
            let room = self.shared.room.listen();
            match lease.take(bytes) {
                Grant::Granted => return Ok(()),
                Grant::Refused if lease.is_cancelled() => return Err(RequestBodyError::Reclaimed),
                Grant::Refused => return Err(RequestBodyError::NoRoom),
                Grant::Wait => lease.reclaim(),
            }
            let left_ms = until_ms.saturating_sub(self.shared.clock.now_ms());
            if left_ms == 0 {
                return Err(RequestBodyError::NoRoom);
            }
            // Time alone makes bodies stalled, so nobody notifies of that.
            let _ = within(left_ms.min(RECLAIM_INTERVAL_MS), room).await;
        }
    }

    /// The next frame, unless the body stalls or others need its memory.
    async fn next_frame(
        &self,
        lease: &Lease,
        mut body: Pin<&mut Incoming>,
        stall_ms: u64,
    ) -> Result<ReceivedFrame, RequestBodyError> {
        // Most bodies are there already, and need no timer.
        if let Some(frame) = future::poll_once(body.frame()).await {
            return Ok(frame);
        }
        let cancelled = async {
            loop {
                let cancellation = self.shared.cancellation.listen();
                if lease.is_cancelled() {
                    return Err(RequestBodyError::Reclaimed);
                }
                cancellation.await;
            }
        };
        let arriving =
            async { within(stall_ms, body.frame()).await.map_err(|_| RequestBodyError::Stalled) };
        future::or(cancelled, arriving).await
    }
}
