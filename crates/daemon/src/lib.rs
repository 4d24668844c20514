//! The daemon: sockets, timers and tasks around the pure crates.
//!
//! * [`Settings`] — the settings of a daemon, validated as a whole.
//! * [`run`] — runs one daemon until its stop channel closes, then drains it.
//! * [`CursorSeal`] — seals and opens the [`Cursor`] that a reader sends back to resume.
//! * [`events`] — the numbered events that a daemon logs.
//! * [`operators`] — the JSON types of the operators' port, which the command line reads.
//!
//! Requests enter at `callers::front`, contract changes at `operators::front`.

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
pub use settings::{InvalidSetting, SETTINGS, SettingSpec, Settings};
