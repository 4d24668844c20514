//! The callers' port: completions, and calls to plain services by route.
//!
//! * [`front`] — authenticates a request and dispatches it.
//! * [`completion`] — runs a completion, from admission to its last token.
//! * [`generation`] — one generation across all its attempts, as its reader sees it.
//! * [`stream`] — sends its tokens to the caller.
//! * [`reattach`] — resumes a stream for a reader with a [`cursor`].
//! * [`plain`] — forwards a call to a plain service.
//! * [`call_error`] — all errors that are returned to callers, with their outcomes.

mod answer;
mod call_error;
mod caller;
mod completion;
mod completion_request;
pub(crate) mod cursor;
mod digest;
pub(crate) mod front;
mod generation;
mod plain;
mod reattach;
mod stream;

pub(crate) use answer::{Outcome, set_outcome};
pub(crate) use call_error::CallError;
