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
    /// Standard output is closed.
    #[display("cannot write: {_0}")]
    Output(std::io::Error),
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
