use std::sync::Arc;

use comfreymast_base::{Service, Upstream};
use comfreymast_decide::evacuation::{EvacuationOptions, NextCopy, next_copy, turn_ms};
use comfreymast_decide::placement::PlacementOptions;
use comfreymast_fleet::EngineSpec;
use comfreymast_net::{OwnedConnection, collect, sleep_ms, within};
use comfreymast_platform::{Copied, MoveError, Origin, decode_move_reply, move_request};
use hyper::StatusCode;

use super::placing::place;
use super::reservation::Reservation;
use crate::dispatch::Dispatch;
use crate::upstream_state::UpstreamState;

const MAX_REPLY_BYTES: usize = 16 * 1024;
const COPY_LIMIT_MS: u64 = 3_000;
/// The share of an engine's memory that may be reserved for generations that would else be lost.
const MOVE_MEMORY_SHARE: f64 = 1.0;
/// What a copy to another data centre costs, as a share of an engine's memory.
const MOVE_FAR_COST: f64 = 0.6;
const TURN_POLL_MS: u64 = 8;
const BUSY_PAUSE_MS: u64 = 30;

/// What the mover needs to know of the generation.
pub(super) struct Moving {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) service: Service,
    pub(super) spec: EngineSpec,
    pub(super) source: Arc<UpstreamState>,
    pub(super) id: Arc<str>,
    /// Names it among those of its engine.
    pub(super) key: u32,
    /// The memory it will hold at its end.
    pub(super) need_tokens: u64,
}

/// How a move ended.
#[derive(Debug)]
pub(super) enum Moved {
    /// The generation has stopped; its copy is at the target.
    Arrived { target: Arc<UpstreamState>, reservation: Reservation, origin: Origin, events: u64 },
    /// The generation has stopped; the engine that ran it keeps it.
    Kept { origin: Origin },
    /// The generation goes on where it is, or has ended.
    Stays(&'static str),
}

impl Moving {
    /// Copies the generation to another engine while it runs, then stops it and copies the rest.
    pub(super) async fn run(self) -> Moved {
        self.wait_turn().await;
        let mut tried = vec![self.source.record.name.clone()];
        loop {
            let Some(target) = self.target(&tried) else {
                return Moved::Stays("no room elsewhere");
            };
            tried.push(target.record.name.clone());
            let reservation = Reservation::new(&target, self.key, self.need_tokens);
            match self.move_to(&target).await {
                Ok(copied) => {
                    let origin = self.origin(copied.handle);
                    return Moved::Arrived { target, reservation, origin, events: copied.events };
                }
                Err(MoveError::NoRoom { handle: Some(handle) }) => {
                    return Moved::Kept { origin: self.origin(handle) };
                }
                Err(MoveError::NoRoom { handle: None }) => {}
                Err(MoveError::Unknown) => return Moved::Stays("not running"),
                Err(error) => {
                    self.log_failed(&target, &error);
                    return Moved::Stays("engine did not copy");
                }
            }
        }
    }

    /// Waits until the generations that go first have left, as far as other daemons tell.
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
        self.dispatch.use_news();
        let runs = self.source.all_generations();
        let copy_ms = |tokens| self.spec.copy_ms(tokens);
        turn_ms(&runs, self.key, copy_ms, &EvacuationOptions::default())
    }

    fn origin(&self, handle: String) -> Origin {
        Origin { addr: self.source.record.addr, handle }
    }

    /// An engine near the source first, since copies between data centres take longer.
    fn target(&self, tried: &[Upstream]) -> Option<Arc<UpstreamState>> {
        let options = PlacementOptions {
            memory_share: MOVE_MEMORY_SHARE,
            far_cost: MOVE_FAR_COST,
            ..PlacementOptions::default()
        };
        let near = &self.source.record.data_centre;
        place(&self.dispatch, &self.service, &self.spec, self.need_tokens, &options, near, tried)
    }

    async fn move_to(&self, target: &UpstreamState) -> Result<Copied, MoveError> {
        let clock = &self.dispatch.clock;
        let options = EvacuationOptions::default();
        loop {
            let started_ms = clock.now_ms();
            match self.copy(target, false).await {
                Ok(_) => {}
                Err(MoveError::Busy) => {
                    sleep_ms(BUSY_PAUSE_MS).await;
                    continue;
                }
                Err(error) => return Err(error),
            }
            let copy_ms = clock.now_ms() - started_ms;
            let since_notice_ms = self.source.since_notice_ms(clock.now_ms());
            if next_copy(copy_ms, since_notice_ms, &options) == NextCopy::Last {
                return self.copy(target, true).await;
            }
        }
    }

    async fn copy(&self, target: &UpstreamState, is_last: bool) -> Result<Copied, MoveError> {
        let source = self.source.record.addr;
        let request = move_request(source, &self.id, target.record.addr, is_last);
        let exchange = async {
            let open_ms = self.dispatch.options.open_limit_ms;
            let mut connection =
                OwnedConnection::open(&self.dispatch.spawner, source, open_ms).await.ok()?;
            let (head, body) = connection.send(request).await.ok()?.into_parts();
            Some((head.status, collect(body, MAX_REPLY_BYTES).await.ok()?))
        };
        let started_ms = self.dispatch.clock.now_ms();
        let copied = match within(COPY_LIMIT_MS, exchange).await {
            Ok(Some((status, bytes))) => decode_move_reply(status, &bytes),
            Ok(None) | Err(_) => Err(MoveError::Other { status: StatusCode::GATEWAY_TIMEOUT }),
        };
        let now_ms = self.dispatch.clock.now_ms();
        log::info!(target: "comfreymast", code = 1407, request = &*self.id,
            upstream = self.source.record.name.as_str(), to = target.record.name.as_str(), is_last,
            is_near = target.record.data_centre == self.source.record.data_centre,
            copy_ms = now_ms - started_ms, since_notice_ms = self.source.since_notice_ms(now_ms),
            outcome:? = copied.as_ref().map(|copied| copied.events); "generation copied");
        copied
    }

    fn log_failed(&self, target: &UpstreamState, error: &MoveError) {
        log::warn!(target: "comfreymast", code = 1404, request = &*self.id,
            upstream = self.source.record.name.as_str(), to = target.record.name.as_str(),
            error:%; "generation not copied");
    }
}
