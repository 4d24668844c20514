//! Proofs: real processes, real sockets, faults on demand, and checks of what clients saw.
//!
//! Nothing here is shipped.
//!
//! * [`Process`] — one started process, ended with its handle.
//! * [`Fleet`] — a log, a VM list, daemons, engines and plain servers on ports from the system.
//! * [`Client`] — a caller that reads streams event by event.
//! * [`RecordedClient`] — a caller whose requests and answers go to the fleet's history.
//! * [`Http2`] — one HTTP/2 connection of a caller.
//! * [`Reading`] — a caller who comes back where a stream broke, and writes down what it saw.
//! * [`Link`] — a TCP link whose connections go silent or are cut.
//! * [`checks`] — checks of merged histories.
//! * [`contract`] — a contract document.
//! * [`Cli`] — the `comfreymast` command against one daemon.
//! * [`Operator`] — an operator that calls the operators' ports directly.
//! * [`contract_register`] — checks contracts as a compare-and-set register.

pub mod checks;
mod cli;
mod client;
pub mod contract_register;
mod documents;
mod fleet;
mod http2;
mod link;
mod operator;
mod process;
mod reading;
mod recorded_client;

pub use cli::{Cli, CliOutput};
pub use client::{Answer, Client, Reader, SseEvent};
pub use documents::contract;
pub use fleet::{DaemonProcess, FLEET_KEY, Fleet, FleetOptions, OPERATOR_KEY, UpstreamProcess};
pub use http2::Http2;
pub use link::{Link, Way};
pub use operator::{Change, Operator};
pub use process::{Process, ProofError, program};
pub use reading::{ComeBack, Reading, StreamEnd};
pub use recorded_client::{Recorded, RecordedClient};
