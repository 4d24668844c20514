//! Limits of an organisation across daemons: the shell around [`comfreymast_decide::limits`].
//!
//! * [`Limits`] — what this daemon holds as a holder and as an owner.
//! * [`acquire`] — takes a slot for one request, asking the owner if there is none here.
//! * [`report_forever`] — tells owners what is held and wanted.
//! * [`take_report`], [`take_grant`] — the two messages between holder and owner.

mod acquire;
mod exchange;
mod organisation_limit;
mod permit;
mod state;

pub(crate) use acquire::acquire;
pub(crate) use exchange::{report_forever, take_grant, take_report};
pub(crate) use permit::LimitPermit;
pub(crate) use state::Limits;
