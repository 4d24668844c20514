use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// One entry of the reply to `GET /contracts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractSummary {
    /// Whose contract.
    pub organisation: String,
    /// Its revision in force.
    pub revision: u64,
    /// False when all requests of the organisation are refused.
    pub enabled: bool,
    /// The kinds of work that it allows.
    pub kinds: Vec<String>,
}

/// The reply to `GET /contracts/{organisation}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractView {
    /// Whose contract.
    pub organisation: String,
    /// Its revision in force.
    pub revision: u64,
    /// The document as published.
    pub document: String,
    /// The latest revisions, oldest first.
    pub history: Vec<RevisionView>,
}

/// One accepted change of a contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionView {
    /// The revision that the change created.
    pub revision: u64,
    /// The operation that published it.
    pub operation: String,
    /// The log offset of its record.
    pub offset: u64,
    /// Who published it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch.
    pub published_unix_ms: u64,
}

/// The reply to `PUT /contracts/{organisation}`: the change is on the log and in force on this
/// daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The revision that the change created.
    pub revision: u64,
    /// The operation; publishing again with it returns the same outcome.
    pub operation: String,
    /// The log offset of its record.
    pub offset: u64,
    /// True when every live daemon has it in force.
    pub accepted: bool,
    /// Daemons that may still serve and have not confirmed the change.
    pub lagging: Vec<String>,
    /// False when this daemon has not read the VM list yet, so it cannot tell which daemons have
    /// to confirm.
    pub fleet_known: bool,
}

/// One entry of the reply to `GET /quarantine`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
    /// SHA-256 of the model and the prompt.
    pub fingerprint: String,
    /// The number of engines that died while they ran the request.
    pub deaths: u32,
    /// The daemon that declared the quarantine.
    pub daemon: String,
    /// When, in milliseconds since the Unix epoch.
    pub declared_unix_ms: u64,
}

/// The reply to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The name of the daemon that answers.
    pub daemon: String,
    /// True when callers are admitted.
    pub ready: bool,
    /// True while its contracts are known to be up to date.
    pub current: bool,
    /// True once it has begun to drain.
    pub draining: bool,
    /// The offset of the next log record to apply.
    pub next_offset: u64,
    /// The log offset up to which the latest snapshot covers all records.
    pub snapshot_offset: u64,
    /// The number of contracts in force.
    pub contracts: u64,
    /// The number of invalid records skipped.
    pub skipped_records: u64,
    /// Daemons on the VM list with a recent heartbeat.
    pub live_peers: Vec<String>,
    /// Daemons on the VM list without a recent heartbeat.
    pub silent_peers: Vec<String>,
    /// The number of engines and servers that accept new work.
    pub upstreams: u64,
    /// Upstreams that are leaving.
    pub leaving_upstreams: Vec<String>,
}

/// An error reply.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code}: {message}")]
pub struct OperatorError {
    /// A code for programs to compare, such as `conflict`.
    pub code: String,
    /// A description for people.
    pub message: String,
    /// The operation, if one was started; publishing again with it returns its outcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<String>,
}
