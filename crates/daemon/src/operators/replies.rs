use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// One line of `GET /contracts`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractSummary {
    /// Whose contract.
    pub organisation: String,
    /// Its revision in force.
    pub revision: u64,
    /// False when everything is refused.
    pub enabled: bool,
    /// Kinds of work it allows.
    pub kinds: Vec<String>,
}

/// `GET /contracts/{organisation}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractView {
    /// Whose contract.
    pub organisation: String,
    /// Its revision in force.
    pub revision: u64,
    /// The document as it was published.
    pub document: String,
    /// The latest revisions, oldest first.
    pub history: Vec<RevisionView>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionView {
    /// The revision it made.
    pub revision: u64,
    /// The operation that made it.
    pub operation: String,
    /// The log offset of its record.
    pub offset: u64,
    /// Who published it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch.
    pub published_unix_ms: u64,
}

/// `PUT /contracts/{organisation}`: the change is on the log and in force here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The revision it made.
    pub revision: u64,
    /// The operation, for asking again.
    pub operation: String,
    /// The log offset of its record.
    pub offset: u64,
    /// True when every live daemon has it in force.
    pub accepted: bool,
    /// Daemons that may still serve and have not confirmed it.
    pub lagging: Vec<String>,
    /// False when this daemon has not seen the VM list yet and cannot tell who has to confirm.
    pub fleet_known: bool,
}

/// One line of `GET /quarantine`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
    /// SHA-256 of model and prompt.
    pub fingerprint: String,
    /// Engines that died while they ran it.
    pub deaths: u32,
    /// The daemon that declared it.
    pub daemon: String,
    /// When, in milliseconds since the Unix epoch.
    pub declared_unix_ms: u64,
}

/// `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// The daemon that answers.
    pub daemon: String,
    /// True when callers are let in.
    pub ready: bool,
    /// True while its contracts are known to be up to date.
    pub current: bool,
    /// True when it is on its way out.
    pub draining: bool,
    /// The first log offset not yet in force here.
    pub next_offset: u64,
    /// The log offset up to which the latest snapshot holds everything.
    pub snapshot_offset: u64,
    /// Contracts in force.
    pub contracts: u64,
    /// Bad records skipped.
    pub skipped_records: u64,
    /// Daemons heard of lately.
    pub live_peers: Vec<String>,
    /// Daemons on the VM list that are silent.
    pub silent_peers: Vec<String>,
    /// Engines and plain servers that take new work.
    pub upstreams: u64,
    /// Upstreams that leave.
    pub leaving_upstreams: Vec<String>,
}

/// An answer that is not a success.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code}: {message}")]
pub struct OperatorError {
    /// A word that programs compare, such as `conflict`.
    pub code: String,
    /// What happened, for people.
    pub message: String,
    /// The operation, where one was begun; publish again with it to ask for its outcome.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<String>,
}
