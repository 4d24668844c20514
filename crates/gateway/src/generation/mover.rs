use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreymast_base::{Service, Upstream};
use comfreymast_decide::evacuation::{EvacuationOptions, turn_wait_ms};
use comfreymast_decide::move_steps::{CopyOutcome, MoveProgress, MoveStep, StayReason};
use comfreymast_decide::placement::PlacementOptions;
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_fleet::EngineSpec;
use comfreymast_net::{OwnedConnection, collect, sleep_ms, within};
use comfreymast_platform::{
    CopyLocation, GenerationCopy, MoveError, ResponseHead, decode_move_reply, move_request,
};

use super::placement::{PlacementNeed, place};
use super::reservation::Reservation;
use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

const MAX_REPLY_BYTES: usize = 16 * 1024;
const COPY_LIMIT_MS: u64 = 3_000;
/// The share of an engine's memory that may be reserved when a generation moves. All of it, since
/// the generation would be lost otherwise.
const MOVE_MEMORY_SHARE: f64 = 1.0;
/// The cost of a copy to another data centre, as a share of an engine's memory.
const MOVE_FAR_COST: f64 = 0.6;
/// The cost of a thousand prompt tokens that a target still has to process. Small, since a copy
/// does not wait for them.
const MOVE_PREFILL_COST: f64 = 0.02;
const TURN_POLL_MS: u64 = 8;
const ROOM_POLL_MS: u64 = 40;

/// Moves one generation off an engine that is leaving.
pub(super) struct Mover {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) service: Service,
    pub(super) spec: EngineSpec,
    pub(super) source: Arc<UpstreamState>,
    pub(super) id: Arc<str>,
    /// Identifies it among the generations of its engine.
    pub(super) key: u32,
    /// The memory it is expected to hold at its end.
    pub(super) need_tokens: u64,
}

/// The outcome of a move.
#[derive(Debug)]
pub(super) enum MoveOutcome {
    /// The generation was stopped; its copy is at the target.
    Arrived {
        target: Arc<UpstreamState>,
        reservation: Reservation,
        copy: CopyLocation,
        events: u64,
    },
    /// The generation was stopped; the engine that ran it keeps the copy.
    Kept { copy: CopyLocation },
    /// The generation continues where it is, or has ended.
    Stays {
        reason: &'static str,
        /// True when the engine was asked to stop it and has not said that it did not.
        may_be_stopped: bool,
    },
}

impl Mover {
    /// Copies the generation to another engine while it runs, then stops it and copies the rest.
    pub(super) async fn run(self) -> MoveOutcome {
        self.wait_turn().await;
        let mut progress = MoveProgress::default();
        let mut tried = vec![self.source.record.name.clone()];
        loop {
            let Some(target) = self.choose_target(&tried) else {
                if self.since_notice_ms() >= self.options().room_limit_ms {
                    let may_be_stopped = progress.is_last();
                    return MoveOutcome::Stays { reason: "no room elsewhere", may_be_stopped };
                }
                // Other generations end and free memory, so engines that were full are tried again.
                tried.truncate(1);
                sleep_ms(ROOM_POLL_MS).await;
                continue;
            };
            tried.push(target.record.name.clone());
            if let Some(moved) = self.copy_to(target, &mut progress).await {
                return moved;
            }
        }
    }

    /// Copies to one target until the move has ended; `None` if another target is needed.
    async fn copy_to(
        &self,
        target: Arc<UpstreamState>,
        progress: &mut MoveProgress,
    ) -> Option<MoveOutcome> {
        let options = self.options();
        let now_ms = self.dispatch.clock.now_ms();
        let reservation = Reservation::new(&target, self.key, self.need_tokens, now_ms);
        loop {
            if !self.wait_pause().await {
                let may_be_stopped = progress.is_last();
                return Some(MoveOutcome::Stays { reason: "upstream pauses", may_be_stopped });
            }
            let started_ms = self.dispatch.clock.now_ms();
            let copied = self.copy(&target, progress.is_last()).await;
            let copy_ms = self.dispatch.clock.now_ms() - started_ms;
            match progress.after(copy_outcome(&copied), copy_ms, self.since_notice_ms(), &options) {
                MoveStep::Copy { pause_ms, .. } => sleep_ms(pause_ms).await,
                MoveStep::OtherTarget { .. } => return None,
                MoveStep::Stay(reason) => {
                    let (reason, may_be_stopped) = (reason_text(reason), progress.is_last());
                    return Some(MoveOutcome::Stays { reason, may_be_stopped });
                }
                MoveStep::ContinueAtTarget | MoveStep::ContinueAtSource => {
                    return Some(self.stopped_outcome(copied, target, reservation));
                }
            }
        }
    }

    /// Waits while the source wants no requests. False if it is likely to have ended by then.
    async fn wait_pause(&self) -> bool {
        let pause_ms = self.source.pause_left_ms(self.dispatch.clock.now_ms());
        if self.since_notice_ms() + pause_ms >= self.options().give_up_ms {
            return pause_ms == 0;
        }
        sleep_ms(pause_ms).await;
        true
    }

