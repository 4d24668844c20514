use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use comfreymast_base::{Clock, Service};
use comfreymast_decide::fleet_budget::{FleetBudgetOptions, Traffic, TrafficWindow, may_retry};
use comfreymast_decide::link_watch::ConnectionKind;
use comfreymast_decide::links::Member;
use comfreymast_decide::upstream_limit::FleetNews;
use comfreymast_fleet::Configuration;
use comfreymast_net::{Spawner, sleep_ms};
use comfreymast_platform::VmSettings;
use event_listener::{Event, EventListener};

use crate::GatewayOptions;
use crate::answer::BufferBudget;
use crate::directory::Directory;
use crate::forward::ForwardPools;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::peers::Peers;
use crate::quarantine::QuarantineState;
use crate::room::Rooms;
use crate::stream_origin::OriginState;
use crate::upstream_state::UpstreamState;
use crate::version_records::VersionRecordState;

/// The share of the retry budget that is used; the rest covers delayed updates of other daemons.
const USED_SHARE: f64 = 0.75;

/// How long before the platform ends the process callers have their answers, and the last connection was accepted.
const STOP_MARGIN_MS: u64 = 150;

/// How long after its start a daemon knows most of its peers.
const PEERS_KNOWN_MS: u64 = 1_000;

/// State that all requests of a gateway share.
#[derive(Debug)]
pub(crate) struct Dispatch {
    /// Spawns tasks.
    pub(crate) spawner: Spawner,
    /// The clock.
    pub(crate) clock: Clock,
    /// Time limits.
    pub(crate) options: GatewayOptions,
    /// The settings that the platform gives this VM.
    pub(crate) settings: arc_swap::ArcSwap<VmSettings>,
    /// The configuration in force; `None` until the first is known.
    pub(crate) configuration: ArcSwapOption<Configuration>,
    /// The upstreams.
    pub(crate) directory: Directory,
    /// The retry budget: requests and retries, over all daemons.
    pub(crate) budget: Budget,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// The memory of answers that are read whole.
    pub(crate) answer_buffers: Arc<BufferBudget>,
    /// The other daemons.
    pub(crate) peers: Peers,
    /// Messages to other daemons that do not wait for the next heartbeat.
    pub(crate) outbox: Outbox,
    /// The requests that are suspected of crashing upstreams.
    pub(crate) quarantine: QuarantineState,
    /// What began streams.
    pub(crate) origins: OriginState,
    /// What the store has of the software versions of services.
    pub(crate) version_records: VersionRecordState,
    /// Streams that wait for an engine with room.
    pub(crate) rooms: Rooms,
    /// Connections to peers that serve calls for this daemon.
    pub(crate) forward_pools: ForwardPools,
    /// True if the settings name other daemons.
    has_seeds: bool,
    /// Notified when links to upstreams are lost.
    link_loss: Event,
    /// Notified when the store has come back from an older copy.
    store_return: Event,
    /// Notified when the next heartbeat to peers is to be sent early.
    peer_notice: Event,
    /// True in a large fleet, where updates from other data centres are delayed.
    pub(crate) is_large_fleet: AtomicBool,
    /// True once the daemon was told to stop.
    draining: AtomicBool,
    /// Notified when the daemon is told to stop.
    drain_start: Event,
    drain_started_ms: AtomicU64,
    store_silent_ms: AtomicU64,
}

