use std::sync::atomic::Ordering;

use comfreymast_decide::speed::UsualEngine;

use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

/// Events are taken together until they span this time, so that packets that arrive together make
/// no odd observation.
const MIN_SPAN_MS: u64 = 80;
/// A first event that a usual engine sends sooner than this says more of the network.
const MIN_FIRST_EVENT_MS: f64 = 40.0;
/// How long a stream tells nothing after its reader was slow, as what the engine sent meanwhile
/// arrives together.
const SLOW_READER_MS: u64 = 1_000;

/// The send of a request, with what the engine had to do before its first event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamSend {
    sent_ms: u64,
    runs: u32,
    prompt_tokens: u64,
    /// True if the engine could begin at once, and the network is near.
    is_telling: bool,
}

impl StreamSend {
    /// A request that is sent to `upstream` now; its prompt is already counted there.
    pub(crate) fn now(dispatch: &Dispatch, upstream: &UpstreamState) -> Self {
        let now_ms = dispatch.clock.now_ms();
        let runs = runs(upstream);
        let is_near = upstream.record.data_centre == dispatch.settings.load().data_centre;
        let is_warm = upstream.cold_ms(now_ms) == 0;
        Self {
            sent_ms: now_ms,
            runs,
            prompt_tokens: prompt_tokens(upstream),
            is_telling: is_near && is_warm && runs < upstream.record.slots,
        }
    }
}

/// The times between the events of one stream at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamPace {
    /// Until the first event.
    send: Option<StreamSend>,
    span: Option<Span>,
    quiet_until_ms: u64,
}

/// Events that are taken together.
#[derive(Clone, Copy, Debug)]
struct Span {
    since_ms: u64,
    /// What a usual engine would have taken.
    usual_ms: f64,
}

impl StreamPace {
    /// A stream whose request was sent as in `send`; `None` for one that continues.
    pub(crate) fn new(send: Option<StreamSend>) -> Self {
        Self { send, ..Self::default() }
    }

    /// Records an event of `tokens` from `upstream`. `is_held_up` is true if the caller does not read
    /// fast enough.
    pub(crate) fn record_event(
        &mut self,
        dispatch: &Dispatch,
        upstream: &UpstreamState,
        tokens: u32,
        is_held_up: bool,
    ) {
        let now_ms = dispatch.clock.now_ms();
        if is_held_up {
            self.quiet_until_ms = now_ms + SLOW_READER_MS;
        }
        let observed = match self.send.take() {
            Some(send) => observe_first(send, tokens, now_ms),
            None => self.observe(upstream, tokens, now_ms),
        };
        self.span.get_or_insert(Span { since_ms: now_ms, usual_ms: 0.0 });
        if now_ms < self.quiet_until_ms {
            self.span = None;
            return;
        }
        let Some((took_ms, usual_ms)) = observed else { return };
        if upstream.speed.record(took_ms, usual_ms, now_ms) {
            dispatch.notify_peers();
        }
    }

    fn observe(
        &mut self,
        upstream: &UpstreamState,
        tokens: u32,
        now_ms: u64,
    ) -> Option<(f64, f64)> {
        let span = self.span.as_mut()?;
        let usual = UsualEngine::default();
        span.usual_ms += usual.event_ms(tokens, runs(upstream), prompt_tokens(upstream));
        let took_ms = now_ms.saturating_sub(span.since_ms);
        if took_ms < MIN_SPAN_MS {
            return None;
        }
        let usual_ms = self.span.take()?.usual_ms;
        // A cold engine is slow for a reason that placement counts already.
        (upstream.cold_ms(now_ms) == 0).then_some((took_ms as f64, usual_ms))
    }
}

fn observe_first(send: StreamSend, tokens: u32, now_ms: u64) -> Option<(f64, f64)> {
    let usual = UsualEngine::default();
    let usual_ms = usual.first_event_ms(tokens, send.runs, send.prompt_tokens);
    let took_ms = now_ms.saturating_sub(send.sent_ms);
    (send.is_telling && usual_ms >= MIN_FIRST_EVENT_MS).then_some((took_ms as f64, usual_ms))
}

/// The generations on an engine, over all daemons.
fn runs(upstream: &UpstreamState) -> u32 {
    let own = upstream.outstanding.load(Ordering::Acquire);
    own.saturating_add(upstream.others_runs.load(Ordering::Acquire))
}

/// The prompt tokens that an engine has yet to read, over all daemons.
fn prompt_tokens(upstream: &UpstreamState) -> u64 {
    let own = upstream.prefill_tokens.load(Ordering::Acquire);
    own.saturating_add(upstream.others_prefill_tokens.load(Ordering::Acquire))
}