    /// The outcome once the generation was stopped: `copied` says where it can continue.
    fn stopped_outcome(
        &self,
        copied: Result<GenerationCopy, MoveError>,
        target: Arc<UpstreamState>,
        reservation: Reservation,
    ) -> MoveOutcome {
        match copied {
            Ok(GenerationCopy { handle, events }) => MoveOutcome::Arrived {
                target,
                reservation,
                copy: self.copy_location(handle),
                events,
            },
            Err(MoveError::NoRoom { handle: Some(handle) }) => {
                MoveOutcome::Kept { copy: self.copy_location(handle) }
            }
            Err(_) => MoveOutcome::Stays { reason: "engine did not copy", may_be_stopped: true },
        }
    }

    fn since_notice_ms(&self) -> u64 {
        self.source.since_notice_ms(self.dispatch.clock.now_ms())
    }

    fn options(&self) -> EvacuationOptions {
        if self.dispatch.is_large_fleet.load(Ordering::Acquire) {
            EvacuationOptions::with_delayed_updates()
        } else {
            EvacuationOptions::default()
        }
    }

    /// Waits until the generations that are to move first have left, as far as other daemons have
    /// reported.
    async fn wait_turn(&self) {
        let clock = &self.dispatch.clock;
        let started_ms = clock.now_ms();
        let longest_ms = self.turn_ms();
        while self.turn_ms() > 0 && clock.now_ms() - started_ms < longest_ms {
            sleep_ms(TURN_POLL_MS).await;
        }
        let now_ms = clock.now_ms();
        log::info!(target: "comfreymast", code = 1408, request = &*self.id,
            upstream = self.source.record.name.as_str(), longest_ms,
            waited_ms = now_ms - started_ms, since_notice_ms = self.source.since_notice_ms(now_ms);
            "generation waited for its turn to be copied");
    }

    fn turn_ms(&self) -> u64 {
        self.dispatch.apply_peer_updates();
        let runs = self.source.all_generations();
        let copy_ms = |tokens| self.spec.copy_ms(tokens);
        turn_wait_ms(&runs, self.key, copy_ms, &self.options())
    }

    fn copy_location(&self, handle: String) -> CopyLocation {
        CopyLocation { addr: self.source.record.addr, handle }
    }

    /// Chooses a target of the same software version, preferably near the source, since copies between
    /// data centres take longer.
    fn choose_target(&self, tried: &[Upstream]) -> Option<Arc<UpstreamState>> {
        let version = VersionNeed::Only(self.source.record.version.clone());
        let need = PlacementNeed {
            service: &self.service,
            spec: &self.spec,
            version: &version,
            tokens: self.need_tokens,
            near: &self.source.record.data_centre,
            excluded: tried,
        };
        let options = PlacementOptions {
            memory_share: MOVE_MEMORY_SHARE,
            far_cost: MOVE_FAR_COST,
            prefill_cost: MOVE_PREFILL_COST,
            ..PlacementOptions::default()
        };
        place(&self.dispatch, &need, &options).map(|placed| placed.upstream)
    }

    async fn copy(
        &self,
        target: &UpstreamState,
        is_last: bool,
    ) -> Result<GenerationCopy, MoveError> {
        let source = self.source.record.addr;
        let request = move_request(source, &self.id, target.record.addr, is_last);
        let started_ms = self.dispatch.clock.now_ms();
        self.source.limit.record_send(started_ms);
        let exchange = async {
            let open_ms = self.dispatch.options.open_limit_ms;
            let mut connection =
                OwnedConnection::open(&self.dispatch.spawner, source, open_ms).await.ok()?;
            let (head, body) = connection.send(request).await.ok()?.into_parts();
            let now_ms = self.dispatch.clock.now_ms();
            let answer = ResponseHead::decode(&head, &self.id);
            self.source.record_head(&answer, started_ms, now_ms);
            Some((head.status, collect(body, MAX_REPLY_BYTES).await.ok()?))
        };
        let copied = match within(COPY_LIMIT_MS, exchange).await {
            Ok(Some((status, bytes))) => decode_move_reply(status, &bytes),
            Ok(None) | Err(_) => Err(MoveError::Unanswered),
        };
        let now_ms = self.dispatch.clock.now_ms();
        log::info!(target: "comfreymast", code = 1407, request = &*self.id,
            upstream = self.source.record.name.as_str(), to = target.record.name.as_str(), is_last,
            is_near = target.record.data_centre == self.source.record.data_centre,
            copy_ms = now_ms - started_ms, since_notice_ms = self.source.since_notice_ms(now_ms),
            outcome:? = copied.as_ref().map(|copied| copied.events); "generation copied");
        copied
    }
}

/// The outcome of a copy request, from the engine's answer or the lack of one.
fn copy_outcome(copied: &Result<GenerationCopy, MoveError>) -> CopyOutcome {
    match copied {
        Ok(_) => CopyOutcome::Arrived,
        Err(MoveError::Busy) => CopyOutcome::Busy,
        Err(MoveError::NoRoom { handle: Some(_) }) => CopyOutcome::Kept,
        Err(MoveError::NoRoom { handle: None }) => CopyOutcome::NoRoom,
        Err(MoveError::NotRunning) => CopyOutcome::Unknown,
        Err(MoveError::UnexpectedStatus { .. } | MoveError::Unanswered) => CopyOutcome::Unanswered,
    }
}

fn reason_text(reason: StayReason) -> &'static str {
    match reason {
        StayReason::NotRunning => "not running",
        StayReason::Unanswered => "engine did not answer",
    }
}
