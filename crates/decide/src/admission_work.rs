use comfreymast_base::{Kind, Model, Organisation, Upstream};

use crate::admission_profile::MemoryProfile;

/// Identifies a request within one [`Admission`](crate::admission::Admission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// A generation to be admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The organisation that requests it.
    pub organisation: Organisation,
    /// The kind of work.
    pub kind: Kind,
    /// The model that must run it.
    pub model: Model,
    /// From 0, the lowest, to 9.
    pub priority: u8,
    /// The length of the prompt.
    pub prompt_tokens: u32,
    /// The hash of the part of the prompt that it shares with other requests.
    pub prefix: Option<u64>,
    /// Tokens generated before, when it continues on another engine.
    pub done_tokens: u32,
    /// Maximum length of the answer.
    pub max_tokens: u32,
    /// When the answer must be complete.
    pub deadline_ms: u64,
    /// Engines that must not run it.
    pub avoid: Vec<Upstream>,
}

/// The decision on a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start it on this engine.
    Start {
        /// The request.
        ticket: Ticket,
        /// The engine to run it on.
        engine: Upstream,
    },
    /// Refuse it. It was not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// How long the caller should wait before a retry.
        retry_after_ms: u64,
    },
}

/// How a running generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The model finished the answer.
    Completed {
        /// The length of the complete answer.
        tokens: u32,
    },
    /// It ended early, so its length is not used for estimates.
    Aborted,
}

/// What one daemon runs on one engine, as reported to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineUse {
    /// The engine.
    pub engine: Upstream,
    /// The number of generations.
    pub requests: u32,
    /// The memory that they are expected to use.
    pub profile: MemoryProfile,
}
