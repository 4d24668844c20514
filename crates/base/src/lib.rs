//! Small types that every crate of comfreymast shares. No I/O happens here.
//!
//! * [`clock`] — [`Clock`], the only source of time, in milliseconds.
//! * [`names`] — shared immutable names such as [`Organisation`] and [`Upstream`].
//! * [`ids`] — random identifiers such as [`GenerationId`] and [`OperationId`].
//! * [`hex`] — bytes as lower-case hexadecimal text.

mod clock;
pub mod hex;
mod ids;
mod names;

pub use clock::Clock;
pub use ids::{GenerationId, OperationId, ParseIdError};
pub use names::{DaemonName, DataCentre, Kind, Model, Organisation, Service, Upstream};
