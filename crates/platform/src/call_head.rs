use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::{Organisation, Upstream};
use derive_more::{Display, Error};
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;

use crate::names;

const KEY_SCHEME: &str = "Bearer ";

/// Why the head of a caller's request cannot be used.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum CallHeadError {
    /// The request has no identifier, or more than one.
    #[display("the request needs one identifier")]
    Id,
    /// The request names no host, or more than one.
    #[display("the request needs one host")]
    Host,
}

/// One part of a prompt. Requests share parts; the last belongs to the request or its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// What the part is.
    pub id: u64,
    /// How long it is.
    pub tokens: u64,
}

/// How long a generation's prompt is and how long its answer may become.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The prompt's length.
    pub prompt_tokens: u64,
    /// The most tokens that are generated.
    pub max_output_tokens: u64,
    /// The caller's estimate of what is generated: right at the median, often far off.
    pub expected_output_tokens: Option<u64>,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
}

/// What the headers of a caller's request say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Identifies this attempt of the caller.
    pub id: Arc<str>,
    /// The host, in lower case and without port.
    pub host: String,
    /// The API key.
    pub key: Option<String>,
    /// How long the caller waits from the request on.
    pub deadline_ms: Option<u64>,
    /// Set on requests for a generation.
    pub prompt: Option<PromptShape>,
    /// The last event that the caller has of a stream it comes back for.
    pub last_event: Option<u64>,
}

/// The identifier that a caller gave its request, also of one that is malformed otherwise.
#[must_use]
pub fn request_id(headers: &HeaderMap) -> Option<&str> {
    headers.get(names::ATTEMPT_ID)?.to_str().ok()
}

impl CallHead {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`CallHeadError`]: the request is malformed.
    pub fn decode(head: &Parts) -> Result<Self, CallHeadError> {
        let headers = &head.headers;
        let mut ids = headers.get_all(names::ATTEMPT_ID).iter();
        let id = ids.next().and_then(|id| id.to_str().ok()).ok_or(CallHeadError::Id)?;
        if ids.next().is_some() {
            return Err(CallHeadError::Id);
        }
        let authorization = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let key = authorization.and_then(|value| value.strip_prefix(KEY_SCHEME));
        Ok(Self {
            id: id.into(),
            host: host(head)?,
            key: key.map(str::to_owned),
            deadline_ms: number(headers, names::DEADLINE_MS),
            prompt: prompt(headers),
            last_event: number(headers, names::LAST_EVENT_ID),
        })
    }
}

fn host(head: &Parts) -> Result<String, CallHeadError> {
    let mut hosts = head.headers.get_all(hyper::header::HOST).iter();
    let host = hosts.next().and_then(|host| host.to_str().ok()).ok_or(CallHeadError::Host)?;
    if hosts.next().is_some() {
        return Err(CallHeadError::Host);
    }
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    let value: f64 = text(headers, name)?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

fn prompt(headers: &HeaderMap) -> Option<PromptShape> {
    let (prompt, output) = text(headers, names::TOKEN_COUNTS)?.split_once(',')?;
    let parts = text(headers, names::PROMPT_PREFIX).unwrap_or_default().split(',');
    Some(PromptShape {
        prompt_tokens: prompt.trim().parse().ok()?,
        max_output_tokens: output.trim().parse().ok()?,
        expected_output_tokens: number(headers, names::LENGTH_HINT),
        parts: parts.filter_map(prompt_part).collect(),
    })
}

fn prompt_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// The copy from which a generation goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The engine that ran it before.
    pub addr: SocketAddr,
    /// The handle of the copy.
    pub handle: String,
}

/// What the system itself tells an upstream with a request.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// The upstream that must answer.
    pub upstream: &'a Upstream,
    /// Who asks.
    pub organisation: Option<&'a Organisation>,
    /// How long the upstream may take.
    pub deadline_ms: u64,
    /// The request's rank at an engine, 0 first.
    pub priority: Option<u8>,
    /// The last event that was delivered of a stream that goes on.
    pub last_event: Option<u64>,
    /// The copy from which a generation goes on.
    pub origin: Option<&'a Origin>,
}

/// The headers that an upstream is sent for a caller's request: without the key, headers of one
/// connection and those that only the system may set.
#[must_use]
pub fn forward_head(caller: &HeaderMap, forward: &Forward<'_>) -> HeaderMap {
    let named = connection_headers(caller);
    let mut headers = HeaderMap::with_capacity(caller.len() + 6);
    for (name, value) in caller {
        if !is_dropped(name) && !named.contains(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    set(&mut headers, names::EXPECT_INSTANCE, forward.upstream.as_str());
    set(&mut headers, names::DEADLINE_MS, &forward.deadline_ms.to_string());
    if let Some(organisation) = forward.organisation {
        set(&mut headers, names::TENANT, organisation.as_str());
    }
    if let Some(priority) = forward.priority {
        set(&mut headers, names::REQUEST_PRIORITY, &priority.to_string());
    }
    if let Some(last_event) = forward.last_event {
        set(&mut headers, names::LAST_EVENT_ID, &last_event.to_string());
    }
    if let Some(origin) = forward.origin {
        set(&mut headers, names::KV_FROM, &format!("{}/{}", origin.addr, origin.handle));
    }
    headers
}

fn is_dropped(name: &HeaderName) -> bool {
    let connection = [
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    connection.contains(name)
        || ["keep-alive", "proxy-connection", "proxy-authorization"].contains(&name.as_str())
        || names::RESERVED.contains(&name.as_str())
}

/// The headers that a `connection` header names as belonging to one connection only.
fn connection_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    let forwarded =
        [names::ATTEMPT_ID, names::TOKEN_COUNTS, names::PROMPT_PREFIX, "x-model", "host"];
    let names = names.filter_map(|name| name.trim().to_ascii_lowercase().parse().ok());
    names.filter(|name: &HeaderName| !forwarded.contains(&name.as_str())).collect()
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => log::warn!(target: "comfreymast", name, error:%; "header left out"),
    }
}
