use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use comfreymast_base::{Clock, Service};
use comfreymast_decide::route_history::{RouteHistory, RouteKey, RouteServices};
use comfreymast_decide::stream_origins::{OriginKey, StreamOrigin, StreamOrigins};
use comfreymast_fleet::{Configuration, Route};
use event_listener::{Event, EventListener};

use crate::on_demand::OnDemand;

/// The most replies to one question that wait to be read.
const MAX_REPLIES: usize = 32;

/// The most streams of this daemon that wait to be written to the store.
const MAX_UNWRITTEN: usize = 4_096;

/// A stream that this daemon began, and that is not in the store.
#[derive(Clone, Debug)]
pub(super) struct UnwrittenOrigin {
    pub(super) service: Service,
    pub(super) key: OriginKey,
    pub(super) origin: StreamOrigin,
}

/// The streams whose origin this daemon knows, and what it asks others.
#[derive(Debug)]
pub(crate) struct OriginState {
    origins: Mutex<StreamOrigins>,
    /// The services of the routes of streams, while this daemon runs.
    routes: Mutex<RouteHistory>,
    unwritten: Mutex<VecDeque<UnwrittenOrigin>>,
    /// Notified of each addition to `unwritten`.
    unwritten_added: Event,
    /// Reading what the store has.
    pub(super) reads: OnDemand,
    /// Who waits for the replies to a question.
    waiting: Mutex<HashMap<OriginKey, Vec<Sender<Option<StreamOrigin>>>>>,
}

impl OriginState {
    /// Nothing is known.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            origins: Mutex::default(),
            routes: Mutex::default(),
            unwritten: Mutex::default(),
            unwritten_added: Event::new(),
            reads: OnDemand::new(clock),
            waiting: Mutex::default(),
        }
    }

    /// Takes the routes of a configuration into account. Those of earlier ones still count for `take_up_ms`,
    /// as streams that began under them may be taken up.
    pub(crate) fn apply_configuration(
        &self,
        configuration: &Configuration,
        take_up_ms: u64,
        now_ms: u64,
    ) {
        let streams = configuration.routes.iter().filter(|route| route.is_stream);
        let routes = streams.map(|route| RouteServices {
            key: route_key(route),
            services: route.services().cloned().collect(),
        });
        lock(&self.routes).apply(routes, take_up_ms, now_ms);
    }

    /// The services that a route has had since `since_ms`.
    pub(super) fn services_of(&self, route: &Route, since_ms: u64) -> BTreeSet<Service> {
        lock(&self.routes).services(&route_key(route), since_ms)
    }

    /// True if a stream of `service` may have begun at another one, as far as its route tells.
    pub(super) fn has_alternatives(&self, service: &Service, since_ms: u64) -> bool {
        lock(&self.routes).has_alternatives(service, since_ms)
    }

    /// Adds a stream that this daemon began.
    pub(super) fn add_unwritten(&self, stream: UnwrittenOrigin) {
        let mut unwritten = lock(&self.unwritten);
        if unwritten.len() >= MAX_UNWRITTEN {
            unwritten.pop_front();
        }
        unwritten.push_back(stream);
        drop(unwritten);
        self.unwritten_added.notify(usize::MAX);
    }

    /// Completes when the next stream is added.
    pub(super) fn next_unwritten(&self) -> EventListener {
        self.unwritten_added.listen()
    }

    /// Takes the streams of services that `is_needed` names, and drops those that nobody takes up any
    /// more.
    pub(super) fn take_unwritten(
        &self,
        mut is_needed: impl FnMut(&Service) -> bool,
        now_ms: u64,
    ) -> Vec<UnwrittenOrigin> {
        let mut unwritten = lock(&self.unwritten);
        unwritten.retain(|stream| stream.origin.expires_ms > now_ms);
        let all = unwritten.drain(..);
        let (taken, left): (Vec<_>, Vec<_>) = all.partition(|stream| is_needed(&stream.service));
        unwritten.extend(left);
        taken
    }

    /// Puts streams back that could not be written.
    pub(super) fn put_back(&self, streams: Vec<UnwrittenOrigin>) {
        let mut unwritten = lock(&self.unwritten);
        for stream in streams.into_iter().rev() {
            unwritten.push_front(stream);
        }
        unwritten.truncate(MAX_UNWRITTEN);
    }

    /// Adds a stream.
    pub(super) fn record(&self, key: OriginKey, origin: StreamOrigin, now_ms: u64) {
        lock(&self.origins).record(key, origin, now_ms);
    }

    /// What is known of a stream.
    pub(super) fn find(&self, key: &OriginKey, now_ms: u64) -> Option<StreamOrigin> {
        lock(&self.origins).find(key, now_ms).cloned()
    }

    /// The replies to a question about `key`, from now on.
    pub(super) fn replies(&self, key: OriginKey) -> Receiver<Option<StreamOrigin>> {
        let (sender, replies) = async_channel::bounded(MAX_REPLIES);
        let mut waiting = lock(&self.waiting);
        waiting.retain(|_, senders| {
            senders.retain(|sender| !sender.is_closed());
            !senders.is_empty()
        });
        waiting.entry(key).or_default().push(sender);
        replies
    }

    /// Gives a reply to those who wait for it.
    pub(super) fn reply(&self, key: &OriginKey, origin: Option<&StreamOrigin>) {
        for sender in lock(&self.waiting).get(key).into_iter().flatten() {
            // Fails if the question has been answered.
            let _ = sender.try_send(origin.cloned());
        }
    }
}

fn route_key(route: &Route) -> RouteKey {
    (route.host.clone(), route.path_prefix.clone())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
