//! Length-prefixed frames with one [`PeerMessage`] each.
//!
//! A frame is a 4-byte big-endian length followed by the encoded message.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures_lite::{AsyncRead, AsyncWrite, StreamExt};
use futures_util::SinkExt;
use prost::Message;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

use crate::peer::PeerMessage;

/// The maximum length of a frame.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// An error while reading or writing a frame.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The stream failed, or a frame was longer than [`MAX_FRAME_BYTES`].
    #[display("the peer stream failed: {_0}")]
    Stream(std::io::Error),
    /// The frame did not hold a [`PeerMessage`].
    #[display("a frame does not decode: {_0}")]
    Decode(prost::DecodeError),
    /// The peer closed the stream.
    #[display("the peer closed the stream")]
    Closed,
}

/// Reads and writes [`PeerMessage`]s over one stream.
pub struct PeerFrames<S> {
    framed: Framed<Compat<S>, LengthDelimitedCodec>,
}

impl<S: AsyncRead + AsyncWrite + Unpin> PeerFrames<S> {
    /// Creates frames over `stream`, which may be TCP or TLS.
    pub fn new(stream: S) -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { framed: Framed::new(stream.compat(), codec) }
    }

    /// Writes one message and flushes it.
    ///
    /// # Errors
    ///
    /// [`FrameError::Stream`] when the stream fails or the message is too long.
    pub async fn write(&mut self, message: &PeerMessage) -> Result<(), FrameError> {
        self.framed.send(Bytes::from(message.encode_to_vec())).await?;
        Ok(())
    }

    /// Reads the next message.
    ///
    /// # Errors
    ///
    /// Any [`FrameError`]; the stream is unusable after one.
    pub async fn read(&mut self) -> Result<PeerMessage, FrameError> {
        let frame = self.framed.next().await.ok_or(FrameError::Closed)??;
        Ok(PeerMessage::decode(frame)?)
    }
}
