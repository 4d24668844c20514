//! The callers' port: completions, and plain calls by route.
//!
//! * [`front`] — takes a request, authenticates it and sends it on its way.
//! * [`completion`] — one generation from admission to its last token.
//! * [`generation`] — one generation over all its attempts, as its reader sees it.
//! * [`stream`] — its tokens on their way to the caller.
//! * [`reattach`] — a reader who comes back with a [`cursor`].
//! * [`plain`] — one call that passes to a plain service.
//! * [`call_error`] — every answer that is not a success, with its outcome.

mod answer;
mod ask;
mod call_error;
mod caller;
mod completion;
pub(crate) mod cursor;
mod digest;
pub(crate) mod front;
mod generation;
mod plain;
mod reattach;
mod stream;

pub(crate) use answer::{Outcome, set_outcome};
pub(crate) use call_error::CallError;
