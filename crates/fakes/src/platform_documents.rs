//! The JSON documents and headers that operators, upstreams, callers and VMs of the platform write.
//!
//! They are spelled out as the platform specifies them, independently of the code under test.
//!
//! ```
//! use comfreymast_fakes::platform_documents::{CallerRequest, signer};
//!
//! let request = CallerRequest { id: "a1", ..CallerRequest::default() }.request("GET", "/x", "");
//! assert_eq!(signer(request.headers()), None);
//! ```

use std::collections::BTreeSet;
use std::net::SocketAddr;

use comfreymast_net::{Body, full, request};
use hyper::body::Bytes;
use hyper::{HeaderMap, Request};
use serde_json::{Value, json};

/// The topic in which upstreams register.
pub const UPSTREAMS_TOPIC: &str = "keyed.servers";
/// The topic in which operators publish.
pub const OPERATORS_TOPIC: &str = "keyed.op";
/// The key of the configuration in [`OPERATORS_TOPIC`].
pub const CONFIGURATION_KEY: &str = "config";
/// What precedes an upstream's name in the signature of its answers.
pub(crate) const SIGNATURE_PREFIX: &str = "signed-by-";

/// The registration of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamEntry<'a> {
    /// The address it listens on.
    pub addr: SocketAddr,
    /// Its service.
    pub service: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// How many requests it runs concurrently.
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: &'a str,
    /// The version of its software.
    pub version: &'a str,
    /// When it started, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// The number of the entry since then.
    pub sequence: u64,
}

impl UpstreamEntry<'_> {
    /// The entry as JSON.
    #[must_use]
    pub fn document(&self) -> Value {
        json!({
            "service": self.service, "address": self.addr.to_string(), "zone": self.data_centre,
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
            "version": self.version, "born": self.started_unix_ms,
        })
    }
}

/// One route of a configuration. Its name is also the first part of its paths.
#[derive(Clone, Copy, Debug)]
pub struct RouteEntry<'a> {
    /// Its name.
    pub name: &'a str,
    /// `safe`, `unsafe` or `streaming`.
    pub kind: &'a str,
    /// The service that serves it.
    pub service: &'a str,
    /// Maximum number of upstreams that a request is sent to.
    pub max_attempts: u32,
    /// True when a broken stream may be resumed after its last event.
    pub is_resumable: bool,
    /// The time limit of a request.
    pub timeout_ms: u64,
    /// The latency target of an answer.
    pub target_latency_ms: u64,
    /// Its priority; 0 is the highest.
    pub priority: u32,
}

impl Default for RouteEntry<'_> {
    fn default() -> Self {
        Self {
            name: "plain",
            kind: "unsafe",
            service: "plain",
            max_attempts: 1,
            is_resumable: false,
            timeout_ms: 10_000,
            target_latency_ms: 1_000,
            priority: 2,
        }
    }
}

impl RouteEntry<'_> {
    /// The route as JSON, in a configuration for `host`.
    #[must_use]
    pub fn document(&self, host: &str) -> Value {
        json!({
            "name": self.name, "host": host, "pathPrefix": format!("/{}/", self.name),
            "kind": self.kind, "timeoutMs": self.timeout_ms,
            "targetLatencyMs": self.target_latency_ms, "priority": self.priority,
            "service": self.service, "maxAttempts": self.max_attempts, "public": false,
            "resumable": self.is_resumable,
        })
    }
}

/// A configuration with a plain service, a service of engines and one organisation.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationEntry<'a> {
    /// Its version.
    pub version: u64,
    /// The host of all routes.
    pub host: &'a str,
    /// The routes.
    pub routes: &'a [RouteEntry<'a>],
    /// How many generations an engine runs concurrently.
    pub slots: u32,
    /// The capacity of an engine's memory.
    pub memory_tokens: u64,
    /// The organisation.
    pub organisation: &'a str,
    /// Its API key.
    pub key: &'a str,
}

impl ConfigurationEntry<'_> {
    /// The configuration as JSON.
    #[must_use]
    pub fn document(&self) -> Value {
        let routes: Vec<_> = self.routes.iter().map(|route| route.document(self.host)).collect();
        json!({
            "version": self.version,
            "routes": routes,
            "services": [
                { "name": "plain", "maxConnections": 200 },
                { "name": "engines", "maxConnections": 200, "engine": {
                    "slots": self.slots, "kvCapacityTokens": self.memory_tokens,
                    "kvTokenBytes": 1_000, "linkMbps": 1_000.0, "moves": true, "stride": 4 } },
            ],
            "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 4_096,
                        "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000 },
            "tenants": [{ "name": self.organisation, "apiKeys": [self.key], "priority": 1 }],
        })
    }
}

/// The settings of a VM on loopback, with ports chosen by the system.
#[derive(Clone, Copy, Debug)]
pub struct VmEntry<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// The address of the store.
    pub store_addr: SocketAddr,
    /// Grace period after SIGTERM, in seconds.
    pub grace_s: u64,
    /// Retries allowed per request, as a ratio.
    pub retry_ratio: f64,
    /// Retries allowed in each window in addition to the ratio.
    pub retry_slack: f64,
    /// The window of the retry budget, in seconds.
    pub retry_window_s: u64,
    /// The rate of its link, in Mbit/s.
    pub link_mbps: f64,
}

