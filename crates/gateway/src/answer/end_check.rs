use std::sync::Arc;

use comfreymast_decide::answer_end::{AnswerEnd, BreakReason, Verdict, judge};
use comfreymast_decide::upstream_end::{EndStep, EndWatch, EndWatchOptions};
use comfreymast_net::BodyFraming;

use crate::dispatch::Dispatch;
use crate::end_probe::EndProbe;
use crate::metrics::BreakLabels;
use crate::upstream_state::UpstreamState;

/// Decides whether an answer that ended is whole, and counts it if it broke off. An upstream whose
/// connection marks the end is watched for `watch_ms`, in case that its port closes later.
///
/// # Errors
///
/// Why it is not whole.
pub(crate) async fn check_end(
    dispatch: &Arc<Dispatch>,
    upstream: &Arc<UpstreamState>,
    framing: BodyFraming,
    end: AnswerEnd,
    watch_ms: u64,
) -> Result<(), BreakReason> {
    let reason = match judge(end) {
        Verdict::Whole => return Ok(()),
        Verdict::Broken(reason) => reason,
        Verdict::WholeIfUpstreamLives if has_ended(dispatch, upstream, watch_ms).await => {
            BreakReason::UpstreamEnded
        }
        Verdict::WholeIfUpstreamLives => return Ok(()),
    };
    let labels = BreakLabels { framing: framing.to_string(), reason: reason.to_string() };
    dispatch.metrics.broken_answers.get_or_create(&labels).inc();
    Err(reason)
}

async fn has_ended(dispatch: &Arc<Dispatch>, upstream: &Arc<UpstreamState>, watch_ms: u64) -> bool {
    const MAX_DIALS: u32 = 2;
    let options =
        EndWatchOptions { watch_ms, restart_ms: 0, first_pause_ms: 0, max_dials: MAX_DIALS };
    let mut watch = EndWatch::new(options);
    let mut probe = EndProbe::new(dispatch, upstream);
    let mut step = EndStep::Dial { after_ms: 0 };
    loop {
        let sign = match step {
            EndStep::Dial { .. } => probe.dial().await,
            EndStep::Watch { for_ms } => probe.watch(for_ms).await,
            EndStep::Ended => return true,
            EndStep::NotEnded | EndStep::AwaitRestart { .. } => return false,
        };
        step = watch.after(sign);
    }
}
