use std::net::SocketAddr;
use std::sync::Arc;

use comfreymast_base::{EventId, Organisation, Upstream};
use derive_more::{Display, Error};
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;

use crate::names;

const BEARER_PREFIX: &str = "Bearer ";
/// The most shared parts of a prompt that are decoded.
const MAX_SHARED_PARTS: usize = 128;

/// Why the head of a caller's request is rejected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum RequestHeadError {
    /// The request has no identifier, or more than one.
    #[display("the request needs one identifier")]
    Id,
    /// The request names no host, or more than one.
    #[display("the request needs one host")]
    Host,
}

/// One part of a prompt. Parts can be shared between requests, except the last, which belongs to
/// one request or its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: u64,
}

/// The size of a generation's prompt and the limits of its output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u64,
    /// The caller's estimate of the output length. It is right at the median, but individual
    /// estimates are often far off.
    pub expected_output_tokens: Option<u64>,
    /// The prompt's parts, in order.
    pub parts: Vec<PromptPart>,
}

/// The decoded head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifies this attempt of the caller.
    pub id: Arc<str>,
    /// The host, in lower case and without the port.
    pub host: String,
    /// The API key.
    pub key: Option<String>,
    /// How long the caller waits for the response, counted from the request.
    pub deadline_ms: Option<u64>,
    /// The prompt's size; set on requests for a generation.
    pub prompt: Option<PromptShape>,
    /// The identifiers of the prompt's parts that other requests may share: all but the last, each
    /// once, 128 at most.
    pub shared_parts: Vec<Arc<str>>,
    /// The last event that the caller received of a stream that it resumes. `None` also if it names
    /// several, or something that is no number.
    pub last_event: Option<EventId>,
    /// True if the caller has events of the stream that it takes up, as far as can be told.
    pub has_events: bool,
    /// The attempt that brought the first event of a stream that it resumes.
    pub resumes: Resumes,
}

/// Which attempt of its caller a request says that it takes up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Resumes {
    /// It names none.
    #[default]
    Nothing,
    /// This one.
    Attempt(Arc<str>),
    /// It names several, or one that is no text.
    Ambiguous,
}

impl Resumes {
    fn decode(headers: &HeaderMap) -> Self {
        let mut named = headers.get_all(names::RESUMES).iter().map(|value| value.to_str().ok());
        match (named.next(), named.next()) {
            (None, _) => Self::Nothing,
            (Some(Some(id)), None) => Self::Attempt(id.trim().into()),
            _ => Self::Ambiguous,
        }
    }
}

/// The identifier of a caller's request, even if the request is otherwise malformed.
#[must_use]
pub fn request_id(headers: &HeaderMap) -> Option<&str> {
    headers.get(names::ATTEMPT_ID)?.to_str().ok()
}

impl RequestHead {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`RequestHeadError`]: the request is malformed.
    pub fn decode(head: &Parts) -> Result<Self, RequestHeadError> {
        let headers = &head.headers;
        let mut ids = headers.get_all(names::ATTEMPT_ID).iter();
        let id = ids.next().and_then(|id| id.to_str().ok()).ok_or(RequestHeadError::Id)?;
        if ids.next().is_some() {
            return Err(RequestHeadError::Id);
        }
        let authorization = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let key = authorization.and_then(|value| value.strip_prefix(BEARER_PREFIX));
        Ok(Self {
            id: id.into(),
            host: host(head)?,
            key: key.map(str::to_owned),
            deadline_ms: parse_amount(headers, names::DEADLINE_MS),
            prompt: prompt(headers),
            shared_parts: shared_parts(headers),
            last_event: last_event(headers),
            has_events: has_events(headers),
            resumes: Resumes::decode(headers),
        })
    }
}

/// True unless there is no last event, or it is 0. One that cannot be read may be any.
fn has_events(headers: &HeaderMap) -> bool {
    headers.get_all(names::LAST_EVENT_ID).iter().any(|last_event| {
        let id = last_event.to_str().ok().and_then(EventId::parse);
        id.is_none_or(|id| !id.is_zero())
    })
}

fn last_event(headers: &HeaderMap) -> Option<EventId> {
    let mut named = headers.get_all(names::LAST_EVENT_ID).iter();
    let last_event = named.next()?;
    if named.next().is_some() {
        return None;
    }
    EventId::parse(last_event.to_str().ok()?)
}

