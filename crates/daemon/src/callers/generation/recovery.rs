//! Recovery of a generation after a failed attempt.

use comfreymast_net::sleep_ms;
use comfreymast_wire::engine::StartGeneration;
use hyper::StatusCode;

use super::{Generation, GenerationError, record_failed_attempt};
use crate::admission::{self, EngineRequest};
use crate::events;
use crate::quarantine;
use crate::upstream::{AttachError, EngineStream, StartError, StartFailure, StreamError};
use crate::upstream::{cancel, fence};

/// A generation is given up after more consecutive failures than this without a token.
const MAX_FAILURES: u32 = 6;
/// After more consecutive silences than this, another engine is preferred to the silent one.
const MAX_SILENCES: u32 = 3;
const FIRST_BACKOFF_MS: u64 = 25;

/// The failures since the last token.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureState {
    pub(super) failures: u32,
    pub(super) silences: u32,
    /// The engine has no such generation, or cannot be reached.
    pub(super) engine_lost: bool,
    /// True once the engine was found dead, and its death reported to the peers.
    pub(super) death_reported: bool,
}

impl FailureState {
    /// Waits with exponential backoff, but not after the first failure.
    async fn back_off(self) {
        if self.failures > 1 {
            sleep_ms(FIRST_BACKOFF_MS << self.failures.min(MAX_FAILURES)).await;
        }
    }
}

impl Generation {
    pub(super) fn record_failure(&mut self, error: &StreamError) -> Result<(), GenerationError> {
        match error {
            StreamError::Superseded => return Err(self.superseded()),
            // Silence says nothing about the engine; a new connection will show its state.
            StreamError::Silent(_) => {
                self.failure_state.silences += 1;
                events::CONNECTION_SILENT.log(format_args!("{}", self.engine.name));
            }
            _ => {
                self.failure_state.failures += 1;
                record_failed_attempt(&self.daemon, &self.engine, error);
            }
        }
        Ok(())
    }

    /// Makes one attempt to get a new stream.
    pub(super) async fn recover(&mut self) -> Result<(), GenerationError> {
        let past_deadline = self.daemon.clock.now_ms() > self.deadline_ms;
        if past_deadline || self.failure_state.failures > MAX_FAILURES {
            return Err(self.give_up());
        }
        let is_silent = self.failure_state.silences > MAX_SILENCES;
        if self.may_continue && (self.failure_state.engine_lost || is_silent) {
            return self.continue_on_another_engine().await;
        }
        self.attach_again().await
    }

    pub(super) async fn attach_again(&mut self) -> Result<(), GenerationError> {
        let StartGeneration { generation, fence, .. } = self.start;
        let from = self.read_tokens();
        match EngineStream::attach(&self.daemon, &self.engine, generation, fence, from).await {
            Ok(stream) => {
                events::STREAM_REATTACHED
                    .log(format_args!("{}, from token {from}", self.engine.name));
                self.stream = Some(stream);
                // Limits the rate of reconnects to an engine that sends invalid tokens each time.
                self.failure_state.back_off().await;
                Ok(())
            }
            Err(AttachError::Superseded) => Err(self.superseded()),
            Err(AttachError::Gone) if !self.may_continue => Err(self.give_up()),
            Err(error) => {
                self.failure_state.failures += 1;
                self.failure_state.engine_lost = true;
                record_failed_attempt(&self.daemon, &self.engine, &error);
                // Moving to another engine cancels the generation on this one, which must not
                // cancel a newer attempt.
                if matches!(error, AttachError::Replaced)
                    && EngineStream::is_superseded(&self.daemon, &self.engine, generation, fence)
                        .await
                {
                    return Err(self.superseded());
                }
                if self.report_death().await && !self.may_continue {
                    return Err(self.give_up());
                }
                if !self.may_continue {
                    self.failure_state.back_off().await;
                }
                Ok(())
            }
        }
    }

    /// Reports the engine's death unless that was done; true if it is dead. An engine that seems
    /// alive, or does not answer, is checked again after the next failure.
    async fn report_death(&mut self) -> bool {
        if !self.failure_state.death_reported {
            self.failure_state.death_reported =
                quarantine::confirm_death(&self.daemon, &self.engine, &self.start).await;
        }
        self.failure_state.death_reported
    }

    pub(super) async fn continue_on_another_engine(&mut self) -> Result<(), GenerationError> {
        // Releases the reservation on the lost engine at once.
        self.permit = None;
        self.running_suspect = None;
        let StartGeneration { model, prompt, .. } = &self.start;
        if quarantine::wait_until_decided(&self.daemon, model, prompt).await.is_err() {
            return Err(self.give_up());
        }
        let request = EngineRequest {
            organisation: &self.organisation,
            kind: &self.kind,
            start: &self.start,
            deadline_ms: self.deadline_ms,
            tried: &self.tried,
        };
        let Ok(permit) = admission::admit(&self.daemon, request).await else {
            self.failure_state.failures += 1;
            self.failure_state.back_off().await;
            return Ok(());
        };
        let engine = permit.engine().clone();
        self.permit = Some(permit);
        cancel(&self.daemon, &self.engine, self.start.generation, self.start.fence);
        self.engine = engine;
        self.tried.push(self.engine.addr);
        self.track_suspect();
        // Checked with the old fence, so that an engine with an older attempt accepts the new one.
        let StartGeneration { generation, fence, .. } = self.start;
        if EngineStream::is_superseded(&self.daemon, &self.engine, generation, fence).await {
            return Err(self.superseded());
        }
        self.start.fence = fence::next_attempt(fence);
        self.failure_state.silences = 0;
        self.failure_state.death_reported = false;
        match EngineStream::start(&self.daemon, &self.engine, &self.start).await {
            Ok(stream) => {
                let from = self.read_tokens();
                events::GENERATION_CONTINUED
                    .log(format_args!("on {} from token {from}", self.engine.name));
                self.failure_state.engine_lost = false;
                self.stream = Some(stream);
            }
            Err(StartError::NotRun { reason: StartFailure::Status(StatusCode::CONFLICT) }) => {
                return Err(self.superseded());
            }
            Err(error) => {
                self.failure_state.failures += 1;
                self.failure_state.engine_lost = matches!(error, StartError::NotRun { .. });
                record_failed_attempt(&self.daemon, &self.engine, &error);
            }
        }
        Ok(())
    }

    /// Records on which engine it runs, if it is suspected of crashing engines.
    pub(super) fn track_suspect(&mut self) {
        let StartGeneration { model, prompt, .. } = &self.start;
        let fingerprint = || quarantine::fingerprint(model, prompt);
        let now_ms = self.daemon.clock.now_ms();
        self.running_suspect = self.daemon.quarantine.track(&self.engine, fingerprint, now_ms);
    }

    pub(super) fn give_up(&self) -> GenerationError {
        let read_tokens = self.read_tokens();
        events::GENERATION_LOST
            .log(format_args!("last attempt on {}, after {read_tokens} tokens", self.engine.name));
        GenerationError::GaveUp
    }

    pub(super) fn superseded(&self) -> GenerationError {
        events::STREAM_SUPERSEDED.log(format_args!("on {}", self.engine.name));
        GenerationError::Superseded
    }
}
