use hyper::StatusCode;
use hyper::header::{CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::http::response::Parts;

use crate::names;

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// True when the upstream says that it did not run the request.
    pub is_not_run: bool,
    /// True when the answer carries the upstream's signature.
    pub is_signed: bool,
    /// True when the answer belongs to the request that was sent.
    pub is_ours: bool,
    /// True when the body was encoded on the way, which no upstream does.
    pub is_encoded: bool,
    /// How long the connection may be idle, in seconds, where the upstream says so.
    pub keep_alive_s: Option<u64>,
    /// True when the connection ends with this answer.
    pub is_last: bool,
}

impl AnswerHead {
    /// Reads the head of an answer to the request `id`.
    #[must_use]
    pub fn decode(head: &Parts, id: &str) -> Self {
        let headers = &head.headers;
        let echoed = headers.get(names::ATTEMPT_ID).map(|value| value.as_bytes());
        Self {
            is_not_run: head.status == StatusCode::MISDIRECTED_REQUEST
                || headers.contains_key(names::NOT_EXECUTED),
            is_signed: headers.contains_key(names::SIGNATURE),
            is_ours: echoed.is_none_or(|echoed| echoed == id.as_bytes()),
            is_encoded: headers.contains_key(CONTENT_ENCODING),
            keep_alive_s: keep_alive_s(headers),
            is_last: headers.get_all(CONNECTION).iter().any(|value| {
                value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
            }),
        }
    }

    /// Takes the headers out of an answer that concern only the connection it came on.
    pub fn strip_connection(headers: &mut HeaderMap) {
        for name in [CONNECTION, TRANSFER_ENCODING, HeaderName::from_static("keep-alive")] {
            headers.remove(name);
        }
    }
}

fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.trim() == "timeout")?;
    seconds.trim().parse().ok()
}