fn host(head: &Parts) -> Result<String, RequestHeadError> {
    let mut hosts = head.headers.get_all(hyper::header::HOST).iter();
    let host = hosts.next().and_then(|host| host.to_str().ok()).ok_or(RequestHeadError::Host)?;
    if hosts.next().is_some() {
        return Err(RequestHeadError::Host);
    }
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

/// A number that may be rounded, such as a time in milliseconds or an estimate; no identifier.
fn parse_amount(headers: &HeaderMap, name: &str) -> Option<u64> {
    let value: f64 = header_text(headers, name)?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

fn prompt(headers: &HeaderMap) -> Option<PromptShape> {
    let (prompt, output) = header_text(headers, names::TOKEN_COUNTS)?.split_once(',')?;
    let parts = header_text(headers, names::PROMPT_PREFIX).unwrap_or_default().split(',');
    Some(PromptShape {
        prompt_tokens: prompt.trim().parse().ok()?,
        max_output_tokens: output.trim().parse().ok()?,
        expected_output_tokens: parse_amount(headers, names::LENGTH_HINT),
        parts: parts.filter_map(prompt_part).collect(),
    })
}

fn prompt_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
}

/// The identifiers of all parts but the last. An entry keeps its place even if its length is
/// malformed, as the last place decides which part is not shared.
fn shared_parts(headers: &HeaderMap) -> Vec<Arc<str>> {
    let values = headers.get_all(names::PROMPT_PREFIX).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let entries: Vec<_> = texts.flat_map(|text| text.split(',')).collect();
    let Some((_, shared)) = entries.split_last() else { return Vec::new() };
    let mut ids: Vec<Arc<str>> = Vec::new();
    for id in shared.iter().map(|entry| part_id(entry)).filter(|id| !id.is_empty()) {
        if ids.len() < MAX_SHARED_PARTS && !ids.iter().any(|known| **known == *id) {
            ids.push(id.into());
        }
    }
    ids
}

/// The identifier of an entry, as the same number is always spelled.
fn part_id(entry: &str) -> String {
    let id = entry.split(':').next().unwrap_or_default().trim();
    let number = id.trim_start_matches('0');
    if number.is_empty() {
        id.get(..1).unwrap_or_default().to_owned()
    } else {
        number.to_ascii_lowercase()
    }
}

/// The location of a generation's copy, from which the generation can be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyLocation {
    /// The engine that ran the generation before.
    pub addr: SocketAddr,
    /// The handle of the copy.
    pub handle: String,
}

/// The values that the gateway sets in the headers of a request to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardOptions<'a> {
    /// The upstream that the request is meant for.
    pub upstream: &'a Upstream,
    /// The organisation that the request belongs to.
    pub organisation: Option<&'a Organisation>,
    /// The time that the upstream has for the request.
    pub deadline_ms: u64,
    /// The request's scheduling priority at an engine; 0 is the highest.
    pub priority: Option<u8>,
    /// The last event that the gateway delivered of a stream that it resumes. Without one, what the
    /// caller says is forwarded as it is.
    pub last_event: Option<&'a EventId>,
    /// The copy from which a generation is resumed.
    pub resume_from: Option<&'a CopyLocation>,
}

/// Builds the headers of a request to an upstream from those of the caller's request. The API key,
/// connection-specific headers and the caller's values of reserved headers are not forwarded.
#[must_use]
pub fn upstream_headers(caller: &HeaderMap, options: &ForwardOptions<'_>) -> HeaderMap {
    let connection_specific = connection_headers(caller);
    let mut headers = HeaderMap::with_capacity(caller.len() + 6);
    for (name, value) in caller {
        if !is_dropped(name) && !connection_specific.contains(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    set_header(&mut headers, names::EXPECT_INSTANCE, options.upstream.as_str());
    set_header(&mut headers, names::DEADLINE_MS, &options.deadline_ms.to_string());
    if let Some(organisation) = options.organisation {
        set_header(&mut headers, names::TENANT, organisation.as_str());
    }
    if let Some(priority) = options.priority {
        set_header(&mut headers, names::REQUEST_PRIORITY, &priority.to_string());
    }
    if let Some(last_event) = options.last_event {
        set_header(&mut headers, names::LAST_EVENT_ID, last_event.as_str());
    }
    if let Some(copy) = options.resume_from {
        set_header(&mut headers, names::KV_FROM, &format!("{}/{}", copy.addr, copy.handle));
    }
    headers
}

/// Makes the headers of a caller's request those of one that takes its own stream up after `last_event`.
pub fn set_resumption(headers: &mut HeaderMap, id: &str, last_event: &EventId) {
    set_header(headers, names::RESUMES, id);
    set_header(headers, names::LAST_EVENT_ID, last_event.as_str());
}

fn is_dropped(name: &HeaderName) -> bool {
    let standard = [
        AUTHORIZATION,
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ];
    standard.contains(name)
        || ["keep-alive", "proxy-connection", "proxy-authorization"].contains(&name.as_str())
        || names::RESERVED_HEADERS.contains(&name.as_str())
}

/// The headers that the `connection` header lists as connection-specific. Headers that upstreams
/// need are exempt.
fn connection_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    let forwarded =
        [names::ATTEMPT_ID, names::TOKEN_COUNTS, names::PROMPT_PREFIX, "x-model", "host"];
    let names = names.filter_map(|name| name.trim().to_ascii_lowercase().parse().ok());
    names.filter(|name: &HeaderName| !forwarded.contains(&name.as_str())).collect()
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => {
            log::warn!(target: "comfreymast", name, error:%; "invalid header value; header omitted")
        }
    }
}
