//! Stand-ins of the platform, of servers and of clients for the scripts of the review. They use the
//! standard library only, and listen on loopback addresses only.

pub mod daemon;
pub mod engine;
pub mod http;
pub mod record;
pub mod server;
pub mod store;

/// True unless the script is to run without its disruption.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The exit codes of a script.
pub const RULE_HELD: i32 = 0;
pub const RULE_BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
