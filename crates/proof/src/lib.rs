//! Proofs: real processes, real sockets, faults on demand, and checks of what clients saw.
//!
//! Nothing here is shipped.
//!
//! * [`Process`] — one started process, ended with its handle.
//! * [`Fleet`] — a log, a VM list, daemons, engines and plain servers on ports from the system.
//! * [`Client`] — a caller that reads streams event by event.
//! * [`Cli`] — the `comfreymast` command against one daemon.
//! * [`Operator`] — an operator that calls the operators' ports directly.
//! * [`contract_register`] — checks contracts as a compare-and-set register.

mod cli;
mod client;
pub mod contract_register;
mod fleet;
mod operator;
mod process;

pub use cli::{Cli, CliOutput};
pub use client::{Answer, Client, Reader, SseEvent};
pub use fleet::{DaemonProcess, FLEET_KEY, Fleet, FleetOptions, OPERATOR_KEY, UpstreamProcess};
pub use operator::{Change, Operator};
pub use process::{Process, ProofError, program};
