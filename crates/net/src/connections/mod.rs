//! The open connections of a server, limited in number.
//!
//! * [`Connections`] — the limit, and which connection gives way to a new one.
//! * [`RequestProgress`] — tells a connection how far a request is.

mod guarded;
mod linger;
mod registry;
mod state;

pub use guarded::GuardedHandler;
pub use registry::{Connections, Entry};
pub use state::{CloseRequest, RequestProgress};
