//! Whether a daemon has lost its links to the upstreams of a service.
//!
//! An upstream that fails says nothing of the others. Links count as lost once requests to several
//! upstreams have failed and nothing was heard from any of them since. New connections are judged on
//! their own too, since connections that are open may live on while new ones are refused. Links that are
//! lost stay so until an upstream answers.
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
//! assert!(watch.record_answer(ConnectionKind::New), "links are back");
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
    /// From how many upstreams nothing may be heard before links count as lost. All, in a service with
    /// fewer.
    pub min_failed: usize,
    /// How long a failure counts while links are not lost.
    pub memory_ms: u64,
}

impl Default for LinkWatchOptions {
    fn default() -> Self {
        Self { min_failed: 2, memory_ms: 3_000 }
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
        let needed = self.options.min_failed.min(upstreams).max(1);
        let memory_ms = self.options.memory_ms;
        self.all.record(upstream, now_ms, memory_ms, needed);
        if connection == ConnectionKind::New {
            self.new.record(upstream, now_ms, memory_ms, needed);
        }
        self.is_lost() && !was_lost
    }

    /// Records that an upstream was heard: it answered, or sent more of an answer. True if links that
    /// were lost are back.
    pub fn record_answer(&mut self, connection: ConnectionKind) -> bool {
        let was_lost = self.is_lost();
        self.all = Failures::default();
        if connection == ConnectionKind::New {
            self.new = Failures::default();
        }
        was_lost && !self.is_lost()
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
}
