use std::collections::VecDeque;

/// How long a turn may be used. Turns that are held longer would be used by many daemons at once.
pub(super) const TTL_MS: u64 = 200;
/// Below this many turns a second, turns at equal intervals would be lapsed nearly always when a request comes.
const MIN_REGULAR_PER_S: f64 = 1.0;
/// The time between two requests of a daemon with fewer turns.
const SPACING_MS: u64 = 1_000;
const MS_PER_S: f64 = 1_000.0;

/// A daemon's turns to send to one cold upstream.
///
/// A daemon with one turn a second or more has them at equal intervals. Of daemons with fewer, as many as these turns
/// come to have one at any time, and one a second each; the others have none. So a request that comes finds a turn as
/// often as the rate allows, also at an upstream that is cold for a second only.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// Drawn from 0 to 1. A daemon with fewer turns a second than one has them if this is below their number.
    draw: f64,
    /// When such a daemon may send again.
    next_ms: u64,
    /// The part of the next turn that has passed, 0 to 1.
    phase: f64,
    updated_ms: u64,
    /// When each unused turn came.
    unused: VecDeque<u64>,
    /// Requests that were sent without a turn, and are made up for by the next ones.
    owed: u32,
}

impl Turns {
    /// Turns from `now_ms` on. `draw`, 0 to 1, is drawn at random, so that the turns of daemons do not coincide.
    #[must_use]
    pub fn new(draw: f64, now_ms: u64) -> Self {
        Self { draw, phase: draw, updated_ms: now_ms, ..Self::default() }
    }

    /// True if a request may be sent at `now_ms`, at `per_s` turns a second.
    pub fn is_free(&mut self, per_s: f64, now_ms: u64) -> bool {
        self.advance(per_s, now_ms);
        if per_s < MIN_REGULAR_PER_S {
            return self.draw < per_s && now_ms >= self.next_ms;
        }
        !self.unused.is_empty()
    }

    /// Takes a turn for one request; false if there is none.
    pub fn take(&mut self, per_s: f64, now_ms: u64) -> bool {
        if per_s >= MIN_REGULAR_PER_S {
            self.advance(per_s, now_ms);
            return self.unused.pop_front().is_some();
        }
        let is_free = self.is_free(per_s, now_ms);
        if is_free {
            self.next_ms = now_ms + SPACING_MS;
        }
        is_free
    }

    /// Takes a turn for a request that is sent in any case.
    pub fn owe(&mut self, per_s: f64, now_ms: u64) {
        if self.take(per_s, now_ms) {
            return;
        }
        if per_s >= MIN_REGULAR_PER_S {
            self.owed = self.owed.saturating_add(1);
        } else {
            self.next_ms = self.next_ms.max(now_ms) + SPACING_MS;
        }
    }

    /// Gives a turn back that was taken at `taken_ms` for a request which did not reach the upstream.
    pub fn give_back(&mut self, taken_ms: u64) {
        self.next_ms = taken_ms;
        self.unused.push_front(taken_ms);
    }

    fn advance(&mut self, per_s: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let per_ms = per_s / MS_PER_S;
        let due = self.phase + elapsed_ms as f64 * per_ms;
        self.updated_ms = self.updated_ms.max(now_ms);
        self.phase = due.fract();
        if per_s < MIN_REGULAR_PER_S {
            self.unused.clear();
            return;
        }
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
