use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response::Parts;

use crate::BodyFraming;

/// The next part of a response body.
#[derive(Debug)]
pub enum BodyStep {
    /// Bytes of the body.
    Data(Bytes),
    /// The end that the framing marked: the stated length was reached, or the last chunk arrived.
    FramedEnd,
    /// The connection was closed in good order, and the body has no other mark of its end. It may
    /// have been cut off.
    ConnectionClosed,
    /// The connection failed before the end of the body.
    Failed(hyper::Error),
}

/// The body of a response, which tells the marked end of a body from a closed connection.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    framing: BodyFraming,
}

impl ResponseBody {
    /// The body of the response with this head, as it was received.
    #[must_use]
    pub fn new(head: &Parts, incoming: Incoming) -> Self {
        Self { incoming, framing: BodyFraming::of(&head.headers) }
    }

    /// How its end is marked.
    #[must_use]
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Waits for the next part. Dropping the future loses nothing.
    pub async fn next(&mut self) -> BodyStep {
        match self.incoming.frame().await {
            Some(Ok(frame)) => BodyStep::Data(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => BodyStep::Failed(error),
            None if self.framing == BodyFraming::ConnectionClose => BodyStep::ConnectionClosed,
            None => BodyStep::FramedEnd,
        }
    }
}
