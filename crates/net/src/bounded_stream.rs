use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

/// How much is read before other tasks get a turn. The HTTP library reads on within one poll for as
/// long as bytes arrive that complete nothing.
const TURN_BYTES: usize = 64 * 1024;
/// How often is read before other tasks get a turn, however few bytes each read brings.
const TURN_READS: usize = 16;
/// The most bytes of a response that the HTTP library buffers; also the longest head.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// How much may be read without any result. The library may read a whole buffer before it has one.
const FRUITLESS_BYTES: usize = 4 * MAX_BUFFER_BYTES;

/// Counts the bytes that were read of a response since the last part of it became known: its head, or
/// data of its body. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadAllowance {
    fruitless_bytes: Arc<AtomicUsize>,
}

impl ReadAllowance {
    /// Starts to count anew, as reading had a result.
    pub(crate) fn renew(&self) {
        self.fruitless_bytes.store(0, Ordering::Release);
    }

    /// Counts bytes that were read; false if they are too many.
    fn take(&self, bytes: usize) -> bool {
        self.fruitless_bytes.fetch_add(bytes, Ordering::AcqRel).saturating_add(bytes)
            <= FRUITLESS_BYTES
    }
}

/// A TCP stream whose reader yields from time to time although bytes arrive without a pause, so that
/// timeouts fire and other tasks go on. It fails if too much is read without a result.
#[derive(Debug)]
pub struct BoundedStream<S = TcpStream> {
    stream: S,
    /// `None` if the bytes are not counted.
    allowance: Option<ReadAllowance>,
    turn_bytes: usize,
    turn_reads: usize,
}

impl<S: AsyncRead + Unpin> BoundedStream<S> {
    /// A stream whose bytes are not counted.
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self { stream, allowance: None, turn_bytes: 0, turn_reads: 0 }
    }

    /// Counts bytes against `allowance`.
    #[must_use]
    pub(crate) fn allowance(mut self, allowance: ReadAllowance) -> Self {
        self.allowance = Some(allowance);
        self
    }

    fn begin_turn(&mut self) {
        self.turn_bytes = 0;
        self.turn_reads = 0;
    }

    /// Counts a read of this turn.
    fn count(&mut self, bytes: usize) -> Result<usize> {
        self.turn_bytes += bytes;
        self.turn_reads += 1;
        match &self.allowance {
            Some(allowance) if !allowance.take(bytes) => {
                Err(Error::new(ErrorKind::InvalidData, "a response without end"))
            }
            _ => Ok(bytes),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        if self.turn_bytes >= TURN_BYTES || self.turn_reads >= TURN_READS {
            self.begin_turn();
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(bytes)) => Poll::Ready(self.count(bytes)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                self.begin_turn();
                Poll::Pending
            }
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
