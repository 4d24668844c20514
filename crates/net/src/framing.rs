use derive_more::Display;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// How the end of an HTTP/1.1 response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BodyFraming {
    /// A `content-length` header.
    #[display("length")]
    Length,
    /// A last chunk.
    #[display("chunked")]
    Chunked,
    /// Nothing but the end of the connection, so a body that was cut off can look complete.
    #[display("connection close")]
    ConnectionClose,
}

impl BodyFraming {
    /// The framing of the response with these headers, if it has a body.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            Some(codings) if ends_with_chunked(codings.as_bytes()) => Self::Chunked,
            Some(_) => Self::ConnectionClose,
            None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            None => Self::ConnectionClose,
        }
    }
}

fn ends_with_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|byte| *byte == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}
