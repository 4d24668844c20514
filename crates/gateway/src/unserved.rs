use derive_more::From;

use crate::call_error::CallError;

/// Why this daemon did not serve a call.
#[derive(Debug, From)]
pub(crate) enum Unserved {
    /// The answer to the caller, since nobody else would do better.
    Error(CallError),
    /// No upstream was reached, so a peer that reaches some may serve it.
    #[from(ignore)]
    Unreached {
        /// Upstreams that may have run the call before.
        runs: u32,
    },
}
