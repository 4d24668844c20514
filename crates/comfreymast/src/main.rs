//! The `comfreymast` binary: the daemon and the commands for operators.

mod admin;
mod api;
mod check;
mod contract;
mod daemon;
mod explain;
mod failure;
mod flags;
mod help;
mod output;
mod quarantine;
mod report;
mod serve;
mod stored_quarantine;

use std::process::ExitCode;

use flags::{Comfreymast, ComfreymastCmd};
use output::Format;

fn main() -> ExitCode {
    let args: Vec<_> =
        std::env::args_os().skip(1).map(|arg| arg.to_string_lossy().into_owned()).collect();
    if args.first().is_some_and(|arg| arg == "--version") {
        return print_text(concat!("comfreymast ", env!("CARGO_PKG_VERSION")));
    }
    if let Some(help) = help::requested_help(flags::help_text(), &args) {
        return print_text(&help);
    }
    let flags = Comfreymast::from_env_or_exit();
    let format = match Format::parse(flags.format.as_deref()) {
        Ok(format) => format,
        Err(failure) => return Format::Table.print_failure(&failure),
    };
    if let ComfreymastCmd::Check(check) = &flags.subcommand {
        let is_json = check.json;
        return check::run(check, format).unwrap_or_else(|failure| {
            let format = if is_json { Format::Json } else { format };
            format.print_failure(&failure);
            // 1 stands for warnings here.
            ExitCode::from(check::NOT_CHECKED)
        });
    }
    match run(&flags, format) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => format.print_failure(&failure),
    }
}

fn print_text(text: &str) -> ExitCode {
    match output::write_line(text) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => Format::Table.print_failure(&failure),
    }
}

fn run(flags: &Comfreymast, format: Format) -> Result<(), failure::Failure> {
    match &flags.subcommand {
        ComfreymastCmd::Daemon(daemon) => daemon::run(flags, daemon, format),
        ComfreymastCmd::Explain(explain) => explain::run(explain),
        ComfreymastCmd::Serve(serve) => serve::run(serve, format),
        ComfreymastCmd::Contract(command) => contract::run(flags, &command.subcommand, format),
        ComfreymastCmd::Status(_) => admin::status(flags, format),
        ComfreymastCmd::Drain(_) => admin::drain(flags, format),
        ComfreymastCmd::Report(command) => report::run(flags, &command.subcommand, format),
        ComfreymastCmd::Quarantine(command) => quarantine::run(flags, command, format),
        ComfreymastCmd::Config(_) => admin::config(format),
        // Its exit code tells what it found.
        ComfreymastCmd::Check(_) => Ok(()),
    }
}