impl Dispatch {
    /// The state of a gateway that has just started.
    pub(crate) fn new(
        spawner: Spawner,
        clock: Clock,
        settings: VmSettings,
        options: GatewayOptions,
    ) -> Self {
        let me = Member { name: settings.name.clone(), data_centre: settings.data_centre.clone() };
        Self {
            budget: Budget::new(settings.retry_window_ms),
            answer_buffers: BufferBudget::of_vm(settings.memory_bytes),
            directory: Directory::new(clock.clone()),
            peers: Peers::new(clock.clone(), me, settings.peers_addr),
            outbox: Outbox::new(spawner.clone()),
            quarantine: QuarantineState::new(),
            origins: OriginState::new(clock.clone()),
            version_records: VersionRecordState::new(clock.clone()),
            rooms: Rooms::default(),
            forward_pools: ForwardPools::default(),
            has_seeds: settings.seed_addrs.iter().any(|addr| *addr != settings.peers_addr),
            link_loss: Event::new(),
            spawner,
            clock,
            options,
            settings: arc_swap::ArcSwap::from_pointee(settings),
            configuration: ArcSwapOption::empty(),
            metrics: Metrics::new(),
            store_return: Event::new(),
            peer_notice: Event::new(),
            is_large_fleet: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_start: Event::new(),
            drain_started_ms: AtomicU64::new(0),
            store_silent_ms: AtomicU64::new(0),
        }
    }

    /// Puts `configuration` in force if it is newer than the one in force.
    pub(crate) fn apply_configuration(&self, configuration: Configuration) {
        let known = self.configuration.load().as_ref().map_or(0, |known| known.version);
        if configuration.version <= known {
            return;
        }
        log::info!(target: "comfreymast", code = 1203, version = configuration.version,
            previous = known, routes = configuration.routes.len(); "configuration in force");
        self.rooms.apply_configuration(&configuration);
        self.version_records.apply_configuration(&configuration);
        let take_up_ms = self.version_records.take_up_ms();
        self.origins.apply_configuration(&configuration, take_up_ms, self.clock.now_ms());
        self.configuration.store(Some(Arc::new(configuration)));
    }

    /// True while this daemon has lost its links to the upstreams of `service`.
    pub(crate) fn has_lost_links(&self, service: &Service) -> bool {
        self.directory.load().has_lost_links(service)
    }

    /// Records that an upstream was heard on such a connection.
    pub(crate) fn record_link_answer(&self, upstream: &UpstreamState, kind: ConnectionKind) {
        let now_ms = self.clock.now_ms();
        upstream.record_heard(now_ms);
        if !upstream.links.has_failures() {
            return;
        }
        let count = self.directory.load().remaining_count(&upstream.links.service);
        let name = &upstream.record.name;
        if let Some(lost_ms) = upstream.links.record_answer(name, kind, count, now_ms) {
            log::info!(target: "comfreymast", code = 1315,
                service = upstream.links.service.as_str(), lost_ms,
                upstream = upstream.record.name.as_str(); "links to upstreams are back");
            self.notify_peers();
        }
    }

    /// Records that an upstream was not reached, broke off before its answer, or is overdue with it.
    pub(crate) fn record_link_failure(&self, upstream: &UpstreamState, kind: ConnectionKind) {
        let links = &upstream.links;
        let count = self.directory.load().remaining_count(&links.service);
        let now_ms = self.clock.now_ms();
        if links.record_failure(&upstream.record.name, kind, count, now_ms) {
            self.metrics.link_losses.inc();
            log::warn!(target: "comfreymast", code = 1314, service = links.service.as_str(),
                upstreams = count, upstream = upstream.record.name.as_str(), connection:? = kind;
                "links to upstreams lost");
            self.link_loss.notify(usize::MAX);
            self.notify_peers();
        }
    }

    /// Completes at the next loss of links to upstreams.
    pub(crate) fn next_link_loss(&self) -> EventListener {
        self.link_loss.listen()
    }

    /// Requests an early heartbeat to peers, after a change in what this daemon runs.
    pub(crate) fn notify_peers(&self) {
        self.peer_notice.notify(usize::MAX);
    }

    /// Completes at the next request for an early heartbeat.
    pub(crate) fn next_notice(&self) -> EventListener {
        self.peer_notice.listen()
    }

