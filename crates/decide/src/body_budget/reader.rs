use comfreymast_base::Organisation;

use super::{PROGRESS_BYTES, STALL_MS};

/// A body that waits for room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    /// The bytes that it needs next.
    pub(super) bytes: usize,
    /// Since when it waits.
    pub(super) since_ms: u64,
}

/// The state of one body.
#[derive(Clone, Debug)]
pub(super) struct Reader {
    pub(super) organisation: Option<Organisation>,
    pub(super) held_bytes: usize,
    /// When it last made progress.
    pub(super) progress_ms: u64,
    arrived_bytes: usize,
    pub(super) wait: Option<Wait>,
    pub(super) is_complete: bool,
    pub(super) is_cancelled: bool,
}

impl Reader {
    pub(super) fn new(organisation: Option<Organisation>, now_ms: u64) -> Self {
        Self {
            organisation,
            held_bytes: 0,
            progress_ms: now_ms,
            arrived_bytes: 0,
            wait: None,
            is_complete: false,
            is_cancelled: false,
        }
    }

    /// True if it could give its memory to others. One that waits is not read, so its silence shows nothing.
    pub(super) fn is_stalled(&self, now_ms: u64) -> bool {
        self.held_bytes > 0
            && !self.is_complete
            && !self.is_cancelled
            && self.wait.is_none()
            && now_ms >= self.progress_ms + STALL_MS
    }

    pub(super) fn record_arrival(&mut self, bytes: usize, now_ms: u64) {
        self.arrived_bytes += bytes;
        if self.arrived_bytes >= PROGRESS_BYTES {
            self.arrived_bytes = 0;
            self.progress_ms = now_ms;
        }
    }

    /// False if it waits already.
    pub(super) fn start_waiting(&mut self, bytes: usize, now_ms: u64) -> bool {
        let is_new = self.wait.is_none();
        let since_ms = self.wait.map_or(now_ms, |wait| wait.since_ms);
        self.wait = Some(Wait { bytes, since_ms });
        is_new
    }
}
