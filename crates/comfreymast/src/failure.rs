use std::path::PathBuf;

use comfreymast_base::OperationId;
use comfreymast_burn::PlotError;
use comfreymast_contract::ContractError;
use comfreymast_daemon::operators::OperatorError;
use comfreymast_daemon::{InvalidSetting, StartError};
use comfreymast_gateway::GatewayError;
use comfreymast_net::DialError;
use comfreymast_platform::{SettingsError, StoreError};
use derive_more::{Display, Error, From};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Failure {
    /// Settings of the daemon are missing or invalid.
    #[display("{} setting(s) cannot be used:\n{}", _0.len(), _0.iter().map(|fault| format!("  {fault}")).collect::<Vec<_>>().join("\n"))]
    #[error(ignore)]
    Settings(Vec<InvalidSetting>),
    /// A flag is missing or invalid.
    #[display("{flag}: {rule}")]
    #[from(ignore)]
    Usage {
        /// The flag.
        flag: &'static str,
        /// The rule that its value has to follow.
        rule: &'static str,
    },
    /// The daemon failed to start.
    #[display("{_0}")]
    Start(StartError),
    /// The settings file of the VM cannot be used.
    #[display("{_0}")]
    VmSettings(SettingsError),
    /// The gateway failed to start.
    #[display("{_0}")]
    Gateway(GatewayError),
    /// A logger is already installed.
    #[display("{_0}")]
    Logger(log::SetLoggerError),
    /// The logs have no line of the request.
    #[display("the logs have no line of the request {request}")]
    #[from(ignore)]
    #[error(ignore)]
    NoLogLines {
        /// The identifier of the request.
        request: String,
    },
    /// A file cannot be read.
    #[display("cannot read {}: {source}", path.display())]
    #[from(ignore)]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[display("cannot write {}: {source}", path.display())]
    #[from(ignore)]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A report could not be drawn.
    #[display("{_0}")]
    Plot(PlotError),
    /// The report lacks the requests of some daemons.
    #[display("the report is incomplete; no word from: {}", missing.join(", "))]
    #[from(ignore)]
    #[error(ignore)]
    IncompleteReport {
        /// The daemons that did not answer.
        missing: Vec<String>,
    },
    /// The document is not a valid contract.
    #[display("{_0}")]
    Contract(ContractError),
    /// The call to the daemon failed.
    #[display("{_0}")]
    Call(DialError),
    /// The call to publish a contract failed after the request may have been sent, so the daemon may
    /// have published it.
    #[display(
        "the outcome is unknown: {reason}; run the same command again, through any daemon, with --base {base} --operation {operation}"
    )]
    #[from(ignore)]
    PublishUnknown {
        /// Why the call failed.
        reason: DialError,
        /// The operation id, with which a retry asks for the outcome.
        operation: OperationId,
        /// The revision that the document was written against.
        base: u64,
    },
    /// The daemon answered with an error.
    #[display("{_0}{}", _0.operation.as_ref().map(|id| format!(" (operation {id})")).unwrap_or_default())]
    Operator(OperatorError),
    /// The daemon's answer cannot be parsed, or output cannot be encoded as JSON.
    #[display("the daemon's answer does not read: {_0}")]
    Json(serde_json::Error),
    /// Standard output cannot be written to.
    #[display("cannot write to standard output: {_0}")]
    #[from(ignore)]
    Output(std::io::Error),
    /// The call to the platform's store failed.
    #[display("the store: {_0}")]
    Store(StoreError),
    /// The call to the platform's store failed after it may have taken effect.
    #[display("the outcome is unknown: {_0}; list, and try again")]
    #[from(ignore)]
    StoreUnknown(StoreError),
    /// The store has no such request.
    #[display("the store has no request {fingerprint}")]
    #[from(ignore)]
    #[error(ignore)]
    NotQuarantined {
        /// The fingerprint that was given.
        fingerprint: String,
    },
    /// Signal handlers cannot be installed.
    #[display("cannot watch signals: {_0}")]
    Signals(std::io::Error),
    /// The change is on the log, but some daemons have not confirmed it.
    #[display("published, but not confirmed everywhere yet; no word from: {}", lagging.join(", "))]
    #[from(ignore)]
    #[error(ignore)]
    Unconfirmed {
        /// The daemons that have not confirmed it.
        lagging: Vec<String>,
    },
}

impl Failure {
    /// The exit code, as documented in `--help`.
    pub(crate) fn exit_code(&self) -> u8 {
        const FAILED: u8 = 1;
        const USAGE: u8 = 2;
        const CONFLICT: u8 = 3;
        const INCOMPLETE: u8 = 4;
        const UNKNOWN: u8 = 5;
        match self {
            Self::Settings(_) | Self::VmSettings(_) | Self::Usage { .. } => USAGE,
            Self::Operator(error) if error.code == "conflict" => CONFLICT,
            Self::Operator(error) if error.code == "outcome_unknown" => UNKNOWN,
            Self::PublishUnknown { .. } | Self::StoreUnknown(_) => UNKNOWN,
            Self::Unconfirmed { .. } | Self::IncompleteReport { .. } => INCOMPLETE,
            _ => FAILED,
        }
    }
}
