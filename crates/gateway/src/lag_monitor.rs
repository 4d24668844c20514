use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_executor::Task;
use comfreymast_base::StorePosition;
use comfreymast_decide::retry::jittered_ms;
use comfreymast_net::sleep_ms;

use crate::dispatch::Dispatch;
use crate::followed_topic::FollowedTopic;
use crate::metrics::{FetchLabels, TopicLabels};
use crate::topic_fetch::{Fetched, Wanted, fetch};
use crate::topic_positions::TopicPositions;

/// How long a peer may be ahead on a topic before this daemon fetches the topic, since short changes are
/// pushed.
const LAG_TOLERANCE_MS: u64 = 60;
/// How many peers are asked before a pause.
const ROUND_PEERS: usize = 3;
/// The pause once those were asked, before jitter. It doubles up to the longest one.
const MIN_PAUSE_MS: u64 = 40;
const MAX_PAUSE_MS: u64 = 320;

/// Catches up on a topic from peers that have been ahead of this daemon for a while.
pub(crate) struct LagMonitor {
    topic: MonitoredTopic,
    behind_since_ms: Option<u64>,
    /// The fetches until this daemon has caught up, one at a time.
    running: Option<Task<()>>,
    /// True once a peer's topic was applied, with what the store had lost.
    lost_fetched: Arc<AtomicBool>,
}

/// A topic, and where peers have it.
#[derive(Clone)]
pub(crate) struct MonitoredTopic {
    pub(crate) dispatch: Arc<Dispatch>,
    pub(crate) followed: Arc<FollowedTopic>,
    /// Where peers serve the topic.
    pub(crate) path: &'static str,
    /// The position in this topic.
    pub(crate) position_of: fn(TopicPositions) -> StorePosition,
}

impl LagMonitor {
    /// A monitor of a topic.
    pub(crate) fn new(topic: MonitoredTopic) -> Self {
        Self { topic, behind_since_ms: None, running: None, lost_fetched: Arc::default() }
    }

    /// Checks this daemon against the position that heartbeats and summaries have of the topic. A peer
    /// in a later era is followed at once, since this daemon's offsets mean nothing there.
    pub(crate) fn check(&mut self) {
        let now_ms = self.topic.dispatch.clock.now_ms();
        let source = self.source(now_ms);
        let behind_ms = self.behind_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        self.topic.record_behind(behind_ms);
        let is_running = self.running.as_ref().is_some_and(|running| !running.is_finished());
        if is_running {
            return;
        }
        let Some(source) = source else { return };
        self.topic.followed.refresh();
        let (topic, lost_fetched) = (self.topic.clone(), self.lost_fetched.clone());
        let spawner = &self.topic.dispatch.spawner;
        self.running =
            Some(spawner.spawn(async move { topic.catch_up(source, &lost_fetched).await }));
    }

    /// The peer from which to fetch the topic now: one that has been ahead for a while, or, for a
    /// daemon that started after the store came back, one that keeps what the store has lost.
    fn source(&mut self, now_ms: u64) -> Option<Source> {
        let followed = &self.topic.followed;
        let known = followed.position_if_loaded();
        let peers = &self.topic.dispatch.peers;
        let Some(source) = self.topic.source(&[]) else {
            self.behind_since_ms = None;
            let lacks_lost = followed.is_in_first_era()
                && !followed.keeps_lost_records()
                && !self.lost_fetched.load(Ordering::Acquire);
            let keeper = lacks_lost.then(|| peers.keeper_of_lost_records())??;
            return Some(Source { addr: keeper, position: known });
        };
        let behind_since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        let tolerance_ms = if source.position.era > known.era { 0 } else { LAG_TOLERANCE_MS };
        (now_ms - behind_since_ms >= tolerance_ms).then_some(source)
    }
}

impl MonitoredTopic {
    /// Fetches the topic, from one peer after the other, until no peer is ahead.
    async fn catch_up(self, first: Source, lost_fetched: &AtomicBool) {
        let mut asked = Vec::new();
        let mut pause_ms = MIN_PAUSE_MS;
        let mut next = Some(first);
        while let Some(source) = next {
            match self.fetch_from(source).await {
                Fetched::Applied { is_ahead } => {
                    if !is_ahead {
                        lost_fetched.store(true, Ordering::Release);
                    }
                    asked.clear();
                    pause_ms = MIN_PAUSE_MS;
                    // Others learn at once that they can have it here.
                    self.dispatch.notify_peers();
                }
                Fetched::Busy | Fetched::NotAhead | Fetched::Failed(_) => asked.push(source.addr),
            }
            next = self.source(&asked).filter(|_| asked.len() < ROUND_PEERS);
            if next.is_none() && !asked.is_empty() {
                sleep_ms(jittered_ms(pause_ms, rand::random())).await;
                pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
                asked.clear();
                next = self.source(&asked);
            }
        }
    }

    /// Asks one peer for the topic, and records what came of it.
    async fn fetch_from(&self, source: Source) -> Fetched {
        let clock = &self.dispatch.clock;
        let started_ms = clock.now_ms();
        let known = self.followed.position_if_loaded();
        let wanted = Wanted { path: self.path, after: (source.position > known).then_some(known) };
        let (mut outcome, length_bytes) =
            fetch(&self.dispatch.spawner, source.addr, &wanted, &self.followed).await;
        // A daemon of an earlier release sends its topic in any case.
        let is_further = self.followed.position_if_loaded() > known;
        if matches!(outcome, Fetched::Applied { .. }) && wanted.after.is_some() && !is_further {
            outcome = Fetched::NotAhead;
        }
        let metrics = &self.dispatch.metrics;
        let labels = FetchLabels { topic: self.path, outcome: outcome.label() };
        metrics.topic_fetches.get_or_create(&labels).inc();
        metrics.topic_fetched_bytes.inc_by(length_bytes as u64);
        if !matches!(outcome, Fetched::Busy | Fetched::NotAhead) {
            log::info!(target: "comfreymast", code = 1505, peer:% = source.addr, path = self.path,
                position:% = source.position, known:% = self.followed.position(), outcome:%,
                length_bytes, took_ms = clock.now_ms() - started_ms;
                "requested a topic from a peer that is ahead");
        }
        outcome
    }

    /// A peer that is ahead, none of those `asked`.
    fn source(&self, asked: &[SocketAddr]) -> Option<Source> {
        let known = self.followed.position_if_loaded();
        let (addr, position) = self.dispatch.peers.topic_source(self.position_of, known, asked)?;
        Some(Source { addr, position })
    }

    fn record_behind(&self, behind_ms: u64) {
        let gauges = &self.dispatch.metrics.topic_behind_ms;
        let gauge = gauges.get_or_create(&TopicLabels { topic: self.path });
        gauge.set(i64::try_from(behind_ms).unwrap_or(i64::MAX));
    }
}

/// A peer to fetch a topic from.
#[derive(Clone, Copy, Debug)]
struct Source {
    addr: SocketAddr,
    /// How far the peer is.
    position: StorePosition,
}
