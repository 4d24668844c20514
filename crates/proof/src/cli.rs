use std::net::SocketAddr;
use std::process::Command;

use crate::fleet::OPERATOR_KEY;
use crate::process::{ProofError, program};

/// The `comfreymast` command against one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Cli {
    /// The operators' port of the daemon.
    pub operators: SocketAddr,
}

/// The result of one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliOutput {
    /// Its exit code.
    pub code: i32,
    /// Its standard output.
    pub stdout: String,
    /// Its standard error.
    pub stderr: String,
}

impl Cli {
    /// Runs `comfreymast ARGS…`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] when the program cannot be started.
    pub fn run(&self, args: &[&str]) -> Result<CliOutput, ProofError> {
        let output = Command::new(program("comfreymast"))
            .args(args)
            .env("COMFREYMAST_OPERATORS", self.operators.to_string())
            .env("COMFREYMAST_OPERATOR_KEY", OPERATOR_KEY)
            .output()?;
        Ok(CliOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        })
    }
}
