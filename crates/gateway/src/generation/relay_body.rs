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
    _relay: Task<()>,
}

impl RelayBody {
    /// A body of the `chunks` that `relay` sends.
    pub(crate) fn body(chunks: Receiver<Chunk>, relay: Task<()>) -> Body {
        BodyExt::boxed_unsync(StreamBody::new(Self { chunks: Box::pin(chunks), _relay: relay }))
    }
}

impl Stream for RelayBody {
    type Item = Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.chunks
            .as_mut()
            .poll_next(context)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
