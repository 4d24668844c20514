use comfreymast_net::{Body, empty};
use comfreymast_platform::RequestHeadError;
use derive_more::{Display, Error, From};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why the gateway answers a call itself instead of passing on an upstream's answer.
#[derive(Clone, Debug, Display, Error, From)]
pub(crate) enum CallError {
    /// No configuration is known yet.
    #[display("no configuration is known yet")]
    NotReady,
    /// The request is malformed.
    #[display("{_0}")]
    Malformed(RequestHeadError),
    /// The body is too long.
    #[display("the body is too long")]
    TooLong,
    /// The body was cut short or did not arrive in time; nothing was forwarded.
    #[display("the body did not arrive")]
    BodyIncomplete,
    /// A stream is requested in a version of HTTP without chunks, so its end could not be told from a
    /// broken connection.
    #[display("streams need HTTP/1.1 or later")]
    VersionTooOld,
    /// No route covers the request.
    #[display("no route covers the request")]
    NoRoute,
    /// No organisation holds the key.
    #[display("no organisation holds the key")]
    UnknownKey,
    /// The request has not run and will not; the caller may retry later.
    #[display("refused: {reason}")]
    #[from(ignore)]
    Refused {
        /// The reason.
        reason: Refusal,
        /// The delay before a retry; `None` if a retry would be refused too.
        retry_after_ms: Option<u64>,
    },
    /// An upstream may have run the request, and its answer is lost.
    #[display("the outcome is unknown")]
    OutcomeUnknown,
    /// An upstream may have run the request, and the call timed out.
    #[display("the time is up")]
    TimedOut,
}

/// Why a request is refused without having run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// No upstream of the service is known.
    #[display("no upstream")]
    NoUpstream,
    /// None of the upstreams that may run it could be reached.
    #[display("upstreams not reached")]
    Unreached,
    /// Upstreams did not run it, and no attempt is left.
    #[display("not run by upstreams")]
    NotRun,
    /// The upstreams take no more requests now, by the limits that they name.
    #[display("limits of upstreams")]
    Limited,
    /// The upstreams would fall over if they had to turn requests away, and this daemon's places at them are
    /// taken.
    #[display("upstreams brittle")]
    Brittle,
    /// The upstreams turned requests away and said when to come back.
    #[display("upstreams pause")]
    Paused,
    /// The upstreams are cold, and this daemon's part of what they take now is used.
    #[display("upstreams cold")]
    Cold,
    /// No engine has room.
    #[display("engines full")]
    Full,
    /// This daemon has no memory for the body.
    #[display("no memory for the body")]
    Memory,
    /// This daemon stops before the answer would be complete.
    #[display("daemon stops")]
    Stopping,
    /// The request may crash upstreams; it is about to be judged.
    #[display("suspected of crashing upstreams")]
    Suspected,
    /// The request crashes upstreams.
    #[display("crashes upstreams")]
    Quarantined,
    /// The stream was begun at a service or software version that is not known, or of which no upstream is left.
    #[display("version of the stream")]
    Version,
    /// The stream was begun at a service to which its route no longer sends requests.
    #[display("service of the stream")]
    Moved,
    /// All upstreams that may run it are in data centres that are evacuated.
    #[display("data centres evacuated")]
    Evacuated,
    /// No upstream is in a region that the call is limited to.
    #[display("no upstream in an allowed region")]
    Region,
    /// The call timed out before it could be sent.
    #[display("time is up")]
    TimedOut,
}

impl Refusal {
    /// The delay before a retry of a request that was withheld from upstreams.
    pub(crate) fn withheld_retry_ms(self) -> Option<u64> {
        const SUSPECTED_RETRY_MS: u64 = 1_000;
        (self == Self::Suspected).then_some(SUSPECTED_RETRY_MS)
    }
}

impl CallError {
    /// The refusal of a request that would not be answered before this daemon stops.
    pub(crate) fn stopping() -> Self {
        /// Short, since the caller retries on a new connection, which reaches another daemon.
        const STOPPING_RETRY_MS: u64 = 50;
        Self::Refused { reason: Refusal::Stopping, retry_after_ms: Some(STOPPING_RETRY_MS) }
    }

    /// The status of the answer.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::NotReady | Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::VersionTooOld => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer to the caller.
    pub(crate) fn response(&self) -> Response<Body> {
        const NOT_READY_RETRY_MS: u64 = 300;
        let mut response = Response::new(empty());
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        match self {
            Self::NotReady => set_retry_after(headers, NOT_READY_RETRY_MS),
            Self::Refused { reason, retry_after_ms: Some(retry_after_ms) } => {
                set_retry_after(headers, *retry_after_ms);
                if *reason == Refusal::Memory {
                    headers.insert(CONNECTION, HeaderValue::from_static("close"));
                }
            }
            Self::Malformed(_) | Self::TooLong | Self::BodyIncomplete => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            _ => {}
        }
        response
    }
}

fn set_retry_after(headers: &mut hyper::HeaderMap, retry_after_ms: u64) {
    const MS_PER_S: f64 = 1_000.0;
    let seconds = format!("{:.3}", retry_after_ms as f64 / MS_PER_S);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        headers.insert(RETRY_AFTER, value);
    }
}