    /// Applies the load and traffic of all other daemons, if updates have arrived since the last
    /// call.
    pub(crate) fn apply_peer_updates(&self) {
        let Some(mut sum) = self.peers.new_sum() else { return };
        self.rooms.set_elsewhere(self, std::mem::take(&mut sum.queues).into_loads());
        for upstream in self.directory.load().all() {
            let engine = sum.engines.remove(upstream.record.name.as_str()).unwrap_or_default();
            upstream.set_others_generations(engine.generations);
            upstream.others_runs.store(engine.runs, Ordering::Release);
            upstream.others_reserved_tokens.store(engine.reserved_tokens, Ordering::Release);
            upstream.others_prefill_tokens.store(engine.prefill_tokens, Ordering::Release);
            let told = sum.limits.remove(upstream.record.name.as_str()).unwrap_or_default();
            upstream.limit.apply_news(&upstream.record.name, told, self.clock.now_ms());
        }
        let services = sum.services.into_iter();
        let services = services.map(|(name, traffic)| (Service::from(name), traffic));
        self.budget.set_others(services.collect());
    }

    /// What this daemon knows of the others, for limits that they share.
    pub(crate) fn fleet_news(&self) -> FleetNews {
        const LARGE_FLEET_LAG_MS: u64 = 1_000;
        let is_large = self.is_large_fleet.load(Ordering::Acquire);
        let lag_ms =
            if is_large { LARGE_FLEET_LAG_MS } else { 2 * self.options.heartbeat_interval_ms };
        FleetNews { peers: self.peers.count() as u64, lag_ms }
    }

    /// Records that the store has come back from an older copy, in `era`.
    pub(crate) fn record_store_return(&self, era: u64) {
        self.metrics.store_returns.inc();
        self.metrics.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
        self.version_records.forget_stored();
        self.store_return.notify(usize::MAX);
    }

    /// Completes when the store next comes back from an older copy.
    pub(crate) fn next_store_return(&self) -> EventListener {
        self.store_return.listen()
    }

    /// True while this daemon has just started and does not know whether peers read the store for it. It
    /// has read the store once by then; if all daemons followed it from the start, it would meet all of
    /// them at once after a restart of the whole fleet.
    pub(crate) fn is_awaiting_peers(&self) -> bool {
        self.has_seeds && self.clock.now_ms() < PEERS_KNOWN_MS
    }

    /// True if this daemon is one of the few that read the store often, for all.
    pub(crate) fn is_store_reader(&self) -> bool {
        let readers = if self.is_large_fleet.load(Ordering::Acquire) {
            self.options.store_readers_per_data_centre
        } else {
            self.options.store_readers
        };
        self.peers.readers_before() < readers
    }

    /// Records that no daemon can read from the store.
    pub(crate) fn record_store_silence(&self) {
        self.store_silent_ms.store(self.clock.now_ms().max(1), Ordering::Release);
    }

    /// The time since no daemon could read from the store; `None` if that was never so.
    pub(crate) fn store_silence_age_ms(&self) -> Option<u64> {
        let silent_ms = self.store_silent_ms.load(Ordering::Acquire);
        (silent_ms > 0).then(|| self.clock.now_ms().saturating_sub(silent_ms))
    }

    /// Starts the drain: from now on, this daemon takes no work that it cannot finish in time.
    pub(crate) fn start_draining(&self) {
        self.drain_started_ms.store(self.clock.now_ms(), Ordering::Release);
        self.draining.store(true, Ordering::Release);
        self.drain_start.notify(usize::MAX);
    }

    /// How long after it was told to stop the daemon takes requests. What is sent to upstreams later would
    /// hardly end in time.
    pub(crate) fn accept_ms(&self) -> u64 {
        let grace_ms = self.settings.load().grace_ms;
        self.options.drain_grace_ms.min(grace_ms.saturating_sub(STOP_MARGIN_MS))
    }

    /// True once the daemon stops so soon that it takes no more requests.
    pub(crate) fn takes_no_more(&self) -> bool {
        let started_ms = self.drain_started_ms.load(Ordering::Acquire);
        self.is_draining() && self.clock.now_ms() >= started_ms + self.accept_ms()
    }

