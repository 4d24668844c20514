//! Finds out when lost links to upstreams are back.

use std::sync::Arc;

use comfreymast_base::Service;
use comfreymast_decide::link_watch::ConnectionKind;
use comfreymast_net::{OwnedConnection, collect, empty, request, within};
use comfreymast_platform::ResponseHead;

use crate::cold::retain_with_turns;
use crate::dispatch::Dispatch;
use crate::named_limit::retain_within_limits;
use crate::upstream_state::UpstreamState;

const INTERVAL_MS: u64 = 250;
const ANSWER_LIMIT_MS: u64 = 500;
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Probes have no identifier.
const NO_ID: &str = "";
/// How many upstreams of a service are asked in one round.
const PROBES: usize = 2;

/// Asks upstreams for their health, at once and then in rounds, while the links to their service are
/// lost.
pub(crate) async fn watch(dispatch: Arc<Dispatch>) {
    loop {
        let loss = dispatch.next_link_loss();
        let lost = dispatch.directory.load().lost_services();
        if lost.is_empty() {
            loss.await;
            continue;
        }
        for service in &lost {
            for upstream in choose(&dispatch, service) {
                let dispatch = dispatch.clone();
                let spawner = dispatch.spawner.clone();
                spawner.detach(async move {
                    probe(&dispatch, &upstream).await;
                });
            }
        }
        // A timeout means that no further links were lost.
        let _ = within(INTERVAL_MS, loss).await;
    }
}

/// Upstreams that take requests, drawn at random.
fn choose(dispatch: &Dispatch, service: &Service) -> Vec<Arc<UpstreamState>> {
    let upstreams = dispatch.directory.load();
    let now_ms = dispatch.clock.now_ms();
    let takes_requests = |upstream: &&Arc<UpstreamState>| {
        !upstream.is_leaving()
            && !dispatch.is_evacuated(upstream)
            && upstream.pause_left_ms(now_ms) == 0
    };
    let mut candidates: Vec<_> =
        upstreams.of_service(service).iter().filter(takes_requests).collect();
    retain_with_turns(dispatch, &mut candidates);
    retain_within_limits(dispatch, &mut candidates);
    candidates.sort_by_cached_key(|_| rand::random::<u32>());
    candidates.into_iter().take(PROBES).cloned().collect()
}

/// Asks one upstream for its health on a new connection. True if it answers, whatever that is, since that
/// says that the link is there. One in an evacuated data centre is not asked.
pub(crate) async fn probe(dispatch: &Dispatch, upstream: &UpstreamState) -> bool {
    if dispatch.is_evacuated(upstream) {
        return false;
    }
    let addr = upstream.record.addr;
    let limit_ms = dispatch.options.open_limit_ms;
    let Ok(mut connection) = OwnedConnection::open(&dispatch.spawner, addr, limit_ms).await else {
        return false;
    };
    let health_path = health_path(dispatch, &upstream.record.service);
    let sent_ms = dispatch.clock.now_ms();
    upstream.limit.record_send(sent_ms);
    dispatch.owe_turn(upstream);
    let sent = connection.send(request(addr, "GET", &health_path, empty()));
    let Ok(Ok(answer)) = within(ANSWER_LIMIT_MS, sent).await else { return false };
    dispatch.record_link_answer(upstream, ConnectionKind::New);
    let (parts, body) = answer.into_parts();
    let head = ResponseHead::decode(&parts, NO_ID);
    dispatch.record_head(upstream, &head, sent_ms);
    let body = collect(body, MAX_ANSWER_BYTES);
    if let Ok(Ok(_)) = within(ANSWER_LIMIT_MS, body).await
        && !head.closes_connection
    {
        let idle_ms = dispatch.options.idle_connection_ms;
        upstream.pool.put(connection, dispatch.clock.now_ms() + idle_ms);
    }
    true
}

fn health_path(dispatch: &Dispatch, service: &Service) -> String {
    const ROOT: &str = "/";
    let configuration = dispatch.configuration.load();
    let spec = configuration.as_ref().and_then(|configuration| configuration.service(service));
    spec.map_or_else(|| ROOT.to_owned(), |spec| spec.health_path.clone())
}
