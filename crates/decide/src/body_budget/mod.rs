//! Which request bodies may take more of a daemon's memory, and which have to give theirs back.
//!
//! Load pattern: many callers send large bodies at once, and most stop just short of the end and stay
//! connected, while ordinary callers send small bodies that are complete at once.
//!
//! * A body takes its announced length, or its next step, before it is read. One that does not fit waits; its
//!   caller decides for how long.
//! * A part of the budget is kept for small bodies, which therefore never wait behind large ones.
//! * While a body waits, bodies that have made no progress for [`STALL_MS`] are cancelled, the longest stalled
//!   first, until there is room for it. Progress is a number of bytes, so that a caller that sends single bytes
//!   at long intervals counts as stalled.
//! * Waiting bodies of organisations within an equal share of the budget go before those of the others.

mod reader;

use std::collections::BTreeMap;

use comfreymast_base::Organisation;

use reader::Reader;

/// Bodies up to this length are small.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// How long a body may make no progress before others may have its memory.
pub const STALL_MS: u64 = 500;
/// The bytes that count as progress.
const PROGRESS_BYTES: usize = 1_024;
/// The part of the budget that is kept for small bodies: one in this many.
const SMALL_DIVISOR: usize = 8;
/// The most bodies that wait for room; further ones are refused at once, since each holds a kernel buffer.
const MAX_WAITING: usize = 64;

/// One body of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(u64);

/// What a body gets that asks for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It has the bytes.
    Granted,
    /// It has to wait and ask again.
    Wait,
    /// It never gets them.
    Refused,
}

/// The bytes of all request bodies that a daemon holds.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    limit_bytes: usize,
    held_bytes: usize,
    waiting: usize,
    last_id: u64,
    readers: BTreeMap<BodyId, Reader>,
}

