use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use comfreymast_base::StorePosition;
use comfreymast_net::{OwnedConnection, Spawner, collect, empty, request, within};
use comfreymast_wire::news::TopicSnapshot;
use prost::Message;

use crate::dispatch::Dispatch;
use crate::followed_topic::FollowedTopic;
use crate::topic_positions::TopicPositions;

const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;
/// How long a peer may be ahead on a topic before this daemon fetches the topic from it.
const LAG_TOLERANCE_MS: u64 = 150;
const FETCH_TIMEOUT_MS: u64 = 1_500;
const MIN_FETCH_INTERVAL_MS: u64 = 400;

/// Fetches a topic from a peer that has been ahead of this daemon for a while.
pub(crate) struct LagMonitor {
    dispatch: Arc<Dispatch>,
    followed: Arc<FollowedTopic>,
    /// Where peers serve the topic.
    path: &'static str,
    behind_since_ms: Option<u64>,
    last_fetch_ms: u64,
    /// True once a peer's topic was applied, with what the store had lost.
    lost_fetched: Arc<AtomicBool>,
}

impl LagMonitor {
    /// A monitor of a topic, which peers serve at `path`.
    pub(crate) fn new(
        dispatch: &Arc<Dispatch>,
        followed: &Arc<FollowedTopic>,
        path: &'static str,
    ) -> Self {
        Self {
            dispatch: dispatch.clone(),
            followed: followed.clone(),
            path,
            behind_since_ms: None,
            last_fetch_ms: 0,
            lost_fetched: Arc::default(),
        }
    }

    /// Checks this daemon against the position that heartbeats and summaries have of the topic. A peer
    /// in a later era is followed at once, since this daemon's offsets mean nothing there.
    pub(crate) fn check(&mut self, of_topic: impl Fn(TopicPositions) -> StorePosition) {
        let now_ms = self.dispatch.clock.now_ms();
        let Some(source) = self.source(of_topic, now_ms) else { return };
        if now_ms - self.last_fetch_ms < MIN_FETCH_INTERVAL_MS {
            return;
        }
        self.last_fetch_ms = now_ms;
        self.followed.refresh();
        let (spawner, path) = (self.dispatch.spawner.clone(), self.path);
        let (followed, lost_fetched) = (self.followed.clone(), self.lost_fetched.clone());
        self.dispatch.spawner.detach(async move {
            let outcome = fetch(&spawner, source.addr, path).await;
            let is_fetched = outcome.is_some();
            log::info!(target: "comfreymast", code = 1505, peer:% = source.addr, path,
                position:% = source.position, known:% = followed.position(), fetched = is_fetched;
                "requested a topic from a peer that is ahead");
            if outcome.is_some_and(|snapshot| followed.apply_snapshot(snapshot)) {
                lost_fetched.store(true, Ordering::Release);
            }
        });
    }

    /// The peer from which to fetch the topic now: one that has been ahead for a while, or, for a
    /// daemon that started after the store came back, one that keeps what the store has lost.
    fn source(
        &mut self,
        of_topic: impl Fn(TopicPositions) -> StorePosition,
        now_ms: u64,
    ) -> Option<Source> {
        let known = self.followed.position_if_loaded();
        let ahead = self.dispatch.peers.furthest_ahead(of_topic);
        let Some((addr, position)) = ahead.filter(|(_, position)| *position > known) else {
            self.behind_since_ms = None;
            let lacks_lost = self.followed.is_in_first_era()
                && !self.followed.keeps_lost_records()
                && !self.lost_fetched.load(Ordering::Acquire);
            let keeper = lacks_lost.then(|| self.dispatch.peers.keeper_of_lost_records())??;
            return Some(Source { addr: keeper, position: known });
        };
        let behind_since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        let tolerance_ms = if position.era > known.era { 0 } else { LAG_TOLERANCE_MS };
        (now_ms - behind_since_ms >= tolerance_ms).then_some(Source { addr, position })
    }
}

/// A peer to fetch a topic from.
#[derive(Clone, Copy, Debug)]
struct Source {
    addr: SocketAddr,
    /// How far the peer is.
    position: StorePosition,
}

async fn fetch(spawner: &Spawner, addr: SocketAddr, path: &str) -> Option<TopicSnapshot> {
    let exchange = async {
        let mut connection = OwnedConnection::open(spawner, addr, FETCH_TIMEOUT_MS).await.ok()?;
        let response = connection.send(request(addr, "GET", path, empty())).await.ok()?;
        let bytes = collect(response.into_body(), MAX_SNAPSHOT_BYTES).await.ok()?;
        TopicSnapshot::decode(bytes).ok()
    };
    within(FETCH_TIMEOUT_MS, exchange).await.ok().flatten()
}
