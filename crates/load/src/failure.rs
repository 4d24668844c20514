use comfreymast_net::DialError;
use comfreymast_proof::ProofError;
use derive_more::{Display, Error, From};

/// Why a run failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Failure {
    /// The fleet did not start or did not reach the expected state.
    #[display("{_0}")]
    Proof(ProofError),
    /// A connection or request failed.
    #[display("{_0}")]
    Call(DialError),
    /// A local file or socket operation failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// The log rejected a contract.
    #[display("{_0}")]
    Log(comfreymast_platform::LogError),
    /// A histogram cannot record a value.
    #[display("{_0}")]
    Record(hdrhistogram::RecordError),
    /// A histogram cannot be created.
    #[display("{_0}")]
    Histogram(hdrhistogram::CreationError),
    /// Two histograms cannot be merged.
    #[display("{_0}")]
    Add(hdrhistogram::AdditionError),
    /// The slope is unknown.
    #[display("unknown slope {name}")]
    #[from(ignore)]
    UnknownSlope {
        /// The requested name.
        name: String,
    },
    /// A string is not a socket address.
    #[display("{text:?} is not a socket address")]
    #[from(ignore)]
    InvalidAddress {
        /// The string.
        text: String,
    },
    /// A `comfreymast` command failed.
    #[display("comfreymast exited with {code}: {stderr}")]
    #[from(ignore)]
    Command {
        /// The exit code.
        code: i32,
        /// What it wrote to standard error.
        stderr: String,
    },
    /// The daemon refused a stream.
    #[display("the daemon answered {status}")]
    #[from(ignore)]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The stream ended before its last token.
    #[display("the stream ended after {tokens} tokens")]
    #[from(ignore)]
    Incomplete {
        /// Tokens read.
        tokens: u32,
    },
    /// A token was missing, duplicated or from another generation.
    #[display("expected token {expected:?}, read {found:?}")]
    #[from(ignore)]
    WrongToken {
        /// The expected text.
        expected: String,
        /// The received text.
        found: String,
    },
}
