use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The HTTP library copies what it sends into a buffer of its own; slices bound the copy of a long body.
const SLICE_BYTES: usize = 32 * 1024;

/// A body of known length that is handed to the HTTP library in slices.
#[derive(Debug)]
pub(crate) struct SlicedBody {
    parts: VecDeque<Bytes>,
}

impl SlicedBody {
    pub(crate) fn new(parts: impl IntoIterator<Item = Bytes>) -> Self {
        Self { parts: parts.into_iter().filter(|part| !part.is_empty()).collect() }
    }
}

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(mut part) = self.parts.pop_front() else { return Poll::Ready(None) };
        if part.len() > SLICE_BYTES {
            let rest = part.split_off(SLICE_BYTES);
            self.parts.push_front(rest);
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.parts.iter().map(|part| part.len() as u64).sum())
    }
}
