//! The fields that daemons read. All others are ignored by them.

/// Those of the document.
pub(crate) const DOCUMENT: &[&str] = &["version", "routes", "services", "limits", "tenants"];
/// Those of a route.
pub(crate) const ROUTE: &[&str] = &[
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
    "service",
    "trafficSplit",
    "allowedRegions",
];
/// Those of a part of a split route.
pub(crate) const SPLIT: &[&str] = &["service", "weight"];
/// Those of a service.
pub(crate) const SERVICE: &[&str] =
    &["name", "maxConnections", "healthPath", "engine", "coldPerS", "coldStartS"];
/// Those of the engines of a service.
pub(crate) const ENGINE: &[&str] = &[
    "slots",
    "kvCapacityTokens",
    "kvTokenBytes",
    "linkMbps",
    "moves",
    "stride",
    "backups",
    "maxRequestTokens",
];
/// Those of the limits.
pub(crate) const LIMITS: &[&str] =
    &["maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"];
/// Those of an organisation.
pub(crate) const TENANT: &[&str] = &["name", "apiKeys", "priority", "allowedRegions"];
