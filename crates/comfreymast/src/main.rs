//! The one binary: a daemon, and the operators' commands beside it.

mod api;
mod contract;
mod daemon;
mod failure;
mod flags;
mod fleet;
mod output;

use std::process::ExitCode;

use flags::{Comfreymast, ComfreymastCmd};

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("--version") {
        println!("comfreymast {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = Comfreymast::from_env_or_exit();
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("comfreymast: {failure}");
            failure.exit_code()
        }
    }
}

fn run(flags: Comfreymast) -> Result<(), failure::Failure> {
    let output = output::Format::parse(flags.format.as_deref())?;
    match &flags.subcommand {
        ComfreymastCmd::Daemon(daemon) => daemon::run(&flags, daemon),
        ComfreymastCmd::Contract(command) => contract::run(&flags, &command.subcommand, output),
        ComfreymastCmd::Status(_) => fleet::status(&flags, output),
        ComfreymastCmd::Drain(_) => fleet::drain(&flags),
        ComfreymastCmd::Config(_) => fleet::config(output),
    }
}
