//! Signals to processes that a case has started.

use std::io::{Error, Result};
use std::process::{Child, Command};

/// Sends a signal, such as `STOP`.
pub fn signal(process: &Child, name: &str) -> Result<()> {
    let command = format!("kill -{name} {}", process.id());
    let status = Command::new("sh").args(["-c", &command]).status()?;
    if status.success() { Ok(()) } else { Err(Error::other(command)) }
}
