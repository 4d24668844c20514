//! Requests that wait at the daemon for memory on an engine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use comfreymast_base::Organisation;

use crate::admission::{Ticket, Work};
use crate::admission_profile::MemoryProfile;
use crate::fairness::FairShares;
use crate::lengths::LengthCurve;

/// One waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) work: Work,
    /// When it arrived.
    pub(crate) arrived_ms: u64,
    /// Tokens it is expected to generate.
    pub(crate) expected_tokens: f64,
    /// The distribution of its length.
    pub(crate) curve: Arc<LengthCurve>,
    /// The memory it is expected to hold.
    pub(crate) profile: MemoryProfile,
}

/// The waiting requests, ordered by priority, then by their organisation's recent service, then by
/// deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    waiting: BTreeMap<Ticket, Waiting>,
}

impl WaitQueue {
    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.waiting.insert(waiting.ticket, waiting);
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        self.waiting.remove(&ticket)
    }

    pub(crate) fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        self.waiting.get(&ticket)
    }

    /// Tickets in the order of service. Generations that ran before go first.
    pub(crate) fn order(&self, shares: &FairShares, fair: bool, now_ms: u64) -> Vec<Ticket> {
        // Service is compared on a log2 scale, so that deadlines decide between organisations with
        // similar service.
        let doublings = |organisation: &Organisation| {
            let served_tokens = shares.served_tokens(organisation, now_ms);
            if fair { served_tokens.max(1.0).log2() as u64 } else { 0 }
        };
        let mut served: HashMap<&Organisation, u64> = HashMap::new();
        let mut order: Vec<_> = Vec::with_capacity(self.waiting.len());
        for (ticket, Waiting { work, .. }) in &self.waiting {
            let organisation = &work.organisation;
            let served = *served.entry(organisation).or_insert_with(|| doublings(organisation));
            let fresh = work.done_tokens == 0;
            order.push((fresh, Reverse(work.priority), served, work.deadline_ms, *ticket));
        }
        order.sort_unstable();
        order.into_iter().map(|(.., ticket)| ticket).collect()
    }

    /// Expected tokens of all requests that are served before new work of this priority.
    pub(crate) fn tokens_before(&self, priority: u8) -> f64 {
        let before = self.waiting.values().filter(|waiting| waiting.work.priority >= priority);
        before.map(|waiting| waiting.expected_tokens).sum()
    }
}
