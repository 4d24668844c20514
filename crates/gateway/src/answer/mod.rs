//! Answers of upstreams, read so that one that broke off is never taken for a whole one.
//!
//! * [`EventStream`] — the events of a stream, and its end.
//! * [`read_whole`] — an answer that is passed on whole.
//! * [`BufferBudget`] — the memory of all answers that are read whole.
//! * [`UnreadBytes`] — the memory of all streams that their callers have not read.
//! * [`check_end`] — decides whether an answer that ended is whole.

mod buffer_budget;
mod end_check;
mod event_splitter;
mod event_stream;
mod unread_bytes;
mod whole_answer;

pub(crate) use buffer_budget::BufferBudget;
pub(crate) use end_check::check_end;
pub(crate) use event_splitter::Event;
pub(crate) use event_stream::{EventStream, StreamStep};
pub(crate) use unread_bytes::UnreadBytes;
pub(crate) use whole_answer::read_whole;
