//! Executor threads, timers and HTTP over `async-net`.
//!
//! Everything here is thin wiring of `async-executor`, `async-io`, `hyper` and `smol-hyper`.
//!
//! * [`Spawner`] — a cheap handle that starts tasks on the process's executor threads.
//! * [`within`] — a future bounded in time; [`IdleLimit`] — many short ones.
//! * [`Body`] — the one body type, whole or streamed.
//! * [`serve`] — an HTTP/1.1 and HTTP/2 server that drains when its stop channel closes.
//! * [`dial`] — one client connection, [`call`] — one request on a fresh one.
//! * [`OwnedConnection`] — a client connection that closes when it is dropped.
//! * [`request`] — a request with its address filled in; [`Query`] — its parameters.

mod body;
mod client;
mod guarded;
mod idle;
mod owned;
mod query;
mod server;
mod spawner;
mod timeout;

pub use body::{Body, BodyError, channel, collect, empty, full, json};
pub use client::{Connection, DialError, call, dial, request};
pub use idle::IdleLimit;
pub use owned::{OpenError, OwnedConnection, SendError, probe_silence};
pub use query::Query;
pub use server::{Handler, ServeLimits, handler, serve};
pub use spawner::{Spawner, sleep_ms};
pub use timeout::{Elapsed, within};
