use comfreymast_base::NamedRequest;
use hyper::header::{
    CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderName, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{StatusCode, Version};

use crate::names;

/// The limit on requests that a response names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedRate {
    /// It names none.
    Absent,
    /// It names something that is no rate.
    Invalid,
    /// Requests a second from all daemons together; finite, not negative.
    PerS(f64),
}

impl NamedRate {
    fn decode(headers: &HeaderMap) -> Self {
        let Some(value) = headers.get(names::SERVER_LIMIT) else { return Self::Absent };
        let rate = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
        rate.filter(|rate| rate.is_finite() && *rate >= 0.0).map_or(Self::Invalid, Self::PerS)
    }
}

/// How long an upstream that turned a request away wants nothing more from this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// It names no time, or did not turn the request away.
    Absent,
    /// It names something that is no number of seconds, such as a date.
    Invalid,
    /// This long.
    Ms(u64),
}

/// The longest pause that is taken as it is.
const MAX_PAUSE_MS: u64 = 3_600_000;

impl Pause {
    fn decode(status: StatusCode, headers: &HeaderMap) -> Self {
        const MS_PER_S: f64 = 1_000.0;
        let Some(value) =
            headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
        else {
            return Self::Absent;
        };
        let seconds = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
        let seconds = seconds.filter(|seconds| !seconds.is_nan() && *seconds >= 0.0);
        seconds.map_or(Self::Invalid, |seconds| {
            Self::Ms(((seconds * MS_PER_S) as u64).min(MAX_PAUSE_MS))
        })
    }
}

/// How much longer an upstream says that it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdTime {
    /// It does not say.
    Absent,
    /// It names something that is no number of milliseconds.
    Invalid,
    /// This long; 0 if it is warm.
    Ms(u64),
}

impl ColdTime {
    fn decode(headers: &HeaderMap) -> Self {
        const MAX_COLD_MS: f64 = 60_000.0;
        let Some(value) = headers.get(names::COLD_MS) else { return Self::Absent };
        let cold_ms = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
        let cold_ms = cold_ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
        cold_ms.map_or(Self::Invalid, |ms| Self::Ms(ms.min(MAX_COLD_MS).ceil() as u64))
    }
}

/// The decoded head of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead {
    /// True when the upstream states that it did not run the request.
    pub is_not_run: bool,
    /// True when the response carries the upstream's signature.
    pub is_signed: bool,
    /// Which request the response names.
    pub named: NamedRequest,
    /// True when the body has a content encoding. Upstreams never apply one, so something on the
    /// path did.
    pub is_encoded: bool,
    /// The idle timeout of the connection in seconds, if the upstream announces one.
    pub keep_alive_s: Option<u64>,
    /// The limit on requests from all daemons that the upstream names, if it does.
    pub named_rate: NamedRate,
    /// True when the upstream says that it is leaving.
    pub is_leaving: bool,
    /// True when the upstream says that it falls over if it has to turn too many requests away.
    pub is_brittle: bool,
    /// How long the upstream wants nothing more from this daemon.
    pub pause: Pause,
    /// How much longer the upstream is cold.
    pub cold: ColdTime,
    /// True when the upstream closes the connection after this response.
    pub closes_connection: bool,
}

impl ResponseHead {
    /// Decodes the head of a response to the request `id`.
    #[must_use]
    pub fn decode(head: &Parts, id: &str) -> Self {
        let headers = &head.headers;
        let echoed = headers.get(names::ATTEMPT_ID).map(|value| value.as_bytes());
        Self {
            is_not_run: head.status == StatusCode::MISDIRECTED_REQUEST
                || headers.contains_key(names::NOT_EXECUTED),
            is_signed: headers.contains_key(names::SIGNATURE),
            named: match echoed {
                Some(echoed) if echoed == id.as_bytes() => NamedRequest::This,
                Some(_) => NamedRequest::Other,
                None => NamedRequest::None,
            },
            is_encoded: headers.contains_key(CONTENT_ENCODING),
            keep_alive_s: keep_alive_s(headers),
            named_rate: NamedRate::decode(headers),
            is_leaving: is_leaving(headers),
            is_brittle: headers.contains_key(names::SERVER_BRITTLE),
            pause: Pause::decode(head.status, headers),
            cold: ColdTime::decode(headers),
            closes_connection: headers.get_all(CONNECTION).iter().any(|value| {
                value.to_str().is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
            }),
        }
    }

    /// Removes what applies only to the connection to the upstream: headers, and the version of
    /// HTTP. An older version would frame our answer like the upstream's, so that a stream that we
    /// abort would look complete.
    pub fn strip_connection(head: &mut Parts) {
        head.version = Version::HTTP_11;
        for name in [CONNECTION, TRANSFER_ENCODING, HeaderName::from_static("keep-alive")] {
            head.headers.remove(name);
        }
    }
}

/// True if the headers of any answer say that its upstream is leaving.
fn is_leaving(headers: &HeaderMap) -> bool {
    headers.get(names::SERVER_LEAVING).is_some_and(|value| value.as_bytes().trim_ascii() != b"0")
}

fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.trim() == "timeout")?;
    seconds.trim().parse().ok()
}
