use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use comfreymast_base::Upstream;
use comfreymast_decide::upstream_limit::{FleetNews, LimitUse, Statement, UpstreamLimit};
use comfreymast_platform::NamedRate;
use comfreymast_wire::news;

use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

/// How long this daemon tells others what an upstream said in its last answer.
const STATEMENT_TTL_MS: u64 = 15_000;

/// The limit that an upstream names for all daemons together, as far as this daemon knows.
#[derive(Debug, Default)]
pub(crate) struct NamedLimit {
    /// True while a limit is in force. While it is false, requests need not take the lock.
    is_limited: AtomicBool,
    /// True once a limit was in force, so that there may be something to tell others.
    has_been_limited: AtomicBool,
    has_named_invalid: AtomicBool,
    limit: Mutex<UpstreamLimit>,
}

/// What other daemons told of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LimitNews {
    /// The use that they make of it.
    pub(crate) total: LimitUse,
    /// The newest statement of the upstream that any of them heard.
    pub(crate) statement: Option<Statement>,
}

impl LimitNews {
    /// Adds what one daemon or data centre told at `received_ms`.
    pub(crate) fn add(&mut self, told: &news::UpstreamLimit, received_ms: u64) {
        let told_use = LimitUse { sends: told.sends.into(), wanted: told.wanted.into() };
        self.total = self.total.plus(told_use);
        let heard_ms = received_ms.saturating_sub(told.heard_age_ms);
        let is_newer = self.statement.is_none_or(|known| known.heard_ms < heard_ms);
        if told.has_heard && is_newer {
            self.statement = Some(Statement { per_s: told.per_s, heard_ms });
        }
    }

    /// The form of a peer message that is sent at `now_ms`.
    pub(crate) fn message(self, upstream: String, now_ms: u64) -> news::UpstreamLimit {
        let heard_ms = self.statement.map_or(now_ms, |statement| statement.heard_ms);
        news::UpstreamLimit {
            upstream,
            sends: u32::try_from(self.total.sends).unwrap_or(u32::MAX),
            wanted: u32::try_from(self.total.wanted).unwrap_or(u32::MAX),
            has_heard: self.statement.is_some(),
            per_s: self.statement.and_then(|statement| statement.per_s),
            heard_age_ms: now_ms.saturating_sub(heard_ms),
        }
    }
}

impl NamedLimit {
    /// Records what an answer of `upstream` says to a request that was sent at `sent_ms`.
    pub(crate) fn record_answer(
        &self,
        upstream: &Upstream,
        rate: NamedRate,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let per_s = match rate {
            NamedRate::Absent if !self.is_limited() => return,
            NamedRate::Absent => None,
            NamedRate::PerS(per_s) => Some(per_s),
            // What was named before stays in force.
            NamedRate::Invalid => return self.log_invalid(upstream),
        };
        let mut limit = self.limit();
        limit.record_answer(per_s, sent_ms, now_ms);
        self.update(upstream, &limit, "answer");
    }

    /// Applies what other daemons told of `upstream`.
    pub(crate) fn apply_news(&self, upstream: &Upstream, told: LimitNews, now_ms: u64) {
        if told == LimitNews::default() && !self.is_limited() {
            return;
        }
        let mut limit = self.limit();
        limit.set_others(told.total);
        if let Some(statement) = told.statement {
            limit.apply(statement, now_ms);
            self.update(upstream, &limit, "peer");
        }
    }

    /// What this daemon tells others; `None` if there is nothing to tell.
    pub(crate) fn own_news(&self, now_ms: u64) -> Option<LimitNews> {
        if !self.has_been_limited.load(Ordering::Acquire) {
            return None;
        }
        let mut limit = self.limit();
        let statement = limit.own_statement();
        let statement = statement
            .filter(|statement| now_ms.saturating_sub(statement.heard_ms) < STATEMENT_TTL_MS);
        let total = limit.own_use(now_ms);
        (self.is_limited() || statement.is_some()).then_some(LimitNews { total, statement })
    }

    /// True if a request may be sent now; each call counts one for which the upstream is considered.
    fn may_send(&self, now_ms: u64, news: FleetNews) -> bool {
        if !self.is_limited() {
            return true;
        }
        let mut limit = self.limit();
        limit.record_wanted(now_ms);
        rand::random::<f64>() < limit.send_chance(now_ms, news)
    }

    /// Counts a request that is sent.
    pub(crate) fn record_send(&self, now_ms: u64) {
        if self.is_limited() {
            self.limit().record_send(now_ms);
        }
    }

    fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::Acquire)
    }

    fn update(&self, upstream: &Upstream, limit: &UpstreamLimit, source: &str) {
        let is_limited = limit.per_s().is_some();
        if self.is_limited.swap(is_limited, Ordering::AcqRel) == is_limited {
            return;
        }
        self.has_been_limited.store(true, Ordering::Release);
        log::info!(target: "comfreymast", code = 1310, upstream = upstream.as_str(),
            per_s:? = limit.per_s(), source; "limit of an upstream began or ended");
    }

    fn log_invalid(&self, upstream: &Upstream) {
        if !self.has_named_invalid.swap(true, Ordering::AcqRel) {
            log::warn!(target: "comfreymast", code = 1311, upstream = upstream.as_str();
                "upstream named a limit that is no rate");
        }
    }

    fn limit(&self) -> MutexGuard<'_, UpstreamLimit> {
        self.limit.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps those of `candidates` that take one more request now.
pub(crate) fn retain_within_limits(dispatch: &Dispatch, candidates: &mut Vec<&Arc<UpstreamState>>) {
    if !candidates.iter().any(|candidate| candidate.limit.is_limited()) {
        return;
    }
    dispatch.apply_peer_updates();
    let (now_ms, news) = (dispatch.clock.now_ms(), dispatch.fleet_news());
    candidates.retain(|candidate| {
        let may_send = candidate.limit.may_send(now_ms, news);
        if !may_send {
            dispatch.metrics.limit_skips.inc();
        }
        may_send
    });
}

/// The usual time until one of `upstreams` takes another request; `None` if none has a limit.
pub(crate) fn usual_wait_ms(upstreams: &[Arc<UpstreamState>]) -> Option<u64> {
    let intervals = upstreams.iter().map(|upstream| upstream.limit.limit().interval_ms());
    let per_ms: f64 =
        intervals.filter(|interval_ms| *interval_ms > 0).map(|ms| 1.0 / ms as f64).sum();
    (per_ms > 0.0).then(|| (1.0 / per_ms) as u64)
}
