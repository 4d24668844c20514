use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use comfreymast_base::{Service, Upstream};
use comfreymast_decide::data_centres::RegionNeed;
use comfreymast_decide::evacuation::{EvacuationOptions, turn_wait_ms};
use comfreymast_decide::move_steps::{CopyOutcome, MoveProgress, MoveStep, StayReason};
use comfreymast_decide::placement::PlacementOptions;
use comfreymast_decide::software_version::VersionNeed;
use comfreymast_fleet::EngineSpec;
use comfreymast_net::{OwnedConnection, collect, sleep_ms, within};
use comfreymast_platform::{
    CopyLocation, GenerationCopy, MoveError, ResponseHead, decode_move_reply, move_request,
};

use super::move_turn::MoveTurn;
use super::placement::{PlacementNeed, place};
use super::reservation::Reservation;
use crate::dispatch::Dispatch;
use crate::evacuation::may_continue_at;
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
/// The same two while the engine stays, where nothing is lost by waiting.
const UNHURRIED_POLL_MS: u64 = 50;
/// How long a generation that may have stopped for a move is tried at further targets. Engines keep a stopped
/// one for 5 s.
const STOPPED_LIMIT_MS: u64 = 4_000;

/// Moves one generation off an engine that is leaving, or whose data centre is evacuated. While the engine stays,
/// the move has no time limit.
pub(super) struct Mover {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) service: Service,
    pub(super) spec: EngineSpec,
    pub(super) source: Arc<UpstreamState>,
    pub(super) id: Arc<str>,
    /// Identifies it among the generations of its engine.
    pub(super) key: u32,
    /// The regions whose engines may run it.
    pub(super) regions: RegionNeed,
    /// The memory it is expected to hold at its end.
    pub(super) need_tokens: u64,
    /// Set once the engine is asked to stop the generation.
    pub(super) is_stop_asked: Arc<AtomicBool>,
    /// When copying to the current target began.
    pub(super) copying_since_ms: u64,
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
        /// True if it has no more reason to move, but may have one again.
        is_called_off: bool,
    },
}

impl Mover {
    /// Copies the generation to another engine while it runs, then stops it and copies the rest.
    pub(super) async fn run(mut self) -> MoveOutcome {
        self.wait_turn().await;
        let mut progress = MoveProgress::default();
        let mut tried = vec![self.source.record.name.clone()];
        let mut stopping_since_ms = None;
        loop {
            let now_ms = self.dispatch.clock.now_ms();
            if progress.is_last() {
                stopping_since_ms = stopping_since_ms.or(Some(now_ms));
            }
            let stopping_ms = stopping_since_ms.map_or(0, |since_ms| now_ms - since_ms);
            if self.is_called_off() && !progress.is_last() {
                return MoveOutcome::called_off();
            }
            // Held while a copy is made, and not while the generation waits for room.
            let turn = self.take_turn();
            let target = turn.as_ref().and_then(|_| self.choose_target(&tried));
            let Some(target) = target else {
                let waits_for_room = turn.is_some();
                drop(turn);
                let room_limit_ms = self.options().room_limit_ms;
                if self.since_notice_ms() >= room_limit_ms || stopping_ms >= STOPPED_LIMIT_MS {
                    return MoveOutcome::stays("no room elsewhere", &progress);
                }
                if waits_for_room {
                    // Other generations end and free memory, so engines that were full are tried again.
                    tried.truncate(1);
                }
                sleep_ms(self.poll_ms(ROOM_POLL_MS)).await;
                continue;
            };
            tried.push(target.record.name.clone());
            self.copying_since_ms = self.dispatch.clock.now_ms();
            if let Some(moved) = self.copy_to(target, &mut progress).await {
                return moved;
            }
        }
    }

    /// True if its data centre is evacuated no longer, and the engine stays.
    fn is_called_off(&self) -> bool {
        !self.is_urgent() && !self.dispatch.is_evacuated(&self.source)
    }

    /// True if the engine will be gone soon.
    fn is_urgent(&self) -> bool {
        self.source.is_leaving()
    }

    /// The turn of the engine; none is needed there if it leaves.
    fn take_turn(&self) -> Option<Option<MoveTurn>> {
        if self.is_urgent() { Some(None) } else { MoveTurn::take(&self.source).map(Some) }
    }

    fn poll_ms(&self, urgent_ms: u64) -> u64 {
        if self.is_urgent() { urgent_ms } else { UNHURRIED_POLL_MS }
    }

