//! The callers' port: completions, and plain calls by route.
//!
//! * [`front`] — takes a request, authenticates it and sends it on its way.
//! * [`completion`] — one generation from admission to its last token.
//! * [`plain`] — one call that passes to a plain service.
//! * [`call_error`] — every answer that is not a success, with its outcome.

mod answer;
mod ask;
mod call_error;
mod caller;
mod completion;
pub(crate) mod front;
mod plain;
mod stream;

pub(crate) use answer::{Outcome, set_outcome};
pub(crate) use call_error::CallError;
