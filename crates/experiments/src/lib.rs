//! Compares the decisions of daemons with baselines in a simulation with virtual time. Not shipped.
//!
//! Engines are the batch model of the fakes; daemons run the same decision code as the real daemon.
//! For one seed, every policy gets the same arrivals.
//!
//! * [`workload`] — deployments and the requests that they receive.
//! * [`policy`] — the baselines and the admission of the daemon.
//! * [`run`] — the simulation of one run with one policy.
//! * [`capacity`] — the maximum throughput of the engines.
//! * [`summary`] — measures of a run.
//! * [`limit_strategies`] — ways to enforce an organisation's limit over all daemons.
//! * [`tables`] — the tables of docs/MEASUREMENTS.md.
//! * [`plot`] — plots of the table `load`.

pub mod capacity;
mod engines;
pub mod limit_strategies;
pub mod plot;
pub mod policy;
pub mod run;
pub mod summary;
pub mod tables;
pub mod workload;
