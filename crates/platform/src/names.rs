//! Header names, paths and values that the platform defines.

/// Identifies one attempt of a caller; forwarded unchanged and echoed by upstreams.
pub(crate) const ATTEMPT_ID: &str = "x-attempt-id";
/// How long the sender waits for the response, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "x-deadline-ms";
/// The name of the upstream that the request is meant for.
pub(crate) const EXPECT_INSTANCE: &str = "x-expect-instance";
/// The organisation that the caller's API key belongs to.
pub(crate) const TENANT: &str = "x-tenant";
/// Marks the response of an upstream that did not execute the request.
pub(crate) const NOT_EXECUTED: &str = "x-not-executed";
/// The requests a second that an upstream in need takes from all daemons together.
pub(crate) const SERVER_LIMIT: &str = "server-limit";
/// Set on all answers of an upstream that falls over when it has to turn away too many requests.
pub(crate) const SERVER_BRITTLE: &str = "server-brittle";
/// Set on all answers of an upstream that is leaving.
pub(crate) const SERVER_LEAVING: &str = "server-leaving";
/// How much longer the upstream that answers is cold, in milliseconds.
pub(crate) const COLD_MS: &str = "x-cold-ms";
/// The upstream's signature, which shows that a response comes from an upstream.
pub(crate) const SIGNATURE: &str = "x-server-signature";
/// The number of prompt tokens and the maximum number of output tokens.
pub(crate) const TOKEN_COUNTS: &str = "x-token-counts";
/// The identifiers and lengths of the prompt's parts, in order.
pub(crate) const PROMPT_PREFIX: &str = "x-prompt-prefix";
/// The caller's estimate of the number of output tokens.
pub(crate) const LENGTH_HINT: &str = "x-length-hint";
/// The scheduling priority from 0 (highest) to 9 (lowest).
pub(crate) const REQUEST_PRIORITY: &str = "x-request-priority";
/// The identifier of the last event that was received on a stream.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";
/// The caller's attempt that brought the first event of a stream which this one takes up.
pub(crate) const RESUMES: &str = "resumes";
/// The copy of a generation from which a request resumes.
pub(crate) const KV_FROM: &str = "kv-from";
/// Headers that only the gateway sets on requests to upstreams; a caller's are not forwarded.
pub(crate) const RESERVED_HEADERS: [&str; 10] = [
    EXPECT_INSTANCE,
    TENANT,
    REQUEST_PRIORITY,
    "x-expect-version",
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    KV_FROM,
    "kv-fetch",
    DEADLINE_MS,
];
/// Readiness probe of the load balancer.
pub(crate) const READY_PATH: &str = "/-/ready";
/// Asks an engine to copy a running generation to another engine.
pub(crate) const MOVE_PATH: &str = "/-/kv-move";
/// Appends records to a topic.
pub(crate) const APPEND_PATH: &str = "/-/log-append";
/// Reads records of a topic.
pub(crate) const READ_PATH: &str = "/-/log-read";
/// Reads the newest record of each key of a topic.
pub(crate) const NEWEST_PATH: &str = "/-/log-newest";
/// Queries the status of an engine.
pub(crate) const REPORT_PATH: &str = "/-/report";
/// The `state` of an upstream that is about to shut down.
pub(crate) const DRAINING_STATE: &str = "draining";
/// The era of the store, which rises when it comes back from an older copy.
pub(crate) const STORE_ERA: &str = "store-era";
