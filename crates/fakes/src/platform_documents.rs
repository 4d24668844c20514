//! What operators, upstreams, callers and VMs of the platform write, spelled as it publishes them,
//! apart from the code under test.
//!
//! ```
//! use comfreymast_fakes::platform_documents::{CallerRequest, signer};
//!
//! let request = CallerRequest { id: "a1", ..CallerRequest::default() }.request("GET", "/x", "");
//! assert_eq!(signer(request.headers()), None);
//! ```

use std::net::SocketAddr;

use comfreymast_net::{Body, full, request};
use hyper::body::Bytes;
use hyper::{HeaderMap, Request};
use serde_json::{Value, json};

/// The topic in which upstreams write what they say of themselves.
pub const UPSTREAMS: &str = "keyed.servers";
/// The topic in which operators write.
pub const OPERATORS: &str = "keyed.op";
/// The key of the configuration among what operators write.
pub const CONFIGURATION: &str = "config";
/// How upstreams sign their answers, before their name.
pub(crate) const SIGNED_BY: &str = "signed-by-";

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamEntry<'a> {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its service.
    pub service: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// How many requests it runs at once.
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: &'a str,
}

impl UpstreamEntry<'_> {
    /// The entry as it is written.
    #[must_use]
    pub fn document(&self) -> Value {
        json!({
            "service": self.service, "address": self.addr.to_string(), "zone": self.data_centre,
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": 1, "born": 5,
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
    /// Who serves it.
    pub service: &'a str,
    /// To how many upstreams a request may be sent.
    pub max_attempts: u32,
    /// True when a stream may go on after its last event.
    pub is_resumable: bool,
    /// The longest that a request is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer is on time.
    pub target_latency_ms: u64,
    /// Its rank, 0 first.
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
    /// The route as it stands in a configuration for `host`.
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

/// A configuration with a plain service, one of engines, and one organisation.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationEntry<'a> {
    /// Its version.
    pub version: u64,
    /// The host of all routes.
    pub host: &'a str,
    /// The routes.
    pub routes: &'a [RouteEntry<'a>],
    /// How many generations an engine runs at once.
    pub slots: u32,
    /// The tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// The organisation.
    pub organisation: &'a str,
    /// Its key.
    pub key: &'a str,
}

impl ConfigurationEntry<'_> {
    /// The configuration as it is written.
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

/// The settings of a VM whose ports the system chooses.
#[derive(Clone, Copy, Debug)]
pub struct VmEntry<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// The store.
    pub store_addr: SocketAddr,
    /// How long it lives after SIGTERM, in seconds.
    pub grace_s: u64,
    /// The share of requests that may be repeated.
    pub retry_ratio: f64,
    /// Repeats allowed on top of that in each window.
    pub retry_slack: f64,
    /// The window, in seconds.
    pub retry_window_s: u64,
}

impl VmEntry<'_> {
    /// The settings as the platform writes them.
    #[must_use]
    pub fn document(&self) -> Value {
        json!({
            "node": self.name, "ip": "127.0.0.1", "zone": self.data_centre, "portRange": [0, 0],
            "listen": { "front": "127.0.0.1:0", "ready": "127.0.0.1:0" },
            "platform": { "address": self.store_addr.to_string() },
            "bounds": { "graceS": self.grace_s, "retryBudgetRatio": self.retry_ratio,
                "budgetSlack": self.retry_slack, "budgetWindowS": self.retry_window_s },
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
    /// The caller's key.
    pub key: &'a str,
    /// How long the caller waits.
    pub deadline_ms: u64,
    /// Prompt tokens and the most output tokens, for a generation.
    pub tokens: Option<(u64, u64)>,
    /// An organisation that the caller claims to be.
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
            forged_organisation: None,
        }
    }
}

impl CallerRequest<'_> {
    /// The request as it is sent.
    #[must_use]
    pub fn request(&self, method: &str, path: &str, body: impl Into<Bytes>) -> Request<Body> {
        let any_addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut sent = request(any_addr, method, path, full(body));
        let tokens = self.tokens.map(|(prompt, output)| format!("{prompt},{output}"));
        let headers = [
            ("host", Some(self.host.to_owned())),
            ("x-attempt-id", Some(self.id.to_owned())),
            ("x-deadline-ms", Some(self.deadline_ms.to_string())),
            ("authorization", Some(format!("Bearer {}", self.key))),
            ("x-token-counts", tokens),
            ("x-tenant", self.forged_organisation.map(str::to_owned)),
        ];
        for (name, value) in headers {
            if let Some(Ok(value)) = value.map(|value| value.parse()) {
                sent.headers_mut().insert(name, value);
            }
        }
        sent
    }
}

/// The upstream that signed an answer.
#[must_use]
pub fn signer(headers: &HeaderMap) -> Option<&str> {
    headers.get("x-server-signature")?.to_str().ok()?.strip_prefix(SIGNED_BY)
}

/// The organisation for which a request ran, as its upstream was told.
#[must_use]
pub fn organisation(headers: &HeaderMap) -> Option<&str> {
    headers.get("x-tenant")?.to_str().ok()
}

/// True when an upstream was given the caller's key.
#[must_use]
pub fn has_key(headers: &HeaderMap) -> bool {
    headers.contains_key("authorization")
}

/// The ids of the whole events in a stream.
#[must_use]
pub fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    // An event that broke off has no empty line after it.
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}
