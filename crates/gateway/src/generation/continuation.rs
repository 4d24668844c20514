use std::sync::Arc;

use comfreymast_decide::placement::PlacementOptions;
use comfreymast_fleet::RetryPolicy;
use comfreymast_net::within;
use comfreymast_platform::CopyLocation;

use super::mover::MoveOutcome;
use super::placement::{PlacementNeed, place};
use super::relay::{Relay, Source};
use super::reservation::Reservation;
use crate::answer::{EventStream, StreamStep};
use crate::metrics::MoveLabels;
use crate::quarantine::LastProgress;
use crate::room::continued_priority;
use crate::send::{SendFailure, SendOptions, Sent, send};
use crate::upstream_state::UpstreamState;

/// How long to read the remaining events of a stream whose generation was stopped.
const STOPPED_READ_MS: u64 = 60;
/// The time limit for an engine to continue a generation from a copy.
const CONTINUE_LIMIT_MS: u64 = 1_500;

/// Continuing a stream after a move or an interruption.
impl Relay {
    /// Continues a generation that was stopped for a move, at its target or else at its source.
    pub(super) async fn continue_moved(
        &mut self,
        moved: MoveOutcome,
        mut source: Source,
    ) -> Option<Source> {
        let started_ms = self.dispatch.clock.now_ms();
        let leaving = self.upstream.clone();
        let (candidates, copy, events) = match moved {
            MoveOutcome::Arrived { target, reservation, copy, events } => {
                self.reservation = reservation;
                self.list_generation();
                self.dispatch.notify_peers();
                (vec![target, leaving.clone()], copy, events)
            }
            MoveOutcome::Kept { copy } => (vec![leaving.clone()], copy, self.events),
            MoveOutcome::Stays { .. } => return None,
        };
        self.relay_remaining(&mut source, events).await?;
        self.lacks_event |= source.events.unfinished_bytes() > 0;
        drop(source);
        for target in candidates {
            self.dispatch.budget.record_retry(&self.service, self.dispatch.clock.now_ms());
            let sent_ms = self.dispatch.clock.now_ms();
            match self.continue_at(&target, Some(&copy)).await {
                Ok(next) => {
                    self.upstream = target;
                    self.awaits_place = self.last_event.is_some();
                    self.moves += 1;
                    let pause_ms = self.dispatch.clock.now_ms() - started_ms;
                    self.log_moved(&leaving, pause_ms);
                    return Some(next);
                }
                Err(failure) => self.record_not_continued(&target, failure, sent_ms).await,
            }
        }
        None
    }

    /// Relays the events that a generation made before it was stopped.
    async fn relay_remaining(&mut self, source: &mut Source, events: u64) -> Option<()> {
        let started_ms = self.dispatch.clock.now_ms();
        while self.events < events {
            let waited_ms = self.dispatch.clock.now_ms() - started_ms;
            let left_ms = STOPPED_READ_MS.saturating_sub(waited_ms);
            match within(left_ms, source.events.next()).await {
                Ok(StreamStep::Event(event)) => self.deliver(event).await.ok()?,
                // An incomplete event is dropped; the continued stream sends it again whole.
                Ok(StreamStep::BlankLines(_) | StreamStep::End(_)) | Err(_) => break,
            }
        }
        Some(())
    }

    /// Continues an interrupted stream at another upstream, if its route is resumable.
    pub(super) async fn resume(&mut self) -> Option<Source> {
        let mut tried = vec![self.upstream.record.name.clone()];
        // Events without ids do not tell where to go on.
        let has_place = self.events == 0 || self.last_event.is_some();
        let is_resumable = self.call.route.retry_policy == RetryPolicy::Resumable && has_place;
        let mut is_counted = false;
        while is_resumable && self.runs < self.call.route.max_attempts {
            if self.dispatch.has_lost_links(&self.service) {
                return None;
            }
            // A send that reached no upstream is none.
            if !is_counted && !self.dispatch.try_retry(&self.service) {
                return None;
            }
            let options = PlacementOptions::default();
            let need_tokens = self.need_tokens();
            let need = PlacementNeed {
                service: &self.service,
                spec: &self.spec,
                version: &self.version,
                tokens: need_tokens,
                near: &self.dispatch.settings.load().data_centre,
                excluded: &tried,
            };
            let target = place(&self.dispatch, &need, &options)?.upstream;
            tried.push(target.record.name.clone());
            let sent_ms = self.dispatch.clock.now_ms();
            let reservation = Reservation::new(&target, self.key, need_tokens, sent_ms);
            match self.continue_at(&target, None).await {
                Ok(next) => {
                    self.runs += 1;
                    self.reservation = reservation;
                    self.upstream = target;
                    self.awaits_place = self.last_event.is_some();
                    return Some(next);
                }
                Err(failure) => {
                    self.record_not_continued(&target, failure, sent_ms).await;
                    is_counted = failure == SendFailure::Unreached;
                    if matches!(failure, SendFailure::Lost(_)) {
                        self.runs += 1;
                    }
                }
            }
        }
        None
    }

    async fn continue_at(
        &self,
        target: &Arc<UpstreamState>,
        resume_from: Option<&CopyLocation>,
    ) -> Result<Source, SendFailure> {
        let left_ms = self.call.remaining_ms(&self.dispatch.clock);
        let options = SendOptions {
            limit_ms: if resume_from.is_some() { left_ms.min(CONTINUE_LIMIT_MS) } else { left_ms },
            priority: Some(continued_priority(
                &self.dispatch,
                &self.call,
                &self.service,
                &self.shape,
            )),
            last_event: self.last_event.as_ref(),
            resume_from,
        };
        let sent = send(&self.dispatch, &self.call, target, &options).await?;
        if !sent.is_event_stream() || !sent.answer.is_signed || sent.answer.is_encoded {
            return Err(SendFailure::Lost("stream was not continued"));
        }
        let Sent { connection, answer, body, outstanding, .. } = sent;
        let events = EventStream::new(body);
        Ok(Source { events, connection, answer, _outstanding: outstanding })
    }

    fn log_moved(&self, leaving: &UpstreamState, pause_ms: u64) {
        const MS_PER_S: f64 = 1_000.0;
        self.dispatch.metrics.moves.get_or_create(&MoveLabels { outcome: "moved" }).inc();
        self.dispatch.metrics.move_pause_s.observe(pause_ms as f64 / MS_PER_S);
        let since_notice_ms = leaving.since_notice_ms(self.dispatch.clock.now_ms());
        log::info!(target: "comfreymast", code = 1405, request = &*self.call.head.id,
            upstream = leaving.record.name.as_str(), version = leaving.version_text(),
            to = self.upstream.record.name.as_str(), to_version = self.upstream.version_text(),
            pause_ms, since_notice_ms, events = self.events; "generation moved");
    }

    async fn record_not_continued(
        &self,
        target: &Arc<UpstreamState>,
        failure: SendFailure,
        sent_ms: u64,
    ) {
        log::warn!(target: "comfreymast", code = 1406, request = &*self.call.head.id,
            upstream = target.record.name.as_str(), version = target.version_text(), failure:?,
            last_event:? = self.last_event;
            "stream not continued");
        if matches!(failure, SendFailure::Lost(_)) {
            let tokens = self.generated_tokens();
            let progress = LastProgress { tokens, alive_ms: sent_ms, is_past_start: false };
            self.report_if_ended(target, progress).await;
        }
    }
}
