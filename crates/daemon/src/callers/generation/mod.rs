//! One generation across all its attempts.
//!
//! * [`Generation`] — reads its tokens.
//! * [`start`] — starts a generation, or resumes one with a cursor.
//! * [`recovery`] — recovers it after a failed attempt.

mod recovery;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::{Kind, Model, Organisation};
use comfreymast_wire::engine::{StartGeneration, Token};
use derive_more::{Display, Error};

use self::recovery::FailureState;
use super::call_error::CallError;
use super::cursor::Cursor;
use super::digest;
use crate::admission::EnginePermit;
use crate::claims::RunPermit;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::events;
use crate::quarantine::RunningSuspect;
use crate::upstream::EngineStream;
use crate::upstream::cancel;

const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// Why a generation has no next token.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum GenerationError {
    /// No engine could continue it.
    #[display("no engine could continue the generation")]
    GaveUp,
    /// The reader has resumed the stream on another connection.
    #[display("the reader has resumed the stream on another connection")]
    Superseded,
}

impl From<GenerationError> for CallError {
    fn from(error: GenerationError) -> Self {
        match error {
            GenerationError::GaveUp => {
                Self::GenerationLost { retry_after_ms: NO_UPSTREAM_RETRY_MS }
            }
            GenerationError::Superseded => Self::Superseded,
        }
    }
}

/// One generation as its reader sees it: every token once and in order, even if engines or
/// connections fail.
///
/// After a failure, the generation is first reattached on a new connection to the same engine. If
/// that fails too, a repeatable request is continued on another engine, with the tokens already
/// read and a higher fence. Any other request is given up, because the old engine may still be
/// running it.
pub(crate) struct Generation {
    daemon: Arc<Daemon>,
    organisation: Organisation,
    kind: Kind,
    /// The request to the engine; `resume` holds the tokens already read.
    start: StartGeneration,
    /// True if another engine may continue the generation.
    may_continue: bool,
    cancel_on_drop: bool,
    /// The right to run it; unclaimed if a reader resumed it with a cursor.
    claim: RunPermit,
    /// Set while the request is suspected of crashing engines.
    running_suspect: Option<RunningSuspect>,
    deadline_ms: u64,
    request_digest: u64,
    text_digest: u64,
    engine: Arc<UpstreamState>,
    /// Its reservation of engine memory; `None` if another daemon admitted it.
    permit: Option<EnginePermit>,
    stream: Option<EngineStream>,
    /// Engines that were sent this generation. None is sent it twice, so that an engine that
    /// ignores fences never runs two attempts at it.
    tried: Vec<SocketAddr>,
    failure_state: FailureState,
    ended: bool,
}

impl Generation {
    /// The next token, or the end of the generation.
    pub(crate) async fn next(&mut self) -> Result<Token, GenerationError> {
        loop {
            let Some(stream) = &mut self.stream else {
                self.recover().await?;
                continue;
            };
            match stream.next().await {
                Ok(token) => {
                    self.record_token(&token);
                    return Ok(token);
                }
                Err(error) => {
                    // Closes the connection, so that no late token can arrive on it.
                    self.stream = None;
                    self.record_failure(&error)?;
                }
            }
        }
    }

    /// The right to run it, which records how it ended.
    pub(crate) fn claim(&mut self) -> &mut RunPermit {
        &mut self.claim
    }

    /// The model that generates it.
    pub(crate) fn model(&self) -> &Model {
        &self.start.model
    }

    /// The current position of its reader.
    pub(crate) fn cursor(&self) -> Cursor {
        Cursor {
            organisation: self.organisation.clone(),
            upstream: self.engine.name.clone(),
            generation: self.start.generation,
            fence: self.start.fence,
            read_tokens: self.read_tokens(),
            model: self.start.model.clone(),
            kind: self.kind.clone(),
            request_digest: self.request_digest,
            text_digest: self.text_digest,
        }
    }

    fn read_tokens(&self) -> u32 {
        u32::try_from(self.start.resume.len()).unwrap_or(u32::MAX)
    }

    fn record_token(&mut self, token: &Token) {
        self.failure_state = FailureState::default();
        let read_tokens = self.read_tokens();
        if token.finish.is_some() {
            self.ended = true;
            self.permit.take().into_iter().for_each(|mut permit| permit.finish(read_tokens));
            return;
        }
        if let Some(permit) = &self.permit {
            permit.progress(read_tokens + 1);
        }
        self.text_digest = digest::with_token(self.text_digest, &token.text);
        self.start.resume.push(token.text.clone());
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if self.cancel_on_drop && !self.ended {
            cancel(&self.daemon, &self.engine, self.start.generation, self.start.fence);
        }
    }
}

fn record_failed_attempt(daemon: &Daemon, engine: &UpstreamState, error: &dyn std::fmt::Display) {
    daemon.metrics.failed_attempts.inc();
    events::ATTEMPT_FAILED.log(format_args!("{}: {error}", engine.name));
}
