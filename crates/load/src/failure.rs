use comfreymast_net::DialError;
use comfreymast_proof::ProofError;
use derive_more::{Display, Error, From};

/// Why a run failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum Failure {
    /// The fleet did not start, or did not do what was waited for.
    #[display("{_0}")]
    Proof(ProofError),
    /// A call broke.
    #[display("{_0}")]
    Call(DialError),
    /// A file or socket of this machine failed.
    #[display("{_0}")]
    Output(std::io::Error),
    /// The log took no contract.
    #[display("{_0}")]
    Log(comfreymast_platform::LogError),
    /// A histogram cannot hold a time.
    #[display("{_0}")]
    Record(hdrhistogram::RecordError),
    /// A histogram cannot be made.
    #[display("{_0}")]
    Histogram(hdrhistogram::CreationError),
    /// Two histograms do not fit.
    #[display("{_0}")]
    Add(hdrhistogram::AdditionError),
    /// There is no slope of this name.
    #[display("there is no slope {name}")]
    #[from(ignore)]
    NoSlope {
        /// The name.
        name: String,
    },
    /// A text is no address.
    #[display("{text:?} is no address")]
    #[from(ignore)]
    Address {
        /// The text.
        text: String,
    },
    /// A command of the command line failed.
    #[display("comfreymast exited with {code}: {stderr}")]
    #[from(ignore)]
    Command {
        /// Its exit code.
        code: i32,
        /// What it said.
        stderr: String,
    },
    /// A stream was refused.
    #[display("the daemon answered {status}")]
    #[from(ignore)]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The stream ended before its end.
    #[display("the stream ended after {tokens} tokens")]
    #[from(ignore)]
    Short {
        /// Tokens read.
        tokens: u32,
    },
    /// A token was missed, doubled or of another generation.
    #[display("expected token {expected:?}, read {found:?}")]
    #[from(ignore)]
    WrongToken {
        /// What belongs here.
        expected: String,
        /// What came.
        found: String,
    },
}
