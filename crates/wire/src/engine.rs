//! JSON messages exchanged with the engines.
//!
//! * `POST /v1/completions` with a [`StartGeneration`] returns [`Token`]s as server-sent events.
//! * `GET /v1/generations/{id}?from=N&fence=F` attaches to a running generation.
//! * `POST /v1/generations/{id}/cancel?fence=F` cancels it.
//! * `GET /load` returns a [`Load`].

use std::sync::Arc;

use comfreymast_base::{GenerationId, Model};
use serde::{Deserialize, Serialize};

/// Starts a generation, or resumes one after the tokens already relayed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartGeneration {
    /// The id that every token must carry.
    pub generation: GenerationId,
    /// The fencing token of this attempt. An engine that checks it rejects lower ones.
    pub fence: u64,
    /// The model to run.
    pub model: Model,
    /// The caller's prompt.
    pub prompt: Arc<str>,
    /// The maximum number of tokens, including those of `resume`.
    pub max_tokens: u32,
    /// From 0 to 9. Lower priorities wait first.
    pub priority: u8,
    /// Tokens of earlier attempts, in order. The first new token has the index `resume.len()`.
    #[serde(default)]
    pub resume: Vec<Arc<str>>,
}

/// A token, or the end of a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// The generation it belongs to.
    pub generation: GenerationId,
    /// The attempt that generated it.
    pub fence: u64,
    /// Its zero-based index in the response. At the end: the number of tokens.
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
    /// The model finished.
    Stop,
    /// The token limit was reached.
    Length,
}

impl Finish {
    /// The `finish_reason` of completion APIs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

/// An engine's load report. It may be outdated when it is read.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Generations in the running batch.
    pub running: u32,
    /// Generations waiting for memory.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub memory_used_tokens: u64,
    /// Total memory, in tokens.
    pub memory_tokens: u64,
    /// Generations evicted from memory since the engine started.
    pub preemptions: u64,
    /// Generations started since the engine started.
    pub started: u64,
}
