//! Proofs: real processes, real sockets, faults on demand, and checks of what clients saw.
//!
//! Nothing here is shipped.
//!
//! * [`Process`] — one started process, ended with its handle.
//! * [`Fleet`] — a log, a VM list, daemons, engines and plain servers on ports from the system.
//! * [`Client`] — a caller that reads streams event by event.
//! * [`RecordedClient`] — a caller whose requests and answers go to the fleet's history.
//! * [`checks`] — what must hold of a history.
//! * [`Cli`] — the `comfreymast` command against one daemon.

pub mod checks;
mod cli;
mod client;
mod fleet;
mod process;
mod recorded_client;

pub use cli::{Cli, CliOutput};
pub use client::{Answer, Client, Reader, SseEvent};
pub use fleet::{DaemonProcess, FLEET_KEY, Fleet, FleetOptions, OPERATOR_KEY, UpstreamProcess};
pub use process::{Process, ProofError, program};
pub use recorded_client::{Recorded, RecordedClient};
