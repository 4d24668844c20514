use std::path::PathBuf;

use comfreymast_base::OperationId;
use comfreymast_burn::PlotError;
use comfreymast_contract::ContractError;
use comfreymast_daemon::operators::OperatorError;
use comfreymast_daemon::{InvalidSetting, StartError};
use comfreymast_gateway::GatewayError;
use comfreymast_net::DialError;
use comfreymast_platform::SettingsError;
use derive_more::{Display, Error, From};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Failure {
    /// The daemon's settings cannot be used.
    #[display("{} setting(s) cannot be used:\n{}", _0.len(), _0.iter().map(|fault| format!("  {fault}")).collect::<Vec<_>>().join("\n"))]
    #[error(ignore)]
    Settings(Vec<InvalidSetting>),
    /// A flag of an operators' command is missing or bad.
    #[display("{flag}: {rule}")]
    #[from(ignore)]
    Usage {
        /// The flag.
        flag: &'static str,
        /// The rule.
        rule: &'static str,
    },
    /// The daemon did not start.
    #[display("{_0}")]
    Start(StartError),
    /// The settings of the VM cannot be used.
    #[display("{_0}")]
    VmSettings(SettingsError),
    /// The gateway did not start.
    #[display("{_0}")]
    Gateway(GatewayError),
    /// Another logger is there already.
    #[display("{_0}")]
    Log(log::SetLoggerError),
    /// The logs say nothing of a request.
    #[display("the logs have no line of the request {request}")]
    #[from(ignore)]
    #[error(ignore)]
    NoLines {
        /// The request.
        request: String,
    },
    /// A file cannot be read.
    #[display("cannot read {}: {source}", path.display())]
    #[from(ignore)]
    File {
        /// The file.
        path: PathBuf,
        /// What the machine said.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[display("cannot write {}: {source}", path.display())]
    #[from(ignore)]
    Write {
        /// The file.
        path: PathBuf,
        /// What the machine said.
        source: std::io::Error,
    },
    /// A report could not be drawn.
    #[display("{_0}")]
    Plot(PlotError),
    /// Some daemons are in no figure of a report.
    #[display("the report is incomplete; no word from: {}", missing.join(", "))]
    #[from(ignore)]
    #[error(ignore)]
    Missing {
        /// The daemons.
        missing: Vec<String>,
    },
    /// The document is not a contract.
    #[display("{_0}")]
    Contract(ContractError),
    /// The daemon did not answer.
    #[display("{_0}")]
    Call(DialError),
    /// The daemon did not answer a publication that it may have made.
    #[display(
        "the outcome is unknown: {reason}; run the same command again, through any daemon, with --base {base} --operation {operation}"
    )]
    #[from(ignore)]
    PublishUnknown {
        /// What happened.
        reason: DialError,
        /// The operation, to ask with.
        operation: OperationId,
        /// The revision it was written against.
        base: u64,
    },
    /// The daemon answered with an error.
    #[display("{_0}{}", _0.operation.as_ref().map(|id| format!(" (operation {id})")).unwrap_or_default())]
    Operator(OperatorError),
    /// The daemon's answer does not read.
    #[display("the daemon's answer does not read: {_0}")]
    Json(serde_json::Error),
    /// Standard output cannot be written.
    #[display("cannot write to standard output: {_0}")]
    #[from(ignore)]
    Output(std::io::Error),
    /// Signals cannot be watched.
    #[display("cannot watch signals: {_0}")]
    Signals(std::io::Error),
    /// The change is on the log, but some daemons have not confirmed it.
    #[display("published, but not confirmed everywhere yet; no word from: {}", lagging.join(", "))]
    #[from(ignore)]
    #[error(ignore)]
    Lagging {
        /// The daemons.
        lagging: Vec<String>,
    },
}

impl Failure {
    /// The exit code that `--help` promises.
    pub(crate) fn code(&self) -> u8 {
        const FAILED: u8 = 1;
        const USAGE: u8 = 2;
        const CONFLICT: u8 = 3;
        const INCOMPLETE: u8 = 4;
        const UNKNOWN: u8 = 5;
        match self {
            Self::Settings(_) | Self::VmSettings(_) | Self::Usage { .. } => USAGE,
            Self::Operator(error) if error.code == "conflict" => CONFLICT,
            Self::Operator(error) if error.code == "outcome_unknown" => UNKNOWN,
            Self::PublishUnknown { .. } => UNKNOWN,
            Self::Lagging { .. } | Self::Missing { .. } => INCOMPLETE,
            _ => FAILED,
        }
    }
}
