//! The operators' port: health, metrics, status and contracts, as JSON.
//!
//! `GET /healthz` and `GET /readyz` answer anybody; everything else wants the operator key.

mod contracts;
pub(crate) mod front;
mod publish;
mod quarantine;
mod replies;

pub use replies::{
    ContractSummary, ContractView, OperatorError, PublishReply, QuarantineView, RevisionView,
    StatusReply,
};
