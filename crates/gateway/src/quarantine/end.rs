use std::sync::Arc;

use async_channel::{Sender, bounded};
use comfreymast_base::{Upstream, hex};
use comfreymast_decide::quarantine::{DeathReport, RequestContent};
use comfreymast_decide::upstream_end::{EndSign, EndStep, EndWatch, EndWatchOptions};
use comfreymast_net::{sleep_ms, within};

use super::content::content;
use super::suspicion::report_death;
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::end_probe::EndProbe;
use crate::end_witness::is_ended;
use crate::upstream_state::UpstreamState;

/// How far an upstream was with a request when the connection to it broke, or when it did not
/// answer in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LastProgress {
    /// Number of tokens of the answer that had arrived.
    pub(crate) tokens: u64,
    /// When the upstream last gave a sign of life: it accepted the request, or sent an event.
    pub(crate) alive_ms: u64,
    /// True once the upstream had begun to answer and lived on, which says that no part of the prompt
    /// crashes it.
    pub(crate) is_past_start: bool,
}

/// Checks whether an upstream ended while it ran `call`; if so, suspects the call and tells peers.
///
/// Returns after the first sign. The check goes on without the call, which may have lost its caller.
pub(crate) async fn report_if_ended(
    dispatch: &Arc<Dispatch>,
    call: &Call,
    upstream: &Arc<UpstreamState>,
    progress: LastProgress,
) {
    if upstream.is_leaving() && !upstream.has_restarted() {
        return;
    }
    if upstream.brittleness.is_brittle(dispatch.clock.now_ms()) {
        // What it had to turn away may have ended it.
        return;
    }
    let mut content = content(call).clone();
    let mut shared_parts = call.head.shared_parts.clone();
    if progress.is_past_start {
        content.parts.clear();
        shared_parts.clear();
    }
    let check = EndCheck {
        dispatch: dispatch.clone(),
        upstream: upstream.clone(),
        request: call.head.id.clone(),
        content,
        shared_parts,
        progress,
        probe: EndProbe::new(dispatch, upstream),
    };
    let (first_sign, seen) = bounded::<()>(1);
    dispatch.spawner.detach(check.run(first_sign));
    // Fails once the check has dropped its end of the channel.
    let _ = seen.recv().await;
}

/// The check of one upstream after a request broke off there.
struct EndCheck {
    dispatch: Arc<Dispatch>,
    upstream: Arc<UpstreamState>,
    request: Arc<str>,
    content: RequestContent,
    shared_parts: Vec<Arc<str>>,
    progress: LastProgress,
    probe: EndProbe,
}

impl EndCheck {
    /// Runs the check to its end. `first_sign` is dropped once the first dial has an outcome and, if
    /// that shows the end, the report is made.
    async fn run(mut self, first_sign: Sender<()>) {
        let mut first_sign = Some(first_sign);
        let mut watch = EndWatch::new(EndWatchOptions::default());
        let mut step = EndStep::Dial { after_ms: 0 };
        let mut signs = Vec::new();
        loop {
            let sign = match step {
                EndStep::Dial { after_ms } => {
                    sleep_ms(after_ms).await;
                    self.probe.dial().await
                }
                EndStep::Watch { for_ms } => self.probe.watch(for_ms).await,
                EndStep::AwaitRestart { for_ms } => self.await_restart(for_ms).await,
                EndStep::Ended if self.is_credible(&signs).await => return self.report(),
                EndStep::Ended => {
                    // If it was started again at once, that is what let a peer in.
                    drop(first_sign.take());
                    signs.push(EndSign::AcceptedByPeer);
                    step = watch.after(EndSign::AcceptedByPeer);
                    continue;
                }
                EndStep::NotEnded => return self.log_no_end(&signs),
            };
            // What an upstream has announced explains why it refuses connections.
            let sign = self.change().unwrap_or(sign);
            signs.push(sign);
            step = watch.after(sign);
            if step != EndStep::Ended {
                drop(first_sign.take());
            }
        }
    }

    /// True unless the last sign is a refusal that tells only of this daemon's links.
    async fn is_credible(&self, signs: &[EndSign]) -> bool {
        signs.last() != Some(&EndSign::Refused) || is_ended(&self.dispatch, &self.upstream).await
    }

    async fn await_restart(&self, for_ms: u64) -> EndSign {
        // A timeout means that nothing has changed.
        let _ = within(for_ms, self.upstream.wait_leaving()).await;
        EndSign::NoNews
    }

    /// What the upstream's entry says, if it has changed.
    fn change(&self) -> Option<EndSign> {
        if self.upstream.has_restarted() {
            return Some(EndSign::Restarted);
        }
        self.upstream.is_leaving().then_some(EndSign::Left)
    }

    fn log_no_end(&self, signs: &[EndSign]) {
        log::info!(target: "comfreymast", code = 1309, request = &*self.request,
            upstream = self.upstream.record.name.as_str(),
            fingerprint = hex::encode(&self.content.fingerprint), signs:? = signs;
            "no end of an upstream found after its answer broke off");
    }

    fn report(&self) {
        let Self { dispatch, upstream, content, progress, .. } = self;
        let record = &upstream.record;
        let silent_ms = dispatch.clock.now_ms().saturating_sub(progress.alive_ms);
        dispatch.metrics.upstream_ends.inc();
        log::warn!(target: "comfreymast", code = 1308, request = &*self.request,
            upstream = record.name.as_str(), started_unix_ms = record.started_unix_ms,
            fingerprint = hex::encode(&content.fingerprint), parts = self.shared_parts.join(","),
            tokens = progress.tokens, silent_ms,
            restarted = upstream.has_restarted(); "upstream ended while it ran a request");
        // Names and addresses are used again, so only the start tells one upstream from the next.
        let started_unix_ms = record.started_unix_ms.unwrap_or(0);
        let identity = format!("{}@{}#{started_unix_ms}", record.name, record.addr);
        let report = DeathReport {
            content: content.clone(),
            upstream: Upstream::from(identity),
            progress_tokens: u32::try_from(progress.tokens).unwrap_or(u32::MAX),
            last_alive_ms: progress.alive_ms,
            known_since_ms: Some(upstream.first_seen_ms()),
        };
        report_death(dispatch, &report, &self.shared_parts);
    }
}
