use comfreymast_decide::answer_end::{AnswerEnd, BreakReason, Verdict, judge};
use comfreymast_net::{BodyFraming, OwnedConnection};

use crate::dispatch::Dispatch;
use crate::metrics::BreakLabels;
use crate::upstream_state::UpstreamState;

const DIAL_LIMIT_MS: u64 = 150;

/// Decides whether an answer that ended is whole, and counts it if it broke off.
///
/// # Errors
///
/// Why it is not whole.
pub(crate) async fn check_end(
    dispatch: &Dispatch,
    upstream: &UpstreamState,
    framing: BodyFraming,
    end: AnswerEnd,
) -> Result<(), BreakReason> {
    let reason = match judge(end) {
        Verdict::Whole => return Ok(()),
        Verdict::Broken(reason) => reason,
        Verdict::WholeIfUpstreamLives if refuses_connections(dispatch, upstream).await => {
            BreakReason::UpstreamEnded
        }
        Verdict::WholeIfUpstreamLives => return Ok(()),
    };
    let labels = BreakLabels { framing: framing.to_string(), reason: reason.to_string() };
    dispatch.metrics.broken_answers.get_or_create(&labels).inc();
    Err(reason)
}

/// True if the upstream refuses connections. A connection that opens is kept for later requests.
///
/// Only a refused connection shows that the upstream ended: a silent or broken connection may be
/// the network's fault.
async fn refuses_connections(dispatch: &Dispatch, upstream: &UpstreamState) -> bool {
    let addr = upstream.record.addr;
    match OwnedConnection::open(&dispatch.spawner, addr, DIAL_LIMIT_MS).await {
        Ok(connection) => {
            let idle_ms = dispatch.options.idle_connection_ms;
            upstream.pool.put(connection, dispatch.clock.now_ms() + idle_ms);
            false
        }
        Err(error) => error.is_refused(),
    }
}
