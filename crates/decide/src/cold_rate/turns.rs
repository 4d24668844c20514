use std::collections::VecDeque;

/// How long a turn may be used. Turns that are held longer would be used by many daemons at once.
pub(super) const TTL_MS: u64 = 200;
const MS_PER_S: f64 = 1_000.0;

/// A daemon's turns to send to one cold upstream, at equal intervals.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// The part of the next turn that has passed, 0 to 1.
    phase: f64,
    updated_ms: u64,
    /// When each unused turn came.
    unused: VecDeque<u64>,
    /// Requests that were sent without a turn, and are made up for by the next ones.
    owed: u32,
}

impl Turns {
    /// Turns from `now_ms` on. `phase`, 0 to 1, is drawn at random, so that the turns of daemons do not coincide.
    #[must_use]
    pub fn new(phase: f64, now_ms: u64) -> Self {
        Self { phase, updated_ms: now_ms, ..Self::default() }
    }

    /// True if a request may be sent at `now_ms`, at `per_s` turns a second.
    pub fn is_free(&mut self, per_s: f64, now_ms: u64) -> bool {
        self.advance(per_s, now_ms);
        !self.unused.is_empty()
    }

    /// Takes a turn for one request; false if there is none.
    pub fn take(&mut self, per_s: f64, now_ms: u64) -> bool {
        self.advance(per_s, now_ms);
        self.unused.pop_front().is_some()
    }

    /// Takes a turn for a request that is sent in any case.
    pub fn owe(&mut self, per_s: f64, now_ms: u64) {
        if !self.take(per_s, now_ms) {
            self.owed = self.owed.saturating_add(1);
        }
    }

    /// Gives a turn back that was taken at `taken_ms` for a request which did not reach the upstream.
    pub fn give_back(&mut self, taken_ms: u64) {
        self.unused.push_front(taken_ms);
    }

    fn advance(&mut self, per_s: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let per_ms = per_s / MS_PER_S;
        let due = self.phase + elapsed_ms as f64 * per_ms;
        self.updated_ms = self.updated_ms.max(now_ms);
        self.phase = due.fract();
        let turns = due as u64;
        // Turns that came too long ago are not counted one by one.
        let recent = turns.min((per_ms * TTL_MS as f64).ceil() as u64 + 1);
        for before in (0..recent).rev() {
            let age_ms = (self.phase + before as f64) / per_ms;
            if age_ms >= TTL_MS as f64 {
                continue;
            }
            if self.owed > 0 {
                self.owed -= 1;
            } else {
                self.unused.push_back(now_ms.saturating_sub(age_ms as u64));
            }
        }
        self.unused.retain(|came_ms| now_ms.saturating_sub(*came_ms) < TTL_MS);
    }
}
