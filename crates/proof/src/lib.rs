//! A harness for system tests: it starts real processes with real sockets, injects faults on demand
//! and checks what clients saw.
//!
//! Nothing in this crate is shipped.
//!
//! * [`Process`] — one child process, killed when its handle is dropped.
//! * [`Fleet`] — a log, a VM list, daemons, engines and plain servers on free ports.
//! * [`Client`] — a caller, which can read streams event by event.
//! * [`RecordedClient`] — a caller whose requests and answers are recorded in the fleet's history.
//! * [`Http2`] — one HTTP/2 connection of a caller.
//! * [`RecordedStream`] — a stream whose tokens are recorded, and which can resume where it broke.
//! * [`Link`] — a TCP link whose connections go silent or are cut.
//! * [`PeerNetwork`] — links of a limited rate between daemons.
//! * [`checks`] — checkers of merged histories.
//! * [`contract`] — the contract document used by most tests.
//! * [`Cli`] — the `comfreymast` command against one daemon.
//! * [`Operator`] — an operator that calls the operators' ports without the command.
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
mod peer_network;
mod process;
mod recorded_client;
mod recorded_stream;

pub use cli::{Cli, CliOutput};
pub use client::{Answer, Client, Reader, SseEvent};
pub use documents::contract;
pub use fleet::{DaemonProcess, FLEET_KEY, Fleet, FleetOptions, OPERATOR_KEY, UpstreamProcess};
pub use http2::Http2;
pub use link::{Direction, Link};
pub use operator::{Change, Operator};
pub use peer_network::{PeerNetwork, PeerPort, bind_peer_port};
pub use process::{Process, ProofError, program};
pub use recorded_client::{Recorded, RecordedClient};
pub use recorded_stream::{RecordedStream, ResumeMethod, StreamEnd};
