use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use comfreymast_base::{Service, Upstream};
use comfreymast_decide::placement::PlacementOptions;
use comfreymast_decide::room::forecast::{Capacity, HoldingTime};
use comfreymast_decide::room::order::RoomRequest;
use comfreymast_decide::room::peers::{ClassLoad, Elsewhere, WaitLoads};
use comfreymast_decide::room::queue::{Ahead, Attempt, RoomQueue, Ticket};
use comfreymast_decide::room::turn_away::{
    MIN_WAIT_SHARE, Verdict, judge, latest_start_ms, unknown_retry_ms,
};
use comfreymast_decide::software_version::VersionNeed;

use super::outcome_log::{log_rejected, log_started};
use super::signal::RoomSignal;
use super::stream_need::StreamNeed;
use super::upstreams_view::UpstreamsView;
use crate::dispatch::Dispatch;
use crate::generation::{Placement, PlacementNeed, Reservation, generation_key, place};
use crate::send::Outstanding;

/// How soon a stream is tried again whose upstreams name limits or are brittle: no event tells when they take
/// one more request.
const LIMITED_RETRY_MS: u64 = 40;

/// An engine for a stream.
#[derive(Debug)]
pub(crate) struct Granted {
    /// The engine.
    pub(crate) placement: Placement,
    /// The memory that is reserved there.
    pub(crate) reservation: Reservation,
    /// Counts the stream as running there before it is sent, since the next one is placed meanwhile.
    pub(crate) outstanding: Outstanding,
}

/// How a wait for room ended.
#[derive(Debug)]
pub(crate) enum RoomOutcome {
    /// The stream has an engine.
    Placed(Box<Granted>),
    /// Each upstream that may run it was tried, and none was reached.
    Unreached,
    /// No upstream of its software version is left.
    NoVersion,
    /// All upstreams pause for this time.
    Paused {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// No engine has room, and none is expected to have in time.
    Full {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
}

impl RoomOutcome {
    /// A rejection without a forecast.
    pub(super) fn full_unknown(request: &RoomRequest, now_ms: u64) -> Self {
        Self::Full { retry_after_ms: unknown_retry_ms(request, now_ms) }
    }
}

/// The streams that wait at one service.
#[derive(Debug)]
pub(crate) struct ServiceRoom {
    pub(super) service: Service,
    pub(super) signal: Arc<RoomSignal>,
    state: Mutex<State>,
    /// What waits at other daemons. It has a lock of its own, since news are applied during a walk too.
    elsewhere: Mutex<Arc<Elsewhere>>,
}

#[derive(Debug, Default)]
struct State {
    queue: RoomQueue,
    waiters: HashMap<Ticket, Waiter>,
    holding: HoldingTime,
    /// True while a task walks over the queue.
    is_driven: bool,
}

#[derive(Debug)]
struct Waiter {
    need: StreamNeed,
    outcome: Sender<RoomOutcome>,
    is_new: bool,
}

/// A waiting stream; leaves the queue when dropped.
pub(super) struct Waiting {
    pub(super) outcome: Receiver<RoomOutcome>,
    ticket: Ticket,
    room: Arc<ServiceRoom>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.room.state();
        let left = state.waiters.remove(&self.ticket);
        state.queue.remove(self.ticket);
        drop(state);
        if left.is_some() {
            self.room.signal.notify();
        }
    }
}

impl ServiceRoom {
    pub(super) fn new(service: Service, signal: Arc<RoomSignal>) -> Self {
        Self { service, signal, state: Mutex::default(), elsewhere: Mutex::default() }
    }

    /// Learns from a stream that ended.
    pub(super) fn record_end(&self, work_ms: u64, held_ms: u64) {
        self.state().holding.observe_end(work_ms, held_ms);
    }

    /// What waits here, by class.
    pub(super) fn loads(&self) -> WaitLoads {
        self.state().queue.loads()
    }

    /// Replaces what is known to wait at other daemons.
    pub(super) fn set_elsewhere(&self, elsewhere: Elsewhere) {
        *self.elsewhere.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(elsewhere);
    }

