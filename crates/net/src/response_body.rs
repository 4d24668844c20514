use bytes::{Bytes, BytesMut};
use comfreymast_base::EndMark;
use http_body_util::BodyExt;
use hyper::http::response::Parts;

use crate::{BodyError, BodyFraming, ReceivedBody};

/// The next part of a response body.
#[derive(Debug)]
pub enum BodyStep {
    /// Bytes of the body.
    Data(Bytes),
    /// No more arrives.
    End(EndMark),
}

/// The body of a response, which tells the marked end of a body from a closed connection.
#[derive(Debug)]
pub struct ResponseBody {
    received: ReceivedBody,
    framing: BodyFraming,
}

impl ResponseBody {
    /// The body of the response with this head, as it was received.
    #[must_use]
    pub fn new(head: &Parts, received: ReceivedBody) -> Self {
        Self { received, framing: BodyFraming::of(&head.headers) }
    }

    /// How its end is marked.
    #[must_use]
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Waits for the next part. Dropping the future loses nothing.
    pub async fn next(&mut self) -> BodyStep {
        match self.received.frame().await {
            Some(Ok(frame)) => BodyStep::Data(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => {
                log::debug!("a response broke off: {error}");
                BodyStep::End(EndMark::Failed)
            }
            None if self.framing == BodyFraming::ConnectionClose => {
                BodyStep::End(EndMark::ConnectionClosed)
            }
            None => BodyStep::End(EndMark::Framed),
        }
    }

    /// Reads a body of at most `limit_bytes` up to its end, however that is marked.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLong`] past the limit.
    pub async fn read(&mut self, limit_bytes: usize) -> Result<(Bytes, EndMark), BodyError> {
        let mut bytes = BytesMut::new();
        loop {
            match self.next().await {
                BodyStep::Data(data) if bytes.len() + data.len() > limit_bytes => {
                    return Err(BodyError::TooLong { limit_bytes });
                }
                BodyStep::Data(data) => bytes.extend_from_slice(&data),
                BodyStep::End(mark) => return Ok((bytes.freeze(), mark)),
            }
        }
    }
}
