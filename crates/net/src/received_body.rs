use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::bounded_stream::ReadAllowance;

/// The body of a response to a client of this crate. Its connection fails if too many bytes arrive
/// that are no part of it.
#[derive(Debug)]
pub struct ReceivedBody {
    incoming: Incoming,
    allowance: ReadAllowance,
}

impl ReceivedBody {
    /// Turns a response whose head has just arrived into one with a received body.
    pub(crate) fn of(
        response: Response<Incoming>,
        allowance: &ReadAllowance,
    ) -> Response<ReceivedBody> {
        allowance.renew();
        response.map(|incoming| Self { incoming, allowance: allowance.clone() })
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        if let Poll::Ready(Some(Ok(_))) = &frame {
            self.allowance.renew();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
