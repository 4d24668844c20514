use derive_more::{Display, Error};
use hyper::StatusCode;

use super::answer::Outcome;

/// An error that is returned to a caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The bearer key is missing, or no contract lists it.
    #[display("the bearer key is missing or unknown")]
    Unauthorized,
    /// The contract is disabled, so all its requests are refused.
    #[display("the contract is not enabled")]
    Disabled,
    /// The contract does not allow this request.
    #[display("the contract does not allow {what}")]
    NotAllowed {
        /// What was requested.
        what: String,
    },
    /// The request could not be parsed.
    #[display("{reason}")]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// The body is too long.
    #[display("the body is longer than {limit_bytes} bytes")]
    TooLong {
        /// The maximum length.
        limit_bytes: usize,
    },
    /// The body took too long to arrive.
    #[display("the body did not arrive within {limit_ms} ms")]
    TooSlow {
        /// The time allowed.
        limit_ms: u64,
    },
    /// The daemon has no memory for the body.
    #[display("no memory for the body now")]
    NoMemory {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// The daemon is not ready, or is draining.
    #[display("this daemon takes no new work")]
    NotReady,
    /// A limit of the contract is reached.
    #[display("the contract's limit {limit} is reached")]
    LimitReached {
        /// The field of the limit in the contract.
        limit: &'static str,
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// The contracts known to the daemon may be out of date.
    #[display("this daemon has no word from the log or its peers, so its contracts may be old")]
    NotCurrent,
    /// No upstream can take the request now.
    #[display("no upstream can take the request now")]
    NoUpstream {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// The key cannot be claimed, because the log does not answer.
    #[display(
        "the log does not answer, so this attempt was not run; come back with the same key to \
         learn of earlier attempts"
    )]
    LogUnavailable {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// The key was used for another request before.
    #[display("the idempotency key was used for another request")]
    KeyReused,
    /// The key is older than the oldest claim that is still stored.
    #[display("the idempotency key is too old to tell whether the request was run")]
    KeyExpired,
    /// Another attempt holds the key, and its outcome is not recorded yet.
    #[display("an earlier attempt with this key may have run the request")]
    ClaimUnknown {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// The request was run, but its answer was not recorded.
    #[display("the request was run by an earlier attempt, whose answer was not kept")]
    AnswerNotKept,
    /// The engines are too loaded to finish the request in time.
    #[display("the engines are too full to finish the request in time")]
    Overloaded {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// The request is quarantined, because engines died while they ran it.
    #[display("the request is quarantined, because engines died while they ran it")]
    Quarantined,
    /// Engines died while they ran this request; whether it was the cause is not decided yet.
    #[display("engines died while they ran the request; whether of it is not clear yet")]
    Suspected {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// An upstream may have run the request, but its answer is lost.
    #[display("an upstream may have run the request, but its answer is lost")]
    OutcomeUnknown,
    /// The generation was interrupted, and no engine could continue it.
    #[display("the generation broke off; come back with Last-Event-ID")]
    GenerationLost {
        /// The delay before a retry.
        retry_after_ms: u64,
    },
    /// The engine that the cursor names has lost the generation.
    #[display(
        "the engine has lost the generation; a repeatable request goes on with its body and \
         read_tokens"
    )]
    GenerationGone,
    /// The reader has resumed the stream on another connection.
    #[display("the stream goes on through another connection")]
    Superseded,
    /// The cursor is invalid or belongs to another organisation.
    #[display("the cursor in Last-Event-ID is not one of this organisation's")]
    CursorRefused,
    /// The cursor belongs to another request body or to other tokens.
    #[display("the cursor in Last-Event-ID does not belong to this request")]
    CursorMismatch,
    /// The daemon is stopping and hands its streams over.
    #[display("this daemon stops; come back at once with Last-Event-ID")]
    HandedOver,
}

impl CallError {
    /// The HTTP status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Disabled | Self::NotAllowed { .. } => StatusCode::FORBIDDEN,
            Self::Malformed { .. } => StatusCode::BAD_REQUEST,
            Self::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::LimitReached { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady
            | Self::NotCurrent
            | Self::NoMemory { .. }
            | Self::NoUpstream { .. }
            | Self::Overloaded { .. }
            | Self::LogUnavailable { .. }
            | Self::Suspected { .. }
            | Self::HandedOver => StatusCode::SERVICE_UNAVAILABLE,
            Self::KeyReused | Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeyExpired
            | Self::ClaimUnknown { .. }
            | Self::AnswerNotKept
            | Self::Superseded => StatusCode::CONFLICT,
            Self::OutcomeUnknown | Self::GenerationLost { .. } => StatusCode::BAD_GATEWAY,
            Self::GenerationGone => StatusCode::GONE,
            Self::CursorRefused | Self::CursorMismatch => StatusCode::BAD_REQUEST,
        }
    }

    /// True if the rest of the request may still be on its way, so that its connection cannot be used again.
    pub(crate) fn leaves_body_unread(&self) -> bool {
        matches!(self, Self::TooLong { .. } | Self::TooSlow { .. } | Self::NoMemory { .. })
    }

    /// The machine-readable error code.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Disabled => "disabled",
            Self::NotAllowed { .. } => "not_allowed",
            Self::Malformed { .. } => "malformed",
            Self::TooLong { .. } => "too_long",
            Self::TooSlow { .. } => "too_slow",
            Self::NoMemory { .. } => "no_memory",
            Self::NotReady => "not_ready",
            Self::LimitReached { .. } => "limit_reached",
            Self::NotCurrent => "not_current",
            Self::NoUpstream { .. } => "no_upstream",
            Self::Overloaded { .. } => "overloaded",
            Self::LogUnavailable { .. } => "log_unavailable",
            Self::KeyReused => "key_reused",
            Self::KeyExpired => "key_expired",
            Self::ClaimUnknown { .. } => "claim_unknown",
            Self::AnswerNotKept => "answer_not_kept",
            Self::Quarantined => "quarantined",
            Self::Suspected { .. } => "suspected",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::GenerationLost { .. } => "generation_lost",
            Self::GenerationGone => "generation_gone",
            Self::Superseded => "superseded",
            Self::CursorRefused => "cursor_refused",
            Self::CursorMismatch => "cursor_mismatch",
            Self::HandedOver => "handed_over",
        }
    }

    /// Whether the request was run.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::OutcomeUnknown
            | Self::KeyExpired
            | Self::ClaimUnknown { .. }
            | Self::GenerationLost { .. }
            | Self::GenerationGone
            | Self::Superseded
            | Self::CursorRefused
            | Self::CursorMismatch
            | Self::HandedOver => Outcome::Unknown,
            Self::AnswerNotKept => Outcome::Done,
            Self::Unauthorized
            | Self::Disabled
            | Self::NotAllowed { .. }
            | Self::Malformed { .. }
            | Self::TooLong { .. }
            | Self::TooSlow { .. }
            | Self::NoMemory { .. }
            | Self::NotReady
            | Self::NotCurrent
            | Self::LimitReached { .. }
            | Self::NoUpstream { .. }
            | Self::Overloaded { .. }
            | Self::LogUnavailable { .. }
            | Self::KeyReused
            | Self::Quarantined
            | Self::Suspected { .. } => Outcome::NotRun,
        }
    }

    /// The shortest delay before a retry, if retrying can help. Answers add jitter to it.
    pub(crate) fn retry_after_ms(&self) -> Option<u64> {
        const NOT_READY_RETRY_MS: u64 = 1_000;
        match self {
            Self::NotReady | Self::NotCurrent => Some(NOT_READY_RETRY_MS),
            Self::LimitReached { retry_after_ms, .. }
            | Self::NoMemory { retry_after_ms }
            | Self::NoUpstream { retry_after_ms }
            | Self::Overloaded { retry_after_ms }
            | Self::LogUnavailable { retry_after_ms }
            | Self::Suspected { retry_after_ms }
            | Self::ClaimUnknown { retry_after_ms }
            | Self::GenerationLost { retry_after_ms } => Some(*retry_after_ms),
            Self::HandedOver => Some(0),
            _ => None,
        }
    }
}
