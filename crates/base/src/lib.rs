//! Small types shared by all crates of comfreymast. Does no I/O.
//!
//! * [`Clock`] — the only source of time, in milliseconds.
//! * [`Organisation`], [`Upstream`] and others — immutable names that are cheap to clone.
//! * [`GenerationId`] and [`OperationId`] — random 16-byte identifiers.
//! * [`EventId`] — where an event stands in its stream.
//! * [`EndMark`] — what marked the end of the body of an answer.
//! * [`NamedRequest`] — which request an answer names.
//! * [`StorePosition`] — a place in a topic of the platform's store.
//! * [`hex`] — bytes as lower-case hexadecimal text.

mod clock;
mod end_mark;
mod event_id;
pub mod hex;
mod ids;
mod named_request;
mod names;
mod store_position;

pub use clock::Clock;
pub use end_mark::EndMark;
pub use event_id::EventId;
pub use ids::{GenerationId, OperationId, ParseIdError};
pub use named_request::NamedRequest;
pub use names::{
    DaemonName, DataCentre, Kind, Model, Organisation, Region, Service, SoftwareVersion, Upstream,
};
pub use store_position::StorePosition;