    /// Completes shortly before the platform ends the daemon.
    pub(crate) async fn wait_end(&self) {
        let started = self.drain_start.listen();
        if !self.is_draining() {
            started.await;
        }
        let left_ms = self.stops_in_ms().unwrap_or(0);
        sleep_ms(left_ms.saturating_sub(STOP_MARGIN_MS)).await;
    }

    /// True once the daemon was told to stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The time left of the grace period that the VM gives a daemon told to stop; `None` before.
    pub(crate) fn stops_in_ms(&self) -> Option<u64> {
        let started_ms = self.drain_started_ms.load(Ordering::Acquire);
        let grace_ms = self.settings.load().grace_ms;
        self.is_draining().then(|| (started_ms + grace_ms).saturating_sub(self.clock.now_ms()))
    }

    /// The share of the retry budget's slack that may be used. A fleet whose daemons have all just
    /// started does not know what was used before, in the window that has not ended.
    fn known_slack_share(&self, window_ms: u64) -> f64 {
        // So that the first failures after a start need not reach callers.
        const MIN_SHARE: f64 = 0.1;
        let uptime_ms = self.clock.now_ms();
        if uptime_ms >= window_ms || self.peers.longest_uptime_ms() >= window_ms {
            return 1.0;
        }
        let unused_share = (1.0 - USED_SHARE) / USED_SHARE;
        (unused_share * uptime_ms as f64 / window_ms as f64).max(MIN_SHARE)
    }

    /// True when one more send of a request of `service` is within the fleet's retry budget; the
    /// send is then counted.
    pub(crate) fn try_retry(&self, service: &Service) -> bool {
        let settings = self.settings.load();
        let options = FleetBudgetOptions {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack * self.known_slack_share(settings.retry_window_ms),
            used_share: USED_SHARE,
        };
        self.apply_peer_updates();
        let allowed = self.budget.try_retry(service, &options, self.clock.now_ms());
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }
}

/// The requests and retries of each service: this daemon's own, and the sum of all others.
#[derive(Debug)]
pub(crate) struct Budget {
    window_ms: u64,
    own: Mutex<HashMap<Service, TrafficWindow>>,
    others: Mutex<HashMap<Service, Traffic>>,
}

impl Budget {
    fn new(window_ms: u64) -> Self {
        Self { window_ms, own: Mutex::default(), others: Mutex::default() }
    }

    /// Counts a caller's request.
    pub(crate) fn record_request(&self, service: &Service, now_ms: u64) {
        self.with_window(service, |window| window.record_request(now_ms));
    }

    /// Counts a send beyond the first of a request that is made regardless of the budget.
    pub(crate) fn record_retry(&self, service: &Service, now_ms: u64) {
        self.with_window(service, |window| window.record_retry(now_ms));
    }

    fn try_retry(&self, service: &Service, options: &FleetBudgetOptions, now_ms: u64) -> bool {
        let others = self.others.lock().unwrap_or_else(PoisonError::into_inner);
        let others = others.get(service).copied().unwrap_or_default();
        self.with_window(service, |window| {
            let allowed = may_retry(window.total(now_ms).plus(others), options);
            if allowed {
                window.record_retry(now_ms);
            }
            allowed
        })
    }

    /// This daemon's counts.
    pub(crate) fn own(&self, now_ms: u64) -> Vec<(Service, Traffic)> {
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        own.iter_mut().map(|(service, window)| (service.clone(), window.total(now_ms))).collect()
    }

    /// Replaces the sum of all other daemons' counts.
    pub(crate) fn set_others(&self, others: HashMap<Service, Traffic>) {
        *self.others.lock().unwrap_or_else(PoisonError::into_inner) = others;
    }

    fn with_window<T>(
        &self,
        service: &Service,
        use_window: impl FnOnce(&mut TrafficWindow) -> T,
    ) -> T {
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        let window =
            own.entry(service.clone()).or_insert_with(|| TrafficWindow::new(self.window_ms));
        use_window(window)
    }
}
