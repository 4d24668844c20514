//! Keeps the requests to an upstream within the rate that it names for all daemons together.
//!
//! Each daemon counts its sends and tells the others in its heartbeats. What is left of the named rate
//! is known to all of them alike, a heartbeat late, so each request takes it only with a chance: all
//! requests that compete for it before the next heartbeat are expected to take no more than is left. A
//! daemon that has just begun to ask, after a time in which nobody did, assumes that all have.
//!
//! Load pattern: an upstream in trouble names a few requests a second, or less than one, while many
//! daemons have far more for its service.
//!
//! ```
//! use comfreymast_decide::upstream_limit::{FleetNews, Statement, UpstreamLimit};
//!
//! let mut limit = UpstreamLimit::default();
//! limit.apply(Statement { per_s: Some(2.0), heard_ms: 0 }, 0);
//! let alone = FleetNews::default();
//! assert_eq!(limit.send_chance(100, alone), 0.0);
//! assert_eq!(limit.send_chance(500, alone), 1.0);
//! ```

use crate::sliding_count::SlidingCount;

/// How long sends are counted at least. A count lacks up to a tenth of that time.
const MIN_WINDOW_MS: u64 = 5_000;
/// The most doublings of that time, so that some requests fit into it at low rates.
const MAX_DOUBLINGS: u32 = 2;
/// The requests that fit into a window that is long enough.
const MIN_PER_WINDOW: f64 = 4.0;
/// The share of a window whose part of the named rate may be used in it.
const EARNING_SHARE: f64 = 0.9;
/// The time whose part of the named rate may be used at once.
const BURST_MS: f64 = 1_000.0;
/// What heartbeats say of others' demand is exceeded by this factor for moments.
const DEMAND_MARGIN: f64 = 1.5;
/// How long requests are counted for which an upstream was considered.
const WANTED_WINDOW_MS: u64 = 1_000;
/// The least rate that is used. An upstream that names less gets this much all the same, since only an
/// answer can tell that its limit has ended.
const MIN_PER_S: f64 = 0.25;
const MS_PER_S: f64 = 1_000.0;

/// What an upstream said of its limit in one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The requests a second that it takes from all daemons; `None` if it named no limit.
    pub per_s: Option<f64>,
    /// When its answer arrived.
    pub heard_ms: u64,
}

/// The use that daemons made of one upstream in the last few seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitUse {
    /// Requests that were sent to it.
    pub sends: u64,
    /// Requests for which it was considered in the last second.
    pub wanted: u64,
}

/// What a daemon knows of the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetNews {
    /// How many there are.
    pub peers: u64,
    /// The age of what they have told of themselves.
    pub lag_ms: u64,
}

impl LimitUse {
    /// The sum of the use of two daemons.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { sends: self.sends + other.sends, wanted: self.wanted + other.wanted }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct InForce {
    per_s: f64,
    since_ms: u64,
    window_ms: u64,
}

/// The limit of one upstream, and the use that is made of it.
#[derive(Clone, Debug)]
pub struct UpstreamLimit {
    in_force: Option<InForce>,
    /// When the newest statement was heard, by any daemon.
    heard_ms: Option<u64>,
    /// The newest statement that this daemon heard itself.
    own: Option<Statement>,
    sends: SlidingCount,
    wanted: SlidingCount,
    /// Since when this daemon has considered the upstream without a pause.
    wanted_since_ms: u64,
    others: LimitUse,
}

impl Default for UpstreamLimit {
    fn default() -> Self {
        Self {
            in_force: None,
            heard_ms: None,
            own: None,
            sends: SlidingCount::new(MIN_WINDOW_MS),
            wanted: SlidingCount::new(WANTED_WINDOW_MS),
            wanted_since_ms: 0,
            others: LimitUse::default(),
        }
    }
}

impl UpstreamLimit {
    /// The limit in force, in requests a second.
    #[must_use]
    pub fn per_s(&self) -> Option<f64> {
        self.in_force.map(|in_force| in_force.per_s)
    }

    /// Records what an answer says to a request that was sent at `sent_ms`. An answer without a limit
    /// ends one only if its request was sent after the limit was heard of: answers on different
    /// connections overtake each other. Returns true if the limit in force has changed.
    pub fn record_answer(&mut self, per_s: Option<f64>, sent_ms: u64, now_ms: u64) -> bool {
        let is_news = match (per_s, self.in_force) {
            (Some(_), _) => true,
            (None, Some(_)) => self.heard_ms.is_none_or(|heard_ms| sent_ms > heard_ms),
            (None, None) => false,
        };
        if !is_news {
            return false;
        }
        let statement = Statement { per_s, heard_ms: now_ms };
        self.own = Some(statement);
        self.apply(statement, now_ms)
    }

