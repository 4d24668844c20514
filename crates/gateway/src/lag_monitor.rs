use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::StorePosition;
use comfreymast_net::{OwnedConnection, Spawner, collect, empty, request, within};
use comfreymast_wire::news::TopicSnapshot;
use prost::Message;

use crate::dispatch::Dispatch;
use crate::follow::FollowedTopic;
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
        }
    }

    /// Checks this daemon against the position that heartbeats and summaries have of the topic. A peer
    /// in a later era is followed at once, since this daemon's offsets mean nothing there.
    pub(crate) fn check(&mut self, of_topic: impl Fn(TopicPositions) -> StorePosition) {
        let Self { dispatch, followed, path, .. } = self;
        let path = *path;
        let ahead = dispatch.peers.furthest_ahead(of_topic);
        let now_ms = dispatch.clock.now_ms();
        let known = followed.position_if_loaded();
        let Some((addr, position)) = ahead.filter(|(_, position)| *position > known) else {
            self.behind_since_ms = None;
            return;
        };
        let behind_since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        let tolerance_ms = if position.era > known.era { 0 } else { LAG_TOLERANCE_MS };
        if now_ms - behind_since_ms < tolerance_ms
            || now_ms - self.last_fetch_ms < MIN_FETCH_INTERVAL_MS
        {
            return;
        }
        self.last_fetch_ms = now_ms;
        followed.refresh();
        let spawner = dispatch.spawner.clone();
        let followed = followed.clone();
        dispatch.spawner.detach(async move {
            let outcome = fetch(&spawner, addr, path).await;
            let is_fetched = outcome.is_some();
            log::info!(target: "comfreymast", code = 1505, peer:% = addr, path, position:%,
                known:% = followed.position(), fetched = is_fetched;
                "requested a topic from a peer that is ahead");
            if let Some(snapshot) = outcome {
                followed.apply_snapshot(snapshot);
            }
        });
    }
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
