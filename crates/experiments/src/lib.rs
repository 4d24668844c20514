//! Measures the decisions of daemons against baselines, in virtual time. Not shipped.
//!
//! Engines are the fakes' pure batches; daemons are the pure decisions that the real daemon runs.
//! Every policy gets the same arrivals of the same seed.
//!
//! * [`workload`] — who asks for what, and when.
//! * [`policy`] — the baselines and the admission of the daemon.
//! * [`run`] — one run of one policy.
//! * [`capacity`] — what the engines can carry.
//! * [`summary`] — what readers saw.
//! * [`tables`] — the tables of docs/MEASUREMENTS.md.
//! * [`plot`] — the same as pictures.

pub mod capacity;
mod engines;
pub mod plot;
pub mod policy;
pub mod run;
pub mod summary;
pub mod tables;
pub mod workload;
