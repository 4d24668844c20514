use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_base::NamedRequest;
use comfreymast_net::{OwnedConnection, collect, sleep_ms, within};
use comfreymast_platform::{EngineReport, ResponseHead, decode_report, report_request};

use crate::dispatch::Dispatch;
use crate::followed_topic::FollowedTopic;
use crate::upstream_state::UpstreamState;

const INTERVAL_MS: u64 = 250;
const REPORT_TIMEOUT_MS: u64 = 200;
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Requests for reports have no identifier.
const NO_ID: &str = "";
/// The age that a report is assumed to have when it arrives.
const REPORT_LAG_MS: u64 = 500;
/// The usual time between an engine's notice and its shutdown.
const USUAL_NOTICE_MS: u64 = 1_550;

/// Polls the engines that run this daemon's generations for a pending shutdown, while the store
/// answers neither this daemon nor its peers.
pub(crate) async fn watch(dispatch: Arc<Dispatch>, upstreams: Arc<FollowedTopic>) {
    let mut is_store_silent = false;
    loop {
        sleep_ms(INTERVAL_MS).await;
        let own_age_ms = upstreams.answer_age_ms();
        let age_ms = dispatch
            .peers
            .store_answer_age_ms()
            .map_or(own_age_ms, |age_ms| age_ms.min(own_age_ms));
        if age_ms < dispatch.options.store_silence_ms || !upstreams.is_loaded() {
            if std::mem::take(&mut is_store_silent) {
                log::info!(target: "comfreymast", code = 1207, age_ms, own_age_ms;
                    "store answers some daemon again");
            }
            continue;
        }
        if !std::mem::replace(&mut is_store_silent, true) {
            log::warn!(target: "comfreymast", code = 1206, age_ms, own_age_ms,
                position:% = upstreams.position(); "store answers no daemon");
        }
        dispatch.record_store_silence();
        for engine in dispatch.directory.load().all() {
            let is_used = engine.reserved_tokens.load(Ordering::Acquire) > 0;
            let is_paused = engine.pause_left_ms(dispatch.clock.now_ms()) > 0;
            let is_asked = !engine.is_leaving() && !dispatch.is_evacuated(engine);
            if is_used && !is_paused && is_asked {
                dispatch.spawner.detach(check_engine(dispatch.clone(), engine.clone()));
            }
        }
    }
}

async fn check_engine(dispatch: Arc<Dispatch>, engine: Arc<UpstreamState>) {
    let Some(report) =
        within(REPORT_TIMEOUT_MS, fetch_report(&dispatch, &engine)).await.ok().flatten()
    else {
        return;
    };
    if !report.is_leaving {
        return;
    }
    let now_ms = dispatch.clock.now_ms();
    let stays_ms = report.leaves_ms.unwrap_or(USUAL_NOTICE_MS).saturating_sub(REPORT_LAG_MS);
    let notice_ms = now_ms.saturating_add(stays_ms).saturating_sub(USUAL_NOTICE_MS);
    if engine.mark_leaving(notice_ms) {
        log::info!(target: "comfreymast", code = 1306, upstream = engine.record.name.as_str(),
            stays_ms; "engine reported that it is leaving");
    }
}

async fn fetch_report(dispatch: &Dispatch, engine: &UpstreamState) -> Option<EngineReport> {
    if !dispatch.take_turn(engine) {
        return None;
    }
    let addr = engine.record.addr;
    let mut connection = match engine.pool.take(dispatch.clock.now_ms()) {
        Some(connection) => connection,
        None => OwnedConnection::open(&dispatch.spawner, addr, REPORT_TIMEOUT_MS).await.ok()?,
    };
    let sent_ms = dispatch.clock.now_ms();
    engine.limit.record_send(sent_ms);
    let (parts, body) = connection.send(report_request(addr)).await.ok()?.into_parts();
    let head = ResponseHead::decode(&parts, NO_ID);
    if head.named == NamedRequest::Other {
        // An answer of a request stands where the report was due.
        engine.mark_untrusted(dispatch.clock.now_ms());
        return None;
    }
    dispatch.record_head(engine, &head, sent_ms);
    let bytes = collect(body, MAX_REPORT_BYTES).await.ok()?;
    let idle_ms = dispatch.options.idle_connection_ms;
    engine.pool.put(connection, dispatch.clock.now_ms() + idle_ms);
    if !parts.status.is_success() {
        return None;
    }
    match decode_report(&bytes) {
        Ok(report) => Some(report),
        Err(error) => {
            log::warn!(target: "comfreymast", code = 1307, upstream = engine.record.name.as_str(),
                error:%; "engine report cannot be decoded");
            None
        }
    }
}
