//! The daemon: sockets, timers and tasks around the pure crates.
//!
//! * [`Settings`] — everything a daemon is told at start, checked whole.
//! * [`run`] — runs one daemon until its stop channel closes, then drains.
//! * [`CursorSeal`] — seals and opens the [`Cursor`] that a reader gives back to continue.
//! * [`events`] — the numbered events it logs.
//! * [`operators`] — the JSON of the operators' port, which the command line reads.
//!
//! Inside, a request enters at `callers::front`, a contract change at `operators::front`.

mod admission;
mod burn;
mod callers;
mod claims;
mod currency;
mod daemon;
mod directory;
pub mod events;
mod ledger_state;
mod limits;
mod load_watch;
mod log_follower;
mod metrics;
pub mod operators;
mod peers;
mod quarantine;
mod recent_entries;
mod retry_budgets;
mod settings;
mod snapshot_writer;
mod upstream;
mod vm_watch;

pub use callers::cursor::{Cursor, CursorError, CursorSeal};
pub use daemon::{Addresses, StartError, run};
pub use settings::{SETTINGS, SettingFault, SettingSpec, Settings};
