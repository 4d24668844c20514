//! The operators' port: health, metrics, status and contracts, as JSON.
//!
//! `GET /healthz` and `GET /readyz` are open to anybody; all other paths require the operator key.

mod contracts;
pub(crate) mod front;
mod publish;
mod quarantine;
mod replies;

pub use replies::{
    ContractSummary, ContractView, OperatorError, PublishReply, QuarantineView, RevisionView,
    StatusReply,
};