    /// Copies to one target until the move has ended; `None` if another target is needed.
    async fn copy_to(
        &self,
        target: Arc<UpstreamState>,
        progress: &mut MoveProgress,
    ) -> Option<MoveOutcome> {
        let reservation = Reservation::new(&target, self.key, self.need_tokens);
        loop {
            let options = self.options();
            if self.is_called_off() && !progress.is_last() {
                return Some(MoveOutcome::called_off());
            }
            if !self.wait_pause().await {
                return Some(MoveOutcome::stays("upstream pauses", progress));
            }
            if progress.is_last() {
                self.is_stop_asked.store(true, Ordering::Release);
            }
            let started_ms = self.dispatch.clock.now_ms();
            let copied = self.copy(&target, progress.is_last()).await;
            let copy_ms = self.dispatch.clock.now_ms() - started_ms;
            match progress.after(copy_outcome(&copied), copy_ms, self.elapsed_ms(), &options) {
                MoveStep::Copy { pause_ms, .. } => sleep_ms(pause_ms).await,
                MoveStep::OtherTarget { .. } => return None,
                MoveStep::Stay(reason) => {
                    return Some(MoveOutcome::stays(reason_text(reason), progress));
                }
                // It may not go on where it ran, so the engine is asked to copy what it keeps elsewhere.
                MoveStep::ContinueAtSource if !may_continue_at(&self.dispatch, &self.source) => {
                    log::info!(target: "comfreymast", code = 1323, request = &*self.id,
                        upstream = self.source.record.name.as_str(), to = target.record.name.as_str();
                        "stopped generation does not return to an evacuated data centre");
                    return None;
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
        if !self.is_urgent() && !self.is_stop_asked.load(Ordering::Acquire) {
            sleep_ms(pause_ms).await;
            return true;
        }
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
            Err(_) => MoveOutcome::Stays {
                reason: "engine did not copy",
                may_be_stopped: true,
                is_called_off: false,
            },
        }
    }

    fn since_notice_ms(&self) -> u64 {
        self.source.since_notice_ms(self.dispatch.clock.now_ms())
    }

    /// The time that the limits of a move are counted from: the notice, or the begin of copying from an engine
    /// that stays.
    fn elapsed_ms(&self) -> u64 {
        if self.is_urgent() {
            return self.since_notice_ms();
        }
        self.dispatch.clock.now_ms().saturating_sub(self.copying_since_ms)
    }

    fn options(&self) -> EvacuationOptions {
        if !self.is_urgent() {
            EvacuationOptions::without_time_limit()
        } else if self.dispatch.is_large_fleet.load(Ordering::Acquire) {
            EvacuationOptions::with_delayed_updates()
        } else {
            EvacuationOptions::default()
        }
    }

    /// Waits until the generations that are to move first have left, as far as other daemons have
    /// reported.
    async fn wait_turn(&self) {
        let clock = &self.dispatch.clock;
        let (mut started_ms, mut longest_ms) = (clock.now_ms(), self.turn_ms());
        let mut is_urgent = self.is_urgent();
        while self.turn_ms() > 0 && clock.now_ms() - started_ms < longest_ms {
            if self.is_called_off() {
                return;
            }
            if !is_urgent && self.is_urgent() {
                is_urgent = true;
                (started_ms, longest_ms) = (clock.now_ms(), self.turn_ms());
            }
            sleep_ms(if is_urgent { TURN_POLL_MS } else { UNHURRIED_POLL_MS }).await;
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
            regions: &self.regions,
            tokens: self.need_tokens,
            near: &self.source.record.data_centre,
            excluded: tried,
        };
        // A generation on an engine that stays is not lost, so it takes no more memory than a new one may.
        let usual = PlacementOptions::default();
        let memory_share = if self.is_urgent() { MOVE_MEMORY_SHARE } else { usual.memory_share };
        let options = PlacementOptions {
            memory_share,
            far_cost: MOVE_FAR_COST,
            prefill_cost: MOVE_PREFILL_COST,
            ..usual
        };
        let target = place(&self.dispatch, &need, &options)?.upstream;
        self.dispatch.take_turn(&target).then_some(target)
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
        self.dispatch.owe_turn(&self.source);
        let exchange = async {
            let open_ms = self.dispatch.options.open_limit_ms;
            let mut connection =
                OwnedConnection::open(&self.dispatch.spawner, source, open_ms).await.ok()?;
            let (head, body) = connection.send(request).await.ok()?.into_parts();
            let answer = ResponseHead::decode(&head, &self.id);
            self.dispatch.record_head(&self.source, &answer, started_ms);
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

impl MoveOutcome {
    fn stays(reason: &'static str, progress: &MoveProgress) -> Self {
        Self::Stays { reason, may_be_stopped: progress.is_last(), is_called_off: false }
    }

    fn called_off() -> Self {
        let reason = "evacuation ended";
        Self::Stays { reason, may_be_stopped: false, is_called_off: true }
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
