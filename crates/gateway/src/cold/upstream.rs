use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use comfreymast_base::Upstream;
use comfreymast_decide::cold_rate::{ColdUntil, Turns};
use comfreymast_platform::ColdTime;

/// Until when one start of an upstream is cold, and this daemon's turns at it meanwhile.
#[derive(Debug)]
pub(crate) struct ColdState {
    /// While this has passed, requests need not take the lock.
    until_ms: AtomicU64,
    /// Until when its own answers to this daemon said that it is cold.
    heard_until_ms: AtomicU64,
    has_named_invalid: AtomicBool,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    until: ColdUntil,
    turns: Turns,
}

impl ColdState {
    /// An upstream whose entry states that it is cold for another `entry_ms`.
    pub(crate) fn new(entry_ms: u64, now_ms: u64) -> Self {
        let inner = Inner { until: ColdUntil::new(entry_ms, now_ms), turns: new_turns(now_ms) };
        Self {
            until_ms: AtomicU64::new(now_ms.saturating_add(entry_ms)),
            heard_until_ms: AtomicU64::new(0),
            has_named_invalid: AtomicBool::new(false),
            inner: Mutex::new(inner),
        }
    }

    /// How much longer it is cold, 0 if it is not.
    pub(crate) fn left_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.load(Ordering::Acquire).saturating_sub(now_ms)
    }

    /// Applies a newer entry of the same start.
    pub(crate) fn apply_entry(&self, upstream: &Upstream, entry_ms: u64, now_ms: u64) {
        self.change(upstream, "entry", now_ms, |until| until.apply_entry(entry_ms, now_ms));
    }

    /// Applies what a peer heard from an answer of it.
    pub(crate) fn apply_news(&self, upstream: &Upstream, until_ms: u64, now_ms: u64) {
        self.change(upstream, "peer", now_ms, |until| until.extend(until_ms));
    }

    /// Records what an answer says. True if peers should know it.
    pub(crate) fn record_answer(&self, upstream: &Upstream, cold: ColdTime, now_ms: u64) -> bool {
        let left_ms = match cold {
            ColdTime::Absent | ColdTime::Ms(0) => return false,
            ColdTime::Ms(left_ms) => left_ms,
            ColdTime::Invalid => {
                if !self.has_named_invalid.swap(true, Ordering::AcqRel) {
                    log::warn!(target: "comfreymast", code = 1341, upstream = upstream.as_str();
                        "upstream named a cold time that is no number");
                }
                return false;
            }
        };
        let until_ms = now_ms.saturating_add(left_ms);
        self.heard_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        self.change(upstream, "answer", now_ms, |until| until.extend(until_ms))
    }

    /// How much longer its own answers to this daemon said that it is cold, 0 if they did not.
    pub(crate) fn heard_left_ms(&self, now_ms: u64) -> u64 {
        self.heard_until_ms.load(Ordering::Acquire).saturating_sub(now_ms)
    }

    /// True if this daemon has a turn at it, at `per_s` turns a second.
    pub(crate) fn has_turn(&self, per_s: f64, now_ms: u64) -> bool {
        self.inner().turns.is_free(per_s, now_ms)
    }

    /// Takes a turn; false if there is none.
    pub(crate) fn take_turn(&self, per_s: f64, now_ms: u64) -> bool {
        self.inner().turns.take(per_s, now_ms)
    }

    /// Counts a request that is sent whether there is a turn or not.
    pub(crate) fn owe_turn(&self, per_s: f64, now_ms: u64) {
        self.inner().turns.owe(per_s, now_ms);
    }

    /// Gives back a turn of a request that did not reach the upstream.
    pub(crate) fn give_back(&self, taken_ms: u64) {
        self.inner().turns.give_back(taken_ms);
    }

    /// Applies `change` to the time until which it is cold. True if it became cold, or is for longer.
    fn change(
        &self,
        upstream: &Upstream,
        source: &str,
        now_ms: u64,
        change: impl FnOnce(&mut ColdUntil) -> bool,
    ) -> bool {
        let mut inner = self.inner();
        let was_cold = inner.until.left_ms(now_ms) > 0;
        if !change(&mut inner.until) {
            return false;
        }
        let left_ms = inner.until.left_ms(now_ms);
        self.until_ms.store(now_ms.saturating_add(left_ms), Ordering::Release);
        if !was_cold && left_ms > 0 {
            inner.turns = new_turns(now_ms);
            log::info!(target: "comfreymast", code = 1340, upstream = upstream.as_str(), source,
                left_ms; "upstream became cold again");
        }
        left_ms > 0
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_turns(now_ms: u64) -> Turns {
    Turns::new(rand::random(), now_ms)
}
