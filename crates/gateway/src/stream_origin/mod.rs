//! Which service and software version began a stream that its caller takes up again.
//!
//! * [`record_origin`] — remembers it here and tells a few daemons, before the caller gets an event.
//! * [`destination`] — where a request may run, asking those daemons if need be.
//! * [`handle_origin`], [`handle_query`], [`handle_reply`] — messages of peers about it.
//! * [`keep_stored`] — writes origins to the store, for streams that outlive all daemons, and reads them.
//! * [`OriginState`] — what this daemon knows.

mod destination;
mod lookup;
mod messages;
mod state;
mod store_log;

pub(crate) use destination::{Destination, destination};
pub(crate) use messages::{handle_origin, handle_query, handle_reply, record_origin};
pub(crate) use state::OriginState;
pub(crate) use store_log::keep_stored;
