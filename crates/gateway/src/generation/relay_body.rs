use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use async_executor::Task;
use bytes::Bytes;
use comfreymast_net::{Body, BodyError};
use futures_lite::Stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

/// A part of a stream, or the error that aborts it.
pub(crate) type Chunk = Result<Bytes, BodyError>;

/// The body that a caller reads. Dropping it cancels the relay and thereby the request at the
/// upstream.
pub(crate) struct RelayBody {
    chunks: Pin<Box<Receiver<Chunk>>>,
    /// The error that aborts the body at the next poll.
    abort: Option<BodyError>,
    _relay: Task<()>,
}

impl RelayBody {
    /// A body of the `chunks` that `relay` sends.
    pub(crate) fn body(chunks: Receiver<Chunk>, relay: Task<()>) -> Body {
        let body = Self { chunks: Box::pin(chunks), abort: None, _relay: relay };
        BodyExt::boxed_unsync(StreamBody::new(body))
    }
}

impl Stream for RelayBody {
    type Item = Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(error) = self.abort.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match self.chunks.as_mut().poll_next(context) {
            Poll::Ready(Some(Err(error))) => {
                // The HTTP library drops what it has buffered when a body fails, and writes it when a body
                // is pending. So the error comes one poll later.
                self.abort = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}
