use std::future::Future;
use std::sync::Arc;

use comfreymast_decide::link_watch::ConnectionKind;
use comfreymast_net::{ReceivedBody, SendError, sleep_ms, within};
use futures_lite::future;
use hyper::Response;

use crate::dispatch::Dispatch;
use crate::link_probe::probe;
use crate::upstream_state::UpstreamState;

/// An answer is overdue after so many times the usual latency of its upstream, within these bounds.
const OVERDUE_FACTOR: f64 = 4.0;
const MIN_OVERDUE_MS: u64 = 250;
const MAX_OVERDUE_MS: u64 = 1_000;
const POLL_MS: u64 = 100;

/// Why the head of an answer is not waited for any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadFailure {
    /// The time limit has passed.
    TimedOut,
    /// This daemon has lost its links to the upstreams, and the request may be sent again elsewhere.
    LinksLost,
}

/// Waits for the head of an answer, and notices an upstream that is silent meanwhile.
pub(crate) struct HeadWait<'a> {
    pub(crate) dispatch: &'a Dispatch,
    pub(crate) upstream: &'a Arc<UpstreamState>,
    /// The connection on which the request was sent.
    pub(crate) kind: ConnectionKind,
    /// True if the request may be sent again although it may have run.
    pub(crate) may_send_again: bool,
}

impl HeadWait<'_> {
    /// Waits `limit_ms` at most for what `sent` returns.
    pub(crate) async fn run(
        &self,
        limit_ms: u64,
        sent: impl Future<Output = Result<Response<ReceivedBody>, SendError>>,
    ) -> Result<Result<Response<ReceivedBody>, SendError>, HeadFailure> {
        let answer = async { Ok(sent.await) };
        let lost = async {
            self.wait_until_lost().await;
            Err(HeadFailure::LinksLost)
        };
        within(limit_ms, future::or(answer, lost)).await.unwrap_or(Err(HeadFailure::TimedOut))
    }

    /// Completes once links are surely lost, that to this upstream too, if the request may be sent again.
    pub(crate) async fn wait_until_lost(&self) {
        let clock = &self.dispatch.clock;
        let sent_ms = clock.now_ms();
        let overdue_ms = self.overdue_ms();
        sleep_ms(overdue_ms).await;
        loop {
            let now_ms = clock.now_ms();
            let heard_ms = self.upstream.last_heard_ms().max(sent_ms);
            if now_ms.saturating_sub(heard_ms) >= overdue_ms {
                self.dispatch.record_link_failure(self.upstream, self.kind);
                let may_be_lost = self.may_send_again && self.upstream.links.is_surely_lost(now_ms);
                if may_be_lost && !probe(self.dispatch, self.upstream).await {
                    return;
                }
            }
            sleep_ms(POLL_MS).await;
        }
    }

    fn overdue_ms(&self) -> u64 {
        let usual_ms = self.upstream.latency_ms();
        if usual_ms == 0.0 {
            return MAX_OVERDUE_MS;
        }
        ((usual_ms * OVERDUE_FACTOR) as u64).clamp(MIN_OVERDUE_MS, MAX_OVERDUE_MS)
    }
}
