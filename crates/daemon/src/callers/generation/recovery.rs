//! What becomes of a generation whose attempt failed.

use comfreymast_net::sleep_ms;
use comfreymast_wire::engine::StartGeneration;
use hyper::StatusCode;

use super::{Generation, GenerationError, attempt_failed};
use crate::admission::{self, EngineRequest};
use crate::events;
use crate::quarantine;
use crate::upstream::{AttachError, EngineStream, StartError, StartFailure, StreamError};
use crate::upstream::{cancel, fence};

/// Failures in a row, without a token between them, after which a generation is given up.
const MAX_FAILURES: u32 = 6;
/// Silences in a row after which another engine is preferred to the silent one.
const MAX_SILENCES: u32 = 3;
const FIRST_BACKOFF_MS: u64 = 25;

/// What went wrong since the last token.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Trouble {
    pub(super) failures: u32,
    pub(super) silences: u32,
    /// The engine has no such generation, or cannot be reached.
    pub(super) engine_lost: bool,
    /// The peers know of the engine's death.
    pub(super) death_noted: bool,
}

impl Trouble {
    /// Waits longer after each failure, and not at all after the first.
    async fn back_off(self) {
        if self.failures > 1 {
            sleep_ms(FIRST_BACKOFF_MS << self.failures.min(MAX_FAILURES)).await;
        }
    }
}

impl Generation {
    pub(super) fn note(&mut self, error: &StreamError) -> Result<(), GenerationError> {
        match error {
            StreamError::Superseded => return Err(self.superseded()),
            // Says nothing of the engine: a new connection will tell.
            StreamError::Silent(_) => {
                self.trouble.silences += 1;
                events::CONNECTION_SILENT.log(format_args!("{}", self.engine.name));
            }
            _ => {
                self.trouble.failures += 1;
                attempt_failed(&self.daemon, &self.engine, error);
            }
        }
        Ok(())
    }

    /// Makes one try to get a stream again.
    pub(super) async fn recover(&mut self) -> Result<(), GenerationError> {
        let is_late = self.daemon.clock.now_ms() > self.deadline_ms;
        if is_late || self.trouble.failures > MAX_FAILURES {
            return Err(self.gave_up());
        }
        let is_quiet = self.trouble.silences > MAX_SILENCES;
        if self.may_continue && (self.trouble.engine_lost || is_quiet) {
            return self.continue_elsewhere().await;
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
                // An engine that sends nonsense on each connection is not asked without pause.
                self.trouble.back_off().await;
                Ok(())
            }
            Err(AttachError::Superseded) => Err(self.superseded()),
            Err(AttachError::Gone) if !self.may_continue => Err(self.gave_up()),
            Err(error) => {
                self.trouble.failures += 1;
                self.trouble.engine_lost = true;
                attempt_failed(&self.daemon, &self.engine, &error);
                // Leaving an engine cancels what it runs, which must not be a newer order.
                if matches!(error, AttachError::Replaced)
                    && EngineStream::is_superseded(&self.daemon, &self.engine, generation, fence)
                        .await
                {
                    return Err(self.superseded());
                }
                // An engine dies once, however often it is tried again.
                if !std::mem::replace(&mut self.trouble.death_noted, true)
                    && quarantine::confirm_death(&self.daemon, &self.engine, &self.start).await
                    && !self.may_continue
                {
                    return Err(self.gave_up());
                }
                if !self.may_continue {
                    self.trouble.back_off().await;
                }
                Ok(())
            }
        }
    }

    pub(super) async fn continue_elsewhere(&mut self) -> Result<(), GenerationError> {
        // What it held on the lost engine is free at once.
        self.permit = None;
        self.placed = None;
        let StartGeneration { model, prompt, .. } = &self.start;
        if quarantine::settle(&self.daemon, model, prompt).await.is_err() {
            return Err(self.gave_up());
        }
        let request = EngineRequest {
            organisation: &self.organisation,
            kind: &self.kind,
            start: &self.start,
            deadline_ms: self.deadline_ms,
            tried: &self.tried,
        };
        let Ok(permit) = admission::admit(&self.daemon, request).await else {
            self.trouble.failures += 1;
            self.trouble.back_off().await;
            return Ok(());
        };
        let engine = permit.engine().clone();
        self.permit = Some(permit);
        cancel(&self.daemon, &self.engine, self.start.generation, self.start.fence);
        self.engine = engine;
        self.tried.push(self.engine.addr);
        self.place();
        // Asked under the old fence, so that an engine with an older order takes the new one.
        let StartGeneration { generation, fence, .. } = self.start;
        if EngineStream::is_superseded(&self.daemon, &self.engine, generation, fence).await {
            return Err(self.superseded());
        }
        self.start.fence = fence::next_attempt(fence);
        self.trouble.silences = 0;
        self.trouble.death_noted = false;
        match EngineStream::start(&self.daemon, &self.engine, &self.start).await {
            Ok(stream) => {
                let from = self.read_tokens();
                events::GENERATION_CONTINUED
                    .log(format_args!("on {} from token {from}", self.engine.name));
                self.trouble.engine_lost = false;
                self.stream = Some(stream);
            }
            Err(StartError::NotRun { reason: StartFailure::Status(StatusCode::CONFLICT) }) => {
                return Err(self.superseded());
            }
            Err(error) => {
                self.trouble.failures += 1;
                self.trouble.engine_lost = matches!(error, StartError::NotRun { .. });
                attempt_failed(&self.daemon, &self.engine, &error);
            }
        }
        Ok(())
    }

    /// Notes where it runs, if it is suspected of killing engines.
    pub(super) fn place(&mut self) {
        let StartGeneration { model, prompt, .. } = &self.start;
        let fingerprint = || quarantine::fingerprint(model, prompt);
        let now_ms = self.daemon.clock.now_ms();
        self.placed = self.daemon.quarantine.place(&self.engine, fingerprint, now_ms);
    }

    pub(super) fn gave_up(&self) -> GenerationError {
        let read_tokens = self.read_tokens();
        events::GENERATION_LOST
            .log(format_args!("last on {}, after {read_tokens} tokens", self.engine.name));
        GenerationError::GaveUp
    }

    pub(super) fn superseded(&self) -> GenerationError {
        events::STREAM_SUPERSEDED.log(format_args!("on {}", self.engine.name));
        GenerationError::Superseded
    }
}
