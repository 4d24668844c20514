use std::sync::Arc;

use comfreymast_base::{Upstream, hex};
use comfreymast_decide::quarantine::DeathReport;

use super::fingerprint;
use super::suspicion::report_death;
use crate::answer::refuses_connections;
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

/// How far an upstream was with a request when the connection to it broke, or when it did not
/// answer in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LastProgress {
    /// Number of tokens of the answer that had arrived.
    pub(crate) tokens: u64,
    /// When the upstream last gave a sign of life: it accepted the request, or sent an event.
    pub(crate) alive_ms: u64,
}

/// Checks whether an upstream ended while it ran `call`; if so, suspects the call and tells peers.
pub(crate) async fn report_if_ended(
    dispatch: &Arc<Dispatch>,
    call: &Call,
    upstream: &UpstreamState,
    progress: LastProgress,
) {
    if !has_ended(dispatch, upstream).await {
        return;
    }
    let record = &upstream.record;
    let fingerprint = fingerprint(call);
    let silent_ms = dispatch.clock.now_ms().saturating_sub(progress.alive_ms);
    dispatch.metrics.upstream_ends.inc();
    log::warn!(target: "comfreymast", code = 1308, request = &*call.head.id,
        upstream = record.name.as_str(), started_unix_ms = record.started_unix_ms,
        fingerprint = hex::encode(&fingerprint), tokens = progress.tokens, silent_ms;
        "upstream ended while it ran a request");
    // Names and addresses are used again, so only the start tells one upstream from the next.
    let started_unix_ms = record.started_unix_ms.unwrap_or(0);
    let identity = format!("{}@{}#{started_unix_ms}", record.name, record.addr);
    let report = DeathReport {
        fingerprint,
        upstream: Upstream::from(identity),
        progress_tokens: u32::try_from(progress.tokens).unwrap_or(u32::MAX),
        last_alive_ms: progress.alive_ms,
    };
    report_death(dispatch, &report);
}

/// True if the upstream refuses connections and has not announced that it would: an upstream that
/// is leaving ends for another reason.
async fn has_ended(dispatch: &Dispatch, upstream: &UpstreamState) -> bool {
    !upstream.is_leaving()
        && refuses_connections(dispatch, upstream).await
        && !upstream.is_leaving()
}
