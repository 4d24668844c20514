//! JSON messages of the model engines.
//!
//! * `POST /v1/completions` with a [`StartGeneration`] answers server-sent events of [`Token`]s.
//! * `GET /v1/generations/{id}?from=N&fence=F` attaches to a generation that still runs.
//! * `POST /v1/generations/{id}/cancel?fence=F` ends it.
//! * `GET /load` answers a [`Load`].

use std::sync::Arc;

use comfreymast_base::{GenerationId, Model};
use serde::{Deserialize, Serialize};

/// Starts a generation, or continues one from the tokens already relayed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartGeneration {
    /// The generation every token must carry.
    pub generation: GenerationId,
    /// The attempt. An engine that checks fences refuses an older one.
    pub fence: u64,
    /// The model to run.
    pub model: Model,
    /// The caller's prompt.
    pub prompt: Arc<str>,
    /// The most tokens to generate, those of `resume` included.
    pub max_tokens: u32,
    /// From 0, the first to wait, to 9.
    pub priority: u8,
    /// Tokens of earlier attempts, in order. The first new token has the index `resume.len()`.
    #[serde(default)]
    pub resume: Vec<Arc<str>>,
}

/// One token, or the end of a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// The generation it belongs to.
    pub generation: GenerationId,
    /// The attempt that made it.
    pub fence: u64,
    /// Its place in the answer, from 0. At the end: how many tokens there are.
    pub index: u32,
    /// The text; empty at the end.
    #[serde(default)]
    pub text: Arc<str>,
    /// Set at the end only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model was done.
    Stop,
    /// The token limit was reached.
    Length,
}

impl Finish {
    /// The word that completion APIs use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// What an engine says of itself, some time after it was true.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait for memory.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub memory_used_tokens: u64,
    /// Memory in all, in tokens.
    pub memory_tokens: u64,
    /// Generations pushed out of memory since the engine started.
    pub preemptions: u64,
    /// Generations started since the engine started.
    pub started: u64,
}