    fn elsewhere(&self) -> Arc<Elsewhere> {
        self.elsewhere.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Starts a stream if none waits and an engine has room.
    pub(super) fn start_at_once(
        &self,
        dispatch: &Dispatch,
        need: &StreamNeed,
    ) -> Option<RoomOutcome> {
        if !self.state().queue.is_empty() {
            return None;
        }
        let elsewhere = self.elsewhere();
        if need.has_engine && !elsewhere.is_empty() {
            let now_ms = dispatch.clock.now_ms();
            let view = UpstreamsView::new(dispatch, &self.service, now_ms);
            let capacity = view.capacity(&need.version, &need.spec);
            if elsewhere.must_yield(&need.request, &capacity, now_ms) {
                return None;
            }
        }
        let granted = self.place(dispatch, need, None)?;
        let now_ms = dispatch.clock.now_ms();
        let mut state = self.state();
        state.queue.record_start(&need.request, now_ms);
        state.holding.observe_start(need.request.need_tokens, need.request.work_ms());
        drop(state);
        Some(RoomOutcome::Placed(Box::new(granted)))
    }

    /// Adds a stream to the queue. True if nobody walks over it yet.
    pub(super) fn enter(self: &Arc<Self>, need: StreamNeed) -> (Waiting, bool) {
        let (sender, outcome) = async_channel::bounded(1);
        let mut state = self.state();
        let ticket = state.queue.push(need.request.clone());
        state.waiters.insert(ticket, Waiter { need, outcome: sender, is_new: true });
        let must_drive = !std::mem::replace(&mut state.is_driven, true);
        drop(state);
        self.signal.notify();
        (Waiting { outcome, ticket, room: self.clone() }, must_drive)
    }

    /// Starts or rejects the waiting streams that can be, and returns when to do so again at the latest;
    /// `None` once none waits.
    pub(super) fn walk(&self, dispatch: &Dispatch) -> Option<u64> {
        let now_ms = dispatch.clock.now_ms();
        let view = UpstreamsView::new(dispatch, &self.service, now_ms);
        let elsewhere = self.elsewhere();
        let mut state = self.state();
        let State { queue, waiters, holding, is_driven } = &mut *state;
        let mut walk = Walk {
            room: self,
            dispatch,
            view: &view,
            holding: *holding,
            elsewhere: &elsewhere,
            now_ms,
            next_ms: u64::MAX,
            held: None,
            capacity: None,
            least_unfit_tokens: u64::MAX,
        };
        let mut ended = Vec::new();
        queue.walk(now_ms, |ticket, request, ahead| {
            let Some(waiter) = waiters.get_mut(&ticket) else { return Attempt::Left };
            let Some(outcome) = walk.attempt(waiter, ahead) else { return Attempt::Waits };
            let is_placed = matches!(outcome, RoomOutcome::Placed(_));
            ended.push((ticket, outcome));
            if is_placed {
                walk.holding.observe_start(request.need_tokens, request.work_ms());
            }
            if is_placed { Attempt::Started } else { Attempt::Left }
        });
        queue.forget_idle(now_ms);
        let next_ms = walk.next_ms;
        let learned = walk.holding;
        let ended: Vec<_> = ended
            .into_iter()
            .filter_map(|(ticket, outcome)| Some((waiters.remove(&ticket)?, outcome)))
            .collect();
        *holding = learned;
        let is_empty = queue.is_empty();
        *is_driven = !is_empty;
        drop(state);
        for (waiter, outcome) in ended {
            // Fails only if the stream has just left; a reservation is then released.
            let _ = waiter.outcome.try_send(outcome);
        }
        (!is_empty).then_some(next_ms)
    }

    /// Places a stream and reserves its memory. `held` is an engine that is kept for another stream.
    fn place(
        &self,
        dispatch: &Dispatch,
        need: &StreamNeed,
        held: Option<&Upstream>,
    ) -> Option<Granted> {
        let mut excluded = need.excluded.clone();
        excluded.extend(held.cloned());
        let placement_need = PlacementNeed {
            service: &self.service,
            spec: &need.spec,
            version: &need.version,
            tokens: need.request.need_tokens,
            near: &dispatch.settings.load().data_centre,
            excluded: &excluded,
        };
        let options = if dispatch.is_large_fleet.load(Ordering::Acquire) {
            PlacementOptions::with_delayed_updates()
        } else {
            PlacementOptions::default()
        };
        let placement = place(dispatch, &placement_need, &options)?;
        let key = generation_key(&need.id);
        let now_ms = dispatch.clock.now_ms();
        let tokens = need.request.need_tokens;
        let reservation = Reservation::new(&placement.upstream, key, tokens, now_ms);
        let outstanding = Outstanding::new(&placement.upstream);
        Some(Granted { placement, reservation, outstanding })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One walk over the queue of a service.
struct Walk<'a> {
    room: &'a ServiceRoom,
    dispatch: &'a Dispatch,
    view: &'a UpstreamsView,
    holding: HoldingTime,
    elsewhere: &'a Elsewhere,
    now_ms: u64,
    /// When the next decision is due without an event.
    next_ms: u64,
    /// The engine that is kept for a stream which has waited its share.
    held: Option<Upstream>,
    /// What the engines have for a stream of any version, once it was asked for.
    capacity: Option<Capacity>,
    /// The least that a stream without further needs did not get.
    least_unfit_tokens: u64,
}

impl Walk<'_> {
    /// Starts or rejects a stream; `None` if it goes on waiting.
    fn attempt(&mut self, waiter: &mut Waiter, ahead: Ahead) -> Option<RoomOutcome> {
        let is_new = std::mem::replace(&mut waiter.is_new, false);
        let need = &waiter.need;
        if ahead.held_tokens.is_none() {
            self.held = None;
        }
        if let Some(granted) = self.place(need) {
            log_started(self.dispatch, need, &ahead, self.now_ms);
            return Some(RoomOutcome::Placed(Box::new(granted)));
        }
        if let Some(outcome) = self.check_upstreams(need) {
            return Some(outcome);
        }
        if let Some(retry_after_ms) = self.check_time(need, ahead, is_new) {
            log_rejected(self.dispatch, need, &ahead, self.now_ms, retry_after_ms);
            return Some(RoomOutcome::Full { retry_after_ms });
        }
        let protected_ms = RoomQueue::protected_from_ms(&need.request);
        let may_hold = need.has_engine && !self.view.is_limited;
        if may_hold && self.now_ms >= protected_ms {
            let first = || self.view.first_to_have_room(&need.version, &need.excluded);
            self.held = self.held.take().or_else(first);
        } else if may_hold {
            self.next_ms = self.next_ms.min(protected_ms);
        }
        None
    }

    fn place(&mut self, need: &StreamNeed) -> Option<Granted> {
        let is_plain = need.version == VersionNeed::Any && need.excluded.is_empty();
        let tokens = need.request.need_tokens;
        if is_plain && tokens >= self.least_unfit_tokens {
            return None;
        }
        if need.has_engine && !self.elsewhere.is_empty() {
            let capacity = self.capacity(need);
            if self.elsewhere.must_yield(&need.request, &capacity, self.now_ms) {
                self.next_ms = self.next_ms.min(Elsewhere::yields_until_ms(&need.request));
                return None;
            }
        }
        let placed = self.room.place(self.dispatch, need, self.held.as_ref());
        if placed.is_some() {
            self.capacity = None;
        }
        if placed.is_none() && is_plain {
            self.least_unfit_tokens = tokens;
        }
        placed
    }

    fn capacity(&mut self, need: &StreamNeed) -> Capacity {
        if need.version != VersionNeed::Any {
            return self.view.capacity(&need.version, &need.spec);
        }
        *self.capacity.get_or_insert_with(|| self.view.capacity(&need.version, &need.spec))
    }

    /// Ends a wait that is of no use, whatever becomes free.
    fn check_upstreams(&mut self, need: &StreamNeed) -> Option<RoomOutcome> {
        let mut usable = self.view.usable(&need.version).peekable();
        let has_none = usable.peek().is_none();
        let all_tried = usable.all(|upstream| need.excluded.contains(&upstream.record.name));
        if need.is_unsent && !need.excluded.is_empty() && all_tried {
            return Some(RoomOutcome::Unreached);
        }
        if has_none && need.version != VersionNeed::Any {
            return Some(RoomOutcome::NoVersion);
        }
        let pause_ms = self.view.pause_ms(&need.version)?;
        if self.now_ms + pause_ms >= min_wait_until_ms(&need.request) {
            return Some(RoomOutcome::Paused { retry_after_ms: pause_ms });
        }
        self.next_ms = self.next_ms.min(self.now_ms + pause_ms);
        None
    }

    /// The delay before a retry if the stream waits no longer.
    fn check_time(&mut self, need: &StreamNeed, ahead: Ahead, is_new: bool) -> Option<u64> {
        let has_usable = self.view.usable(&need.version).next().is_some();
        if self.view.is_limited {
            self.next_ms = self.next_ms.min(self.now_ms + LIMITED_RETRY_MS);
        }
        // What these wait for is not told by the streams that end.
        if !need.has_engine || self.view.is_limited || !has_usable {
            let until_ms = min_wait_until_ms(&need.request);
            self.next_ms = self.next_ms.min(until_ms);
            return (self.now_ms >= until_ms).then(|| unknown_retry_ms(&need.request, self.now_ms));
        }
        let capacity = self.capacity(need);
        let tokens = need.request.need_tokens;
        let own = if is_new {
            ahead.backlog
        } else {
            ClassLoad { count: ahead.count, tokens: ahead.tokens }
        };
        let elsewhere = self.elsewhere.as_urgent(&need.request, self.now_ms);
        let wait_ms = self.holding.wait_ms(&capacity, own.plus(elsewhere), tokens);
        match judge(&need.request, wait_ms, is_new, self.now_ms, rand::random()) {
            Verdict::TurnAway { retry_after_ms } => Some(retry_after_ms),
            Verdict::Wait => {
                self.next_ms = self.next_ms.min(latest_start_ms(&need.request));
                None
            }
        }
    }
}

/// Until when a stream waits if it is not known what for.
fn min_wait_until_ms(request: &RoomRequest) -> u64 {
    request.arrived_ms + (request.target_latency_ms as f64 * MIN_WAIT_SHARE) as u64
}
