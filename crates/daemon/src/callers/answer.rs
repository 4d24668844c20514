use comfreymast_decide::retry::jittered_ms;
use comfreymast_net::{Body, json};
use derive_more::Display;
use hyper::Response;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use serde::Serialize;

use super::call_error::CallError;

/// The header that tells whether a request was run.
pub(crate) const OUTCOME_HEADER: &str = "comfreymast-outcome";

/// Whether a request was run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// The request was run, and this is its answer.
    #[display("done")]
    Done,
    /// The request was not run.
    #[display("not_run")]
    NotRun,
    /// The request may have been run.
    #[display("unknown")]
    Unknown,
}

/// The body of an error answer, in the format of completion APIs.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Clone, Debug, Serialize)]
struct ErrorDetail {
    code: &'static str,
    message: String,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// The body for `error`, with the outcome of the error itself.
    pub(crate) fn new(error: &CallError) -> Self {
        Self::with_outcome(error, error.outcome(), retry_after_ms(error))
    }

    fn with_outcome(error: &CallError, outcome: Outcome, retry_after_ms: Option<u64>) -> Self {
        let detail =
            ErrorDetail { code: error.code(), message: error.to_string(), outcome, retry_after_ms };
        Self { error: detail }
    }
}

/// The answer for `error`, with an outcome and a retry delay.
pub(crate) fn error_response(error: &CallError, outcome: Outcome) -> Response<Body> {
    const MS_PER_S: u64 = 1_000;
    let retry_after_ms = retry_after_ms(error);
    let body = ErrorBody::with_outcome(error, outcome, retry_after_ms);
    let mut response = Response::new(json(&body));
    *response.status_mut() = error.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_ms.div_ceil(MS_PER_S)));
    }
    if error.leaves_body_unread() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    set_outcome(&mut response, outcome);
    response
}

/// The retry delay, with jitter so that callers refused together do not retry together.
fn retry_after_ms(error: &CallError) -> Option<u64> {
    error.retry_after_ms().map(|min_ms| jittered_ms(min_ms, rand::random()))
}

/// Sets the header that tells whether the request was run.
pub(crate) fn set_outcome(response: &mut Response<Body>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Done => HeaderValue::from_static("done"),
        Outcome::NotRun => HeaderValue::from_static("not_run"),
        Outcome::Unknown => HeaderValue::from_static("unknown"),
    };
    response.headers_mut().insert(OUTCOME_HEADER, value);
}
