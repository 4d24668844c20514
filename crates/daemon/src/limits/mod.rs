//! Enforces the limits of organisations across daemons, using the decisions of
//! [`comfreymast_decide::limits`].
//!
//! * [`Limits`] — this daemon's state as a holder and as an owner of limits.
//! * [`acquire`] — acquires a slot for one request, from the owner if this daemon has none left.
//! * [`report_usage`] — periodically reports the slots held and wanted to their owners.
//! * [`handle_report`], [`handle_grant`] — handle the two messages between holder and owner.

mod acquire;
mod exchange;
mod organisation_limit;
mod permit;
mod state;

pub(crate) use acquire::acquire;
pub(crate) use exchange::{handle_grant, handle_report, report_usage};
pub(crate) use permit::LimitPermit;
pub(crate) use state::Limits;
