use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

/// The length of the HTTP/2 preface. Every HTTP/1.1 request head with a `host` header is longer.
const FIRST_BYTES: usize = 24;

/// A TCP stream whose reads time out until the client has sent its first [`FIRST_BYTES`].
#[derive(Debug)]
pub(crate) struct FirstBytesStream {
    stream: TcpStream,
    read_bytes: usize,
    first_bytes_deadline: Timer,
}

impl FirstBytesStream {
    /// Allows the client `first_bytes_ms` to send the first bytes.
    pub(crate) fn new(stream: TcpStream, first_bytes_ms: u64) -> Self {
        Self {
            stream,
            read_bytes: 0,
            first_bytes_deadline: Timer::after(Duration::from_millis(first_bytes_ms)),
        }
    }
}

impl AsyncRead for FirstBytesStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = read {
            self.read_bytes = self.read_bytes.saturating_add(bytes);
        }
        if read.is_pending() && self.read_bytes < FIRST_BYTES {
            let deadline = Pin::new(&mut self.first_bytes_deadline);
            if deadline.poll(context).is_ready() {
                return Poll::Ready(Err(Error::from(ErrorKind::TimedOut)));
            }
        }
        read
    }
}

impl AsyncWrite for FirstBytesStream {
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
