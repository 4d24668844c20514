//! What an answer proves about the request that was sent.
//!
//! Load pattern: faulty upstreams that write an earlier answer once more, late, or on a kept connection. Upstreams
//! name the request in each answer, so one that names none, or another, proves nothing: the request may be
//! running. Only a refusal that names this very request says that it has not run.
//!
//! ```
//! use comfreymast_base::NamedRequest;
//! use comfreymast_decide::answer_proof::{Proof, proof};
//!
//! assert_eq!(proof(NamedRequest::This, true), Proof::NotRun);
//! assert_eq!(proof(NamedRequest::None, true), Proof::Nothing);
//! ```

use comfreymast_base::NamedRequest;

/// What an answer proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// It is the answer to the request, which has run.
    Answered,
    /// The request has not run and will not.
    NotRun,
    /// Nothing: the request may have run, or may run later.
    Nothing,
}

/// What an answer proves that names `named`, and that may say that its request was not run.
#[must_use]
pub fn proof(named: NamedRequest, says_not_run: bool) -> Proof {
    match named {
        NamedRequest::This if says_not_run => Proof::NotRun,
        NamedRequest::This => Proof::Answered,
        NamedRequest::Other | NamedRequest::None => Proof::Nothing,
    }
}
