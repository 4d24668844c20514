//! Whether a daemon has lost its links to the upstreams of a service.
//!
//! An upstream that fails says nothing of the others. Links count as lost once requests to several
//! upstreams have failed and nothing was heard from any of them since. New connections are judged on
//! their own too, since connections that are open may live on while new ones are refused. Links that are
//! lost stay so until as many upstreams answer, so that one that is still reached does not hide the others.
//!
//! Load pattern: a VM that is partitioned from all upstreams, beside upstreams that end, pause or fall
//! silent for a second.
//!
//! ```
//! use comfreymast_base::Upstream;
//! use comfreymast_decide::link_watch::{ConnectionKind, LinkWatch, LinkWatchOptions};
//!
//! let mut watch = LinkWatch::new(LinkWatchOptions::default());
//! assert!(!watch.record_failure(&Upstream::from("u1"), ConnectionKind::New, 4, 0));
//! assert!(watch.record_failure(&Upstream::from("u2"), ConnectionKind::New, 4, 10));
//! assert!(!watch.record_answer(&Upstream::from("u3"), ConnectionKind::New, 4));
//! assert!(watch.record_answer(&Upstream::from("u1"), ConnectionKind::New, 4), "links are back");
//! ```

use comfreymast_base::Upstream;

/// The connection that a request used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// One that was opened for it.
    New,
    /// One that was kept from an earlier request.
    Kept,
}

/// The limits of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkWatchOptions {
    /// How many upstreams must fail, without any being heard, before links count as lost, and how many
    /// must answer before they are back. All, in a service with fewer.
    pub quorum: usize,
    /// How long a failure counts while links are not lost.
    pub memory_ms: u64,
}

impl Default for LinkWatchOptions {
    fn default() -> Self {
        Self { quorum: 2, memory_ms: 3_000 }
    }
}

/// What a daemon saw of its links to the upstreams of one service.
#[derive(Clone, Debug)]
pub struct LinkWatch {
    options: LinkWatchOptions,
    /// Failures since the last answer of any upstream.
    all: Failures,
    /// Failures of new connections since the last answer on one.
    new: Failures,
}

/// Upstreams that failed, each with the time of its last failure.
#[derive(Clone, Debug, Default)]
struct Failures {
    by_upstream: Vec<(Upstream, u64)>,
    /// Upstreams that answered since links are lost.
    answered: Vec<Upstream>,
    is_lost: bool,
}

impl LinkWatch {
    /// A watch that has seen nothing.
    #[must_use]
    pub fn new(options: LinkWatchOptions) -> Self {
        Self { options, all: Failures::default(), new: Failures::default() }
    }

    /// Records that an upstream, one of `upstreams`, was not reached, broke off before its answer, or
    /// is overdue with it. True if links count as lost from now on.
    pub fn record_failure(
        &mut self,
        upstream: &Upstream,
        connection: ConnectionKind,
        upstreams: usize,
        now_ms: u64,
    ) -> bool {
        let was_lost = self.is_lost();
        let needed = self.needed(upstreams);
        let memory_ms = self.options.memory_ms;
        self.all.record(upstream, now_ms, memory_ms, needed);
        if connection == ConnectionKind::New {
            self.new.record(upstream, now_ms, memory_ms, needed);
        }
        self.is_lost() && !was_lost
    }

    /// Records that an upstream, one of `upstreams`, was heard: it answered, or sent more of an answer.
    /// True if links that were lost are back.
    pub fn record_answer(
        &mut self,
        upstream: &Upstream,
        connection: ConnectionKind,
        upstreams: usize,
    ) -> bool {
        let was_lost = self.is_lost();
        let needed = self.needed(upstreams);
        self.all.record_answer(upstream, needed);
        if connection == ConnectionKind::New {
            self.new.record_answer(upstream, needed);
        }
        was_lost && !self.is_lost()
    }

    fn needed(&self, upstreams: usize) -> usize {
        self.options.quorum.min(upstreams).max(1)
    }

    /// True while links count as lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.all.is_lost || self.new.is_lost
    }

    /// True while some failure counts, so that answers have to be recorded.
    #[must_use]
    pub fn has_failures(&self) -> bool {
        !self.all.by_upstream.is_empty() || !self.new.by_upstream.is_empty()
    }
}

impl Failures {
    fn record(&mut self, upstream: &Upstream, now_ms: u64, memory_ms: u64, needed: usize) {
        self.by_upstream.retain(|(known, failed_ms)| {
            known != upstream && now_ms.saturating_sub(*failed_ms) < memory_ms
        });
        self.by_upstream.push((upstream.clone(), now_ms));
        self.is_lost |= self.by_upstream.len() >= needed;
    }

    fn record_answer(&mut self, upstream: &Upstream, needed: usize) {
        if self.is_lost && !self.answered.contains(upstream) {
            self.answered.push(upstream.clone());
        }
        if !self.is_lost || self.answered.len() >= needed {
            *self = Self::default();
        }
    }
}
