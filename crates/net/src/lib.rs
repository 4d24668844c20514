//! Executor threads, timers and HTTP over `async-net`.
//!
//! A thin layer over `async-executor`, `async-io`, `hyper` and `smol-hyper`.
//!
//! * [`Spawner`] — a cheaply cloned handle that spawns tasks on the process's executor threads.
//! * [`within`] — a timeout for one future; [`IdleTimeout`] — one for each of many short waits.
//! * [`Body`] — the body type of all requests and responses, buffered or streamed.
//! * [`ResponseBody`] — a response body that tells its marked end from a closed connection;
//!   [`BodyFraming`] — how that end is marked.
//! * [`ReceivedBody`] — the body of a response as the client received it; [`BoundedStream`] — a stream
//!   that holds up nobody, however fast bytes arrive.
//! * [`RequestBodies`] — reads bodies of requests within one budget of memory.
//! * [`serve`] — an HTTP/1.1 and HTTP/2 server with graceful shutdown.
//! * [`Connections`] — limits the open connections of a server; [`RequestProgress`] — tells it how far a request
//!   is; [`limit_receive_buffer`] — limits what the kernel holds of them.
//! * [`dial`] — opens a client connection; [`call`] — sends one request on a new one.
//! * [`OwnedConnection`] — a client connection that closes when it is dropped.
//! * [`request`] — builds a request with its `host` header; [`Query`] — query parameters.

mod body;
mod bounded_stream;
mod client;
mod connections;
mod first_bytes;
mod framing;
mod idle;
mod owned;
mod query;
mod receive_buffer;
mod received_body;
mod request_body;
mod response_body;
mod server;
mod sliced_body;
mod spawner;
mod timeout;

pub use body::{
    Body, BodyError, channel, collect, collect_while_arriving, empty, full, joined, json,
};
pub use bounded_stream::BoundedStream;
pub use client::{Connection, DialError, call, dial, request};
pub use connections::{CloseRequest, Connections, Entry, GuardedHandler, RequestProgress};
pub use framing::BodyFraming;
pub use idle::IdleTimeout;
pub use owned::{OpenError, OwnedConnection, SendError, enable_keepalive};
pub use query::Query;
pub use receive_buffer::limit_receive_buffer;
pub use received_body::ReceivedBody;
pub use request_body::{BodyOptions, RequestBodies, RequestBodyError};
pub use response_body::{BodyStep, ResponseBody};
pub use server::{Handler, ServeLimits, handler, serve};
pub use spawner::{Spawner, sleep_ms};
pub use timeout::{Elapsed, within};
