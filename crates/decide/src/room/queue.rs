//! The streams that wait for room on the engines of one service.
//!
//! Load pattern: a long stream that fits on no engine for a while, and short ones that fit and keep coming.

use std::collections::BTreeMap;

use super::order::RoomRequest;
use super::peers::{ClassLoad, WaitClass, WaitLoads};
use crate::fairness::{FairShares, FairnessOptions};

/// The part of its target latency after which a stream gets the memory that becomes free.
const PROTECT_DIVISOR: u64 = 2;
/// One start in so many goes to the stream that has waited longest for its target latency, whatever its
/// priority, so that none waits for ever.
const OLDEST_EVERY: u64 = 8;

/// Identifies a waiting stream in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What became of the attempt to start one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It starts.
    Started,
    /// It waits no longer, and does not start.
    Left,
    /// It goes on waiting.
    Waits,
}

/// What streams before one in the order wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Their number.
    pub count: u64,
    /// The memory that they need.
    pub tokens: u64,
    /// The same of all streams that wait and are of its priority or before, and due no later. A stream that
    /// arrives now counts them all (they are told in its first walk), so that those which wait already are not passed by too many.
    pub backlog: ClassLoad,
    /// The memory that one of them needs for which an engine is to be kept free.
    pub held_tokens: Option<u64>,
}

/// The waiting streams of one service.
#[derive(Debug, Default)]
pub struct RoomQueue {
    waiting: BTreeMap<Ticket, RoomRequest>,
    shares: FairShares,
    last_ticket: u64,
    starts: u64,
    /// The newest stream of the last walk.
    last_walked: Option<Ticket>,
    /// The stream that goes first until it starts or leaves.
    favoured: Option<Ticket>,
}

impl RoomQueue {
    /// An empty queue that counts what organisations received with `fairness`.
    #[must_use]
    pub fn new(fairness: FairnessOptions) -> Self {
        Self { shares: FairShares::new(fairness), ..Self::default() }
    }

    /// Adds a stream.
    pub fn push(&mut self, request: RoomRequest) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.waiting.insert(ticket, request);
        ticket
    }

    /// Removes a stream that no longer waits.
    pub fn remove(&mut self, ticket: Ticket) -> Option<RoomRequest> {
        self.waiting.remove(&ticket)
    }

    /// True if none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The number of waiting streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// What waits, by class.
    #[must_use]
    pub fn loads(&self) -> WaitLoads {
        let mut loads = WaitLoads::new();
        for request in self.waiting.values() {
            let load = loads.entry(WaitClass::of(request)).or_default();
            *load = load.plus(ClassLoad { count: 1, tokens: request.need_tokens });
        }
        loads
    }

    fn backlog(&self, request: &RoomRequest, ticket: Ticket) -> ClassLoad {
        let due_ms = request.due_ms();
        let is_before = |other: &RoomRequest| {
            other.priority < request.priority
                || (other.priority == request.priority && other.due_ms() <= due_ms)
        };
        let others = self.waiting.iter().filter(|(one, other)| **one != ticket && is_before(other));
        others.fold(ClassLoad::default(), |sum, (_, other)| {
            sum.plus(ClassLoad { count: 1, tokens: other.need_tokens })
        })
    }

    /// The waiting streams.
    pub fn requests(&self) -> impl Iterator<Item = &RoomRequest> {
        self.waiting.values()
    }

    /// The time from which memory that becomes free is kept for a stream.
    #[must_use]
    pub fn protected_from_ms(request: &RoomRequest) -> u64 {
        request.arrived_ms + request.target_latency_ms / PROTECT_DIVISOR
    }

    /// Counts a stream that started, whether it had waited or not.
    pub fn record_start(&mut self, request: &RoomRequest, now_ms: u64) {
        if let Some(organisation) = &request.organisation {
            self.shares.charge(organisation, request.need_tokens as f64, now_ms);
        }
    }

    /// Drops counts of organisations that had no stream for long.
    pub fn forget_idle(&mut self, now_ms: u64) {
        self.shares.forget_idle(now_ms);
    }

    /// Calls `attempt` for the waiting streams in their order, with what is ahead of each, and removes those
    /// that start or leave.
    pub fn walk(
        &mut self,
        now_ms: u64,
        mut attempt: impl FnMut(Ticket, &RoomRequest, Ahead) -> Attempt,
    ) {
        let mut ahead = Ahead::default();
        let last_walked = self.last_walked.replace(Ticket(self.last_ticket));
        for ticket in self.order(now_ms) {
            let Some(request) = self.waiting.get(&ticket) else { continue };
            // Found for new ones only, since it takes a look at all others.
            let is_new = Some(ticket) > last_walked;
            let backlog = if is_new { self.backlog(request, ticket) } else { ClassLoad::default() };
            match attempt(ticket, request, Ahead { backlog, ..ahead }) {
                Attempt::Waits => {
                    ahead.count += 1;
                    ahead.tokens += request.need_tokens;
                    if now_ms >= Self::protected_from_ms(request) {
                        ahead.held_tokens = ahead.held_tokens.or(Some(request.need_tokens));
                    }
                }
                Attempt::Left => drop(self.waiting.remove(&ticket)),
                Attempt::Started => {
                    self.starts += 1;
                    if let Some(request) = self.waiting.remove(&ticket) {
                        self.record_start(&request, now_ms);
                    }
                }
            }
        }
    }

    /// The streams in the order in which they start.
    fn order(&mut self, now_ms: u64) -> Vec<Ticket> {
        let mut order: Vec<_> = self.waiting.iter().collect();
        order.sort_by_cached_key(|(ticket, request)| {
            let served = request.organisation.as_ref();
            let served = served.map_or(0.0, |name| self.shares.served_tokens(name, now_ms));
            (request.order_key(served, now_ms), **ticket)
        });
        let mut order: Vec<_> = order.into_iter().map(|(ticket, _)| *ticket).collect();
        self.favour_oldest(&order, now_ms);
        if let Some(place) = self.favoured.and_then(|one| order.iter().position(|two| *two == one))
        {
            order[..=place].rotate_right(1);
        }
        order
    }

    /// Lets the oldest stream go first, once as many others have started. It stays first until it starts, since
    /// it may need more memory than becomes free at once.
    fn favour_oldest(&mut self, order: &[Ticket], now_ms: u64) {
        self.favoured = self.favoured.filter(|ticket| self.waiting.contains_key(ticket));
        if self.favoured.is_none() && self.starts >= OLDEST_EVERY {
            self.favoured = self.oldest(order, now_ms);
            self.starts = 0;
        }
    }

    /// The stream of `order` that has waited longest for its target latency, if that is over.
    fn oldest(&self, order: &[Ticket], now_ms: u64) -> Option<Ticket> {
        let overdue_share = |ticket: &Ticket| {
            let request = self.waiting.get(ticket)?;
            let waited_ms = now_ms.saturating_sub(request.arrived_ms) as f64;
            let share = waited_ms / request.target_latency_ms.max(1) as f64;
            (share >= 1.0).then_some(share)
        };
        let overdue = order.iter().filter_map(|ticket| Some((*ticket, overdue_share(ticket)?)));
        overdue.max_by(|left, right| left.1.total_cmp(&right.1)).map(|(ticket, _)| ticket)
    }
}
