//! Names of headers, paths and topics as the platform spells them.

/// Identifies one attempt of a client; forwarded unchanged and echoed by upstreams.
pub(crate) const ATTEMPT_ID: &str = "x-attempt-id";
/// How many milliseconds the sender will wait.
pub(crate) const DEADLINE_MS: &str = "x-deadline-ms";
/// The name of the upstream that must answer.
pub(crate) const EXPECT_INSTANCE: &str = "x-expect-instance";
/// The organisation that holds the caller's key.
pub(crate) const TENANT: &str = "x-tenant";
/// Marks an answer of an upstream that did not run the request.
pub(crate) const NOT_EXECUTED: &str = "x-not-executed";
/// Proves that an answer comes from an upstream.
pub(crate) const SIGNATURE: &str = "x-server-signature";
/// Prompt tokens and the most output tokens.
pub(crate) const TOKEN_COUNTS: &str = "x-token-counts";
/// The parts of the prompt, in order.
pub(crate) const PROMPT_PREFIX: &str = "x-prompt-prefix";
/// The caller's estimate of its output tokens.
pub(crate) const LENGTH_HINT: &str = "x-length-hint";
/// A rank from 0, which is first, to 9.
pub(crate) const REQUEST_PRIORITY: &str = "x-request-priority";
/// The last event that was received.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";
/// The copy of a generation from which a request continues.
pub(crate) const KV_FROM: &str = "kv-from";
/// Headers that only the system may set; a caller's are dropped.
pub(crate) const RESERVED: [&str; 10] = [
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
/// Where the balancer asks whether a daemon takes connections.
pub(crate) const READY_PATH: &str = "/-/ready";
/// Where an engine is told to copy a running generation.
pub(crate) const MOVE_PATH: &str = "/-/kv-move";
/// Appends records to a topic.
pub(crate) const APPEND_PATH: &str = "/-/log-append";
/// Reads records of a topic.
pub(crate) const READ_PATH: &str = "/-/log-read";
/// Reads the newest record of each key.
pub(crate) const NEWEST_PATH: &str = "/-/log-newest";
/// Asks an engine how it is.
pub(crate) const REPORT_PATH: &str = "/-/report";
/// The state of an upstream that is about to go.
pub(crate) const LEAVING_STATE: &str = "draining";