impl VmEntry<'_> {
    /// The settings as JSON.
    #[must_use]
    pub fn document(&self) -> Value {
        json!({
            "node": self.name, "ip": "127.0.0.1", "zone": self.data_centre, "portRange": [0, 0],
            "listen": { "front": "127.0.0.1:0", "ready": "127.0.0.1:0" },
            "platform": { "address": self.store_addr.to_string() },
            "bounds": { "graceS": self.grace_s, "retryBudgetRatio": self.retry_ratio,
                "budgetSlack": self.retry_slack, "budgetWindowS": self.retry_window_s },
            "limits": { "memoryMb": 512, "linkMbps": self.link_mbps },
        })
    }
}

/// A caller's request.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest<'a> {
    /// Its identifier.
    pub id: &'a str,
    /// The host.
    pub host: &'a str,
    /// The caller's API key.
    pub key: &'a str,
    /// How long the caller waits.
    pub deadline_ms: u64,
    /// Number of prompt tokens and maximum number of output tokens; `None` for a plain request.
    pub tokens: Option<(u64, u64)>,
    /// The parts of its prompt with their lengths, such as `aa:79,bb:300`; `None` for no parts.
    pub prompt_parts: Option<&'a str>,
    /// The attempt that brought the first event of a stream, and the last event that arrived, if the
    /// request takes it up.
    pub resumes: Option<(&'a str, u64)>,
    /// The organisation that the caller falsely claims in `x-tenant`.
    pub forged_organisation: Option<&'a str>,
}

impl Default for CallerRequest<'_> {
    fn default() -> Self {
        Self {
            id: "id",
            host: "h.example",
            key: "key-1",
            deadline_ms: 15_000,
            tokens: None,
            prompt_parts: None,
            resumes: None,
            forged_organisation: None,
        }
    }
}

impl CallerRequest<'_> {
    /// The HTTP request.
    #[must_use]
    pub fn request(&self, method: &str, path: &str, body: impl Into<Bytes>) -> Request<Body> {
        let unused_addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut built = request(unused_addr, method, path, full(body));
        let tokens = self.tokens.map(|(prompt, output)| format!("{prompt},{output}"));
        let headers = [
            ("host", Some(self.host.to_owned())),
            ("x-attempt-id", Some(self.id.to_owned())),
            ("x-deadline-ms", Some(self.deadline_ms.to_string())),
            ("authorization", Some(format!("Bearer {}", self.key))),
            ("x-token-counts", tokens),
            ("x-prompt-prefix", self.prompt_parts.map(str::to_owned)),
            ("resumes", self.resumes.map(|(attempt, _)| attempt.to_owned())),
            ("last-event-id", self.resumes.map(|(_, event)| event.to_string())),
            ("x-tenant", self.forged_organisation.map(str::to_owned)),
        ];
        for (name, value) in headers {
            if let Some(Ok(value)) = value.map(|value| value.parse()) {
                built.headers_mut().insert(name, value);
            }
        }
        built
    }

    /// The HTTP request as a caller writes it that sends it itself, in parts.
    #[must_use]
    pub fn text(&self, method: &str, path: &str, body: &str) -> String {
        let request = self.request(method, path, body.to_owned());
        let headers = request.headers().iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some(format!("{name}: {value}\r\n"))
        });
        let headers: String = headers.collect();
        let length = body.len();
        format!("{method} {path} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n{body}")
    }
}

/// The name of the upstream that signed an answer.
#[must_use]
pub fn signer(headers: &HeaderMap) -> Option<&str> {
    headers.get("x-server-signature")?.to_str().ok()?.strip_prefix(SIGNATURE_PREFIX)
}

/// The organisation of a request, as forwarded to its upstream.
#[must_use]
pub fn organisation(headers: &HeaderMap) -> Option<&str> {
    headers.get("x-tenant")?.to_str().ok()
}

/// The identifiers of the parts of a request's prompt, without the last, which is never shared.
#[must_use]
pub fn shared_parts(headers: &HeaderMap) -> Vec<&str> {
    let value = headers.get("x-prompt-prefix").and_then(|value| value.to_str().ok());
    let mut ids: Vec<_> = value
        .into_iter()
        .flat_map(|text| text.split(','))
        .map(|entry| entry.split_once(':').map_or(entry, |(id, _)| id))
        .collect();
    ids.pop();
    ids
}

/// True when the headers carry an API key.
#[must_use]
pub fn has_key(headers: &HeaderMap) -> bool {
    headers.contains_key("authorization")
}

/// The versions of the upstreams that wrote the complete events of a stream, each once.
#[must_use]
pub fn event_versions(body: &[u8]) -> BTreeSet<String> {
    let text = String::from_utf8_lossy(body);
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let data = complete.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter_map(|data| data.split_once(' ')).map(|(_, version)| version.to_owned()).collect()
}

/// The ids of the complete events in a stream.
#[must_use]
pub fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    // A truncated event has no empty line after it.
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let ids = complete.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