impl BodyBudget {
    /// A budget of `limit_bytes`.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, held_bytes: 0, waiting: 0, last_id: 0, readers: BTreeMap::new() }
    }

    /// Adds a body that holds nothing yet. Bodies without an organisation share one share.
    pub fn open(&mut self, organisation: Option<Organisation>, now_ms: u64) -> BodyId {
        self.last_id += 1;
        let id = BodyId(self.last_id);
        self.readers.insert(id, Reader::new(organisation, now_ms));
        id
    }

    /// Takes `bytes` more for a body.
    pub fn take(&mut self, id: BodyId, bytes: usize, now_ms: u64) -> Grant {
        let Some(reader) = self.readers.get(&id) else { return Grant::Refused };
        if reader.is_cancelled {
            return Grant::Refused;
        }
        let is_waiting = reader.wait.is_some();
        let wanted_bytes = reader.held_bytes + bytes;
        let is_alone = self.held_bytes == reader.held_bytes;
        if !is_alone && wanted_bytes > self.limit_for(wanted_bytes) {
            self.stop_waiting(id);
            return Grant::Refused;
        }
        let has_room = self.held_bytes + bytes <= self.limit_for(wanted_bytes);
        if is_alone || has_room && !self.others_go_first(id, wanted_bytes, now_ms) {
            self.stop_waiting(id);
            self.add(id, bytes);
            return Grant::Granted;
        }
        if !is_waiting && self.waiting >= MAX_WAITING {
            return Grant::Refused;
        }
        self.start_waiting(id, bytes, now_ms);
        Grant::Wait
    }

    /// Cancels stalled bodies, the longest stalled first, until a waiting one has room; false if none is.
    pub fn reclaim(&mut self, id: BodyId, now_ms: u64) -> bool {
        let Some(reader) = self.readers.get(&id) else { return false };
        let Some(wait) = reader.wait else { return false };
        let wanted_bytes = self.held_bytes + wait.bytes;
        let mut missing_bytes =
            wanted_bytes.saturating_sub(self.limit_for(reader.held_bytes + wait.bytes));
        missing_bytes = missing_bytes.saturating_sub(self.cancelled_bytes());
        let mut stalled: Vec<_> = self
            .readers
            .iter()
            .filter(|(other, reader)| **other != id && reader.is_stalled(now_ms))
            .map(|(other, reader)| (reader.progress_ms, *other, reader.held_bytes))
            .collect();
        stalled.sort_unstable();
        let mut has_cancelled = false;
        for (_, other, held_bytes) in stalled {
            if missing_bytes == 0 {
                break;
            }
            missing_bytes = missing_bytes.saturating_sub(held_bytes);
            if let Some(reader) = self.readers.get_mut(&other) {
                reader.is_cancelled = true;
                has_cancelled = true;
            }
        }
        has_cancelled
    }

    /// Records that bytes of a body have arrived.
    pub fn record_arrival(&mut self, id: BodyId, bytes: usize, now_ms: u64) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.record_arrival(bytes, now_ms);
        }
    }

    /// Records that a body is whole. It keeps what it holds and is never cancelled.
    pub fn complete(&mut self, id: BodyId) {
        self.stop_waiting(id);
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.is_complete = true;
        }
    }

    /// True if a body is to be given up.
    #[must_use]
    pub fn is_cancelled(&self, id: BodyId) -> bool {
        self.readers.get(&id).is_none_or(|reader| reader.is_cancelled)
    }

    /// Gives back what a body holds.
    pub fn release(&mut self, id: BodyId) {
        self.stop_waiting(id);
        if let Some(reader) = self.readers.remove(&id) {
            self.held_bytes -= reader.held_bytes;
        }
    }

    /// The bytes that all bodies hold.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// The bodies that wait for room.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    fn limit_for(&self, body_bytes: usize) -> usize {
        if body_bytes <= SMALL_BODY_BYTES {
            self.limit_bytes
        } else {
            self.limit_bytes - self.limit_bytes / SMALL_DIVISOR
        }
    }

    /// Small bodies go first, then those of organisations within their share, then the oldest.
    fn others_go_first(&self, id: BodyId, wanted_bytes: usize, now_ms: u64) -> bool {
        if self.waiting == 0 || wanted_bytes <= SMALL_BODY_BYTES {
            return false;
        }
        let Some(reader) = self.readers.get(&id) else { return false };
        let since_ms = reader.wait.map_or(now_ms, |wait| wait.since_ms);
        let own = (self.is_over_share(&reader.organisation, wanted_bytes), since_ms, id);
        self.readers.iter().any(|(other, reader)| {
            let Some(wait) = reader.wait else { return false };
            let bytes = reader.held_bytes + wait.bytes;
            let rank = (self.is_over_share(&reader.organisation, bytes), wait.since_ms, *other);
            *other != id && !reader.is_cancelled && rank < own
        })
    }

    /// True if an organisation holds more than an equal share of the budget.
    fn is_over_share(&self, organisation: &Option<Organisation>, wanted_bytes: usize) -> bool {
        let mut organisations: Vec<_> =
            self.readers.values().map(|reader| &reader.organisation).collect();
        organisations.sort_unstable();
        organisations.dedup();
        let of_organisation =
            self.readers.values().filter(|reader| reader.organisation == *organisation);
        let held_bytes: usize = of_organisation.map(|reader| reader.held_bytes).sum();
        held_bytes + wanted_bytes > self.limit_bytes / organisations.len().max(1)
    }

    fn cancelled_bytes(&self) -> usize {
        let cancelled = self.readers.values().filter(|reader| reader.is_cancelled);
        cancelled.map(|reader| reader.held_bytes).sum()
    }

    fn add(&mut self, id: BodyId, bytes: usize) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.held_bytes += bytes;
            self.held_bytes += bytes;
        }
    }

    fn start_waiting(&mut self, id: BodyId, bytes: usize, now_ms: u64) {
        if let Some(reader) = self.readers.get_mut(&id)
            && reader.start_waiting(bytes, now_ms)
        {
            self.waiting += 1;
        }
    }

    fn stop_waiting(&mut self, id: BodyId) {
        if let Some(reader) = self.readers.get_mut(&id)
            && reader.wait.take().is_some()
        {
            self.waiting -= 1;
        }
    }
}
