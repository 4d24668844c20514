use std::sync::Arc;

use bytes::Bytes;
use comfreymast_base::{GenerationId, Organisation};
use comfreymast_contract::{Contract, Work};
use comfreymast_net::{BodyOptions, RequestBodyError, RequestProgress, within};
use comfreymast_wire::engine::StartGeneration;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request};
use serde::Deserialize;

use super::call_error::CallError;
use super::digest;
use crate::claims::RepeatPolicy;
use crate::daemon::Daemon;

/// The delay before a retry of a request for whose body there was no memory.
const NO_ROOM_RETRY_MS: u64 = 500;
const KIND_HEADER: &str = "comfreymast-kind";

/// The body of `POST /v1/completions`; other fields of completion APIs are ignored.
#[derive(Clone, Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: Arc<str>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    read_tokens: Vec<Arc<str>>,
}

/// A completion that the caller's contract allows.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    /// The contract's entry for this kind of work.
    pub(crate) work: Work,
    /// The caller's prompt.
    pub(crate) prompt: Arc<str>,
    /// The most tokens to generate.
    pub(crate) max_tokens: u32,
    /// True if the caller wants the tokens streamed.
    pub(crate) stream: bool,
    /// The tokens that a resuming reader has already read, one text for each event.
    pub(crate) read_tokens: Vec<Arc<str>>,
    /// Whether and how the request may be run again.
    pub(crate) repeat_policy: RepeatPolicy,
}

impl CompletionRequest {
    /// Reads the request and finds the work it asks for in the contract.
    pub(crate) async fn read(
        daemon: &Daemon,
        contract: &Contract,
        request: Request<Incoming>,
    ) -> Result<Self, CallError> {
        let kind = header(request.headers(), KIND_HEADER).map(str::to_owned);
        let (head, bytes) = read_body(daemon, &contract.organisation, request).await?;
        let body: CompletionBody = serde_json::from_slice(&bytes)
            .map_err(|error| CallError::Malformed { reason: error.to_string() })?;
        let work = contract.work_for(kind.as_deref(), &body.model).ok_or_else(|| {
            let kind = kind.as_deref().unwrap_or("any kind");
            CallError::NotAllowed { what: format!("{kind} on model {}", body.model) }
        })?;
        let max_tokens = body.max_tokens.unwrap_or(work.max_output_tokens);
        if max_tokens == 0 || max_tokens > work.max_output_tokens {
            let what = format!("{max_tokens} output tokens");
            return Err(CallError::NotAllowed { what });
        }
        let repeat_policy =
            RepeatPolicy::read(&contract.organisation, &head, &bytes, work.repeatable)?;
        Ok(Self {
            work: work.clone(),
            prompt: body.prompt,
            max_tokens,
            stream: body.stream,
            read_tokens: body.read_tokens,
            repeat_policy,
        })
    }

    /// The request that starts it on an engine.
    pub(crate) fn start(&self, generation: GenerationId, fence: u64) -> StartGeneration {
        StartGeneration {
            generation,
            fence,
            model: self.work.model.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
            priority: self.work.priority,
            resume: Vec::new(),
        }
    }

    /// The deadline of the whole answer, if the request starts now.
    pub(crate) fn deadline_ms(&self, daemon: &Daemon) -> u64 {
        daemon.clock.now_ms().saturating_add(self.work.service_level.deadline_ms)
    }

    /// The digest that binds a cursor to this request.
    pub(crate) fn digest(&self) -> u64 {
        digest::of_request(&self.work.model, &self.prompt, self.max_tokens)
    }
}

/// Reads the body of a request, limited in length, memory and time.
pub(crate) async fn read_body(
    daemon: &Daemon,
    organisation: &Organisation,
    mut request: Request<Incoming>,
) -> Result<(Parts, Bytes), CallError> {
    let limit_ms = daemon.settings.body_timeout_ms;
    let progress = RequestProgress::take(&mut request);
    let (head, body) = request.into_parts();
    let options = BodyOptions {
        limit_bytes: daemon.settings.max_body_bytes,
        stall_ms: limit_ms,
        organisation: Some(organisation.clone()),
    };
    let read = within(limit_ms, daemon.bodies.read(body, options)).await;
    let result = read.unwrap_or(Err(RequestBodyError::Stalled));
    if let Some(progress) = progress {
        if result.is_ok() { progress.mark_whole() } else { progress.mark_refused() }
    }
    match result {
        Ok(body) => Ok((head, body)),
        Err(RequestBodyError::TooLong { limit_bytes }) => Err(CallError::TooLong { limit_bytes }),
        Err(RequestBodyError::NoRoom) => {
            Err(CallError::NoMemory { retry_after_ms: NO_ROOM_RETRY_MS })
        }
        Err(RequestBodyError::Stalled | RequestBodyError::Reclaimed) => {
            Err(CallError::TooSlow { limit_ms })
        }
        Err(error @ RequestBodyError::Connection { .. }) => {
            Err(CallError::Malformed { reason: error.to_string() })
        }
    }
}

/// The value of a header; `None` if it is absent or not visible ASCII.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
