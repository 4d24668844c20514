//! The fields that the platform defines for a configuration, whether daemons read them or not.

/// Those of the document.
pub const DOCUMENT: &[&str] = &["version", "routes", "services", "limits", "tenants"];
/// Those of a route.
pub const ROUTE: &[&str] = &[
    "name",
    "host",
    "pathPrefix",
    "kind",
    "resumable",
    "timeoutMs",
    "targetLatencyMs",
    "gapAimMs",
    "priority",
    "maxAttempts",
    "public",
    "sticky",
    "service",
    "trafficSplit",
    "allowedRegions",
];
/// Those of a part of a split route.
pub const SPLIT: &[&str] = &["service", "weight"];
/// Those of a service.
pub const SERVICE: &[&str] = &[
    "name",
    "maxConnections",
    "healthPath",
    "protocol",
    "tls",
    "engine",
    "coldPerS",
    "coldStartS",
];
/// Those of the engines of a service.
pub const ENGINE: &[&str] = &[
    "slots",
    "kvCapacityTokens",
    "kvTokenBytes",
    "linkMbps",
    "moves",
    "stride",
    "backups",
    "most",
    "pinMs",
    "holdMs",
    "handleS",
    "models",
    "maxRequestTokens",
];
/// Those of the limits.
pub const LIMITS: &[&str] = &["maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"];
/// Those of an organisation.
pub const TENANT: &[&str] = &["name", "apiKeys", "priority", "allowedRegions"];
