use async_channel::{Receiver, Sender};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use futures_lite::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, LengthLimitError, Limited, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

use crate::sliced_body::SlicedBody;
use crate::{Elapsed, within};

/// The body type of all outgoing requests and responses.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// An error while reading a body to its end.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The connection failed before the body ended.
    #[display("the body broke off: {_0}")]
    Connection(hyper::Error),
    /// The sender of a streamed body aborted it before its end.
    #[display("the body was cut by its sender")]
    #[from(ignore)]
    Aborted,
    /// Nothing arrived for too long.
    #[display("the body stalled: {_0}")]
    Stalled(Elapsed),
    /// The body is longer than allowed.
    #[display("the body is longer than {limit_bytes} bytes")]
    #[from(ignore)]
    TooLong {
        /// The maximum length.
        limit_bytes: usize,
    },
}

/// An empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A body of known length.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    joined([bytes.into()])
}

/// A body of known length that consists of `parts`, without a copy that joins them.
pub fn joined(parts: impl IntoIterator<Item = Bytes>) -> Body {
    SlicedBody::new(parts).map_err(|never| match never {}).boxed_unsync()
}

/// A body with `value` serialized as JSON.
///
/// Empty if serialization fails; it does so for no type of this workspace.
pub fn json(value: &impl Serialize) -> Body {
    full(serde_json::to_vec(value).unwrap_or_default())
}

/// Creates a streamed body and its sender, which waits while `capacity` chunks are unread.
///
/// Dropping the sender ends the body; sending an error aborts it, which the reader sees as an
/// error.
pub fn channel(capacity: usize) -> (Sender<Result<Bytes, BodyError>>, Body) {
    let (sender, receiver) = async_channel::bounded(capacity);
    (sender, stream(receiver))
}

fn stream(receiver: Receiver<Result<Bytes, BodyError>>) -> Body {
    BodyExt::boxed_unsync(StreamBody::new(receiver.map(|chunk| chunk.map(Frame::data))))
}

/// Reads a body of at most `limit_bytes` to its end.
///
/// # Errors
///
/// [`BodyError::TooLong`] past the limit, [`BodyError::Connection`] when the connection fails and
/// [`BodyError::Aborted`] for any other error of the body.
pub async fn collect<B>(body: B, limit_bytes: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLong { limit_bytes }),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(error) => Err(BodyError::Connection(*error)),
            Err(_) => Err(BodyError::Aborted),
        },
    }
}

/// Reads a body of at most `limit_bytes` to its end, however long that takes while bytes keep arriving.
///
/// # Errors
///
/// [`BodyError::Stalled`] when nothing arrives for `stall_ms`, otherwise as [`collect`].
pub async fn collect_while_arriving<B>(
    body: B,
    limit_bytes: usize,
    stall_ms: u64,
) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error>,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(frame) = within(stall_ms, body.frame()).await? {
        let data = frame?.into_data().unwrap_or_default();
        if bytes.len() + data.len() > limit_bytes {
            return Err(BodyError::TooLong { limit_bytes });
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
