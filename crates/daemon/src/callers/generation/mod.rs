//! One generation over all its attempts.
//!
//! * [`Generation`] — what a reader asks of it.
//! * [`start`] — ways to get one.
//! * [`recovery`] — what becomes of it when an attempt failed.

mod recovery;
mod start;

use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::{Kind, Model, Organisation};
use comfreymast_wire::engine::{StartGeneration, Token};
use derive_more::{Display, Error};

use self::recovery::Trouble;
use super::call_error::CallError;
use super::cursor::Cursor;
use super::digest;
use crate::admission::EnginePermit;
use crate::claims::Permit;
use crate::daemon::Daemon;
use crate::directory::UpstreamState;
use crate::events;
use crate::quarantine::Placed;
use crate::upstream::EngineStream;
use crate::upstream::cancel;

const NO_UPSTREAM_RETRY_MS: u64 = 1_000;

/// Why a generation has no next token.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum GenerationError {
    /// No engine could carry it on.
    #[display("no engine could carry the generation on")]
    GaveUp,
    /// The reader has gone on through another connection.
    #[display("the reader has gone on through another connection")]
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

/// One generation as its reader sees it: every token once and in order, whatever becomes of the
/// engines and connections behind it.
///
/// An attempt that fails is first attached again, on a new connection to the same engine. Only a
/// repeatable request then goes to another engine, with the tokens already read and a higher
/// fence; any other is given up, for the old engine may still be running it.
pub(crate) struct Generation {
    daemon: Arc<Daemon>,
    organisation: Organisation,
    kind: Kind,
    /// What was asked; `resume` holds the tokens already read.
    start: StartGeneration,
    /// False while only the engine that runs it may go on with it.
    may_continue: bool,
    cancel_on_drop: bool,
    /// The right to run it; a reader who comes back has none to give.
    claim: Permit,
    /// Set while it is suspected of killing engines.
    placed: Option<Placed>,
    deadline_ms: u64,
    request_digest: u64,
    text_digest: u64,
    engine: Arc<UpstreamState>,
    /// What it holds of the engine's memory; `None` where another daemon admitted it.
    permit: Option<EnginePermit>,
    stream: Option<EngineStream>,
    /// Engines that have had this generation. None gets it twice, so that an engine which ignores
    /// fences never holds two attempts of it.
    tried: Vec<SocketAddr>,
    trouble: Trouble,
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
                    self.take(&token);
                    return Ok(token);
                }
                Err(error) => {
                    // Closes the connection, so nothing late can come on it.
                    self.stream = None;
                    self.note(&error)?;
                }
            }
        }
    }

    /// The right to run it, which is told how it ended.
    pub(crate) fn claim(&mut self) -> &mut Permit {
        &mut self.claim
    }

    /// The model that writes it.
    pub(crate) fn model(&self) -> &Model {
        &self.start.model
    }

    /// Where its reader is.
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

    fn take(&mut self, token: &Token) {
        self.trouble = Trouble::default();
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

fn attempt_failed(daemon: &Daemon, engine: &UpstreamState, error: &dyn std::fmt::Display) {
    daemon.metrics.failed_attempts.inc();
    events::ATTEMPT_FAILED.log(format_args!("{}: {error}", engine.name));
}