    /// Applies a statement that this daemon or another one heard, unless a later one is known. Returns
    /// true if the limit in force has changed.
    pub fn apply(&mut self, statement: Statement, now_ms: u64) -> bool {
        if self.heard_ms.is_some_and(|heard_ms| heard_ms > statement.heard_ms) {
            return false;
        }
        self.heard_ms = Some(statement.heard_ms);
        let before = self.in_force;
        self.in_force = statement.per_s.map(|per_s| {
            let window_ms = window_ms(per_s);
            // What was sent before does not count against a new limit, which begins with nothing earned.
            let continued = before.filter(|before| before.window_ms == window_ms);
            let since_ms = continued.map_or(now_ms, |continued| continued.since_ms);
            InForce { per_s, since_ms, window_ms }
        });
        if let Some(in_force) = self.in_force
            && before.is_none_or(|before| before.window_ms != in_force.window_ms)
        {
            self.sends = SlidingCount::new(in_force.window_ms);
        }
        before.map(|before| before.per_s) != self.per_s()
    }

    /// Replaces the use that all other daemons make of the upstream.
    pub fn set_others(&mut self, others: LimitUse) {
        self.others = others;
    }

    /// The newest statement that this daemon heard itself.
    #[must_use]
    pub fn own_statement(&self) -> Option<Statement> {
        self.own
    }

    /// The use that this daemon makes of the upstream.
    pub fn own_use(&mut self, now_ms: u64) -> LimitUse {
        LimitUse { sends: self.sends.total(now_ms), wanted: self.wanted.total(now_ms) }
    }

    /// Counts a request for which the upstream was considered.
    pub fn record_wanted(&mut self, now_ms: u64) {
        if self.wanted.total(now_ms) == 0 {
            self.wanted_since_ms = now_ms;
        }
        self.wanted.record(now_ms);
    }

    /// Counts a request that is sent to the upstream.
    pub fn record_send(&mut self, now_ms: u64) {
        self.sends.record(now_ms);
    }

    /// The chance with which one more request may be sent now, 0 to 1.
    pub fn send_chance(&mut self, now_ms: u64, news: FleetNews) -> f64 {
        let Some(in_force) = self.in_force else { return 1.0 };
        let earning_ms = in_force.window_ms as f64 * EARNING_SHARE;
        let elapsed_ms = (now_ms.saturating_sub(in_force.since_ms) as f64).min(earning_ms);
        let earned = used_per_s(in_force.per_s) * elapsed_ms / MS_PER_S;
        let room = earned - (self.sends.total(now_ms) + self.others.sends) as f64;
        if room < 1.0 {
            return 0.0;
        }
        let burst = (used_per_s(in_force.per_s) * BURST_MS / MS_PER_S).max(1.0);
        (room.min(burst) / (1.0 + self.competing(now_ms, news))).min(1.0)
    }

    /// How many requests of other daemons compete with one of this daemon, as far as it can know.
    fn competing(&mut self, now_ms: u64, news: FleetNews) -> f64 {
        let told_per_ms = self.others.wanted as f64 / WANTED_WINDOW_MS as f64;
        let told = told_per_ms * news.lag_ms as f64 * DEMAND_MARGIN;
        if now_ms.saturating_sub(self.wanted_since_ms) >= WANTED_WINDOW_MS {
            return told;
        }
        let own = self.wanted.total(now_ms);
        // A single request is no sign of a rush if others ask already.
        let rush = if self.others.wanted == 0 { own.max(1) } else { own.saturating_sub(1) };
        told.max((news.peers * rush) as f64)
    }

    /// The usual time between two requests that the upstream takes; 0 without a limit.
    #[must_use]
    pub fn interval_ms(&self) -> u64 {
        self.per_s().map_or(0, |per_s| (MS_PER_S / used_per_s(per_s)) as u64)
    }
}

fn used_per_s(per_s: f64) -> f64 {
    per_s.max(MIN_PER_S)
}

/// How long sends are counted against a limit.
fn window_ms(per_s: f64) -> u64 {
    let mut window_ms = MIN_WINDOW_MS;
    for _ in 0..MAX_DOUBLINGS {
        if used_per_s(per_s) * window_ms as f64 / MS_PER_S >= MIN_PER_WINDOW {
            break;
        }
        window_ms *= 2;
    }
    window_ms
}
