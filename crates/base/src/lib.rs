//! Small types shared by all crates of comfreymast. Does no I/O.
//!
//! * [`Clock`] — the only source of time, in milliseconds.
//! * [`Organisation`], [`Upstream`] and others — immutable names that are cheap to clone.
//! * [`GenerationId`] and [`OperationId`] — random 16-byte identifiers.
//! * [`hex`] — bytes as lower-case hexadecimal text.

mod clock;
pub mod hex;
mod ids;
mod names;

pub use clock::Clock;
pub use ids::{GenerationId, OperationId, ParseIdError};
pub use names::{DaemonName, DataCentre, Kind, Model, Organisation, Service, Upstream};
