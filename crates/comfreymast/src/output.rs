use std::io::{ErrorKind, Write};
use std::process::ExitCode;

use serde::Serialize;

use crate::failure::Failure;

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// A table or plain text, for people.
    Table,
    /// JSON, for programs.
    Json,
}

impl Format {
    /// Parses the value of `--format`; the default is a table.
    pub(crate) fn parse(flag: Option<&str>) -> Result<Self, Failure> {
        match flag {
            None | Some("table") => Ok(Self::Table),
            Some("json") => Ok(Self::Json),
            Some(_) => Err(Failure::Usage { flag: "--format", rule: "must be table or json" }),
        }
    }

    /// Prints a message about a completed action.
    pub(crate) fn print_done(self, text: &str) -> Result<(), Failure> {
        match self {
            Self::Json => write_line(&serde_json::to_string_pretty(&Done { done: text })?),
            Self::Table => write_line(text),
        }
    }

    /// Prints the reason of a failure to standard error and returns the exit code.
    pub(crate) fn print_failure(self, failure: &Failure) -> ExitCode {
        let error = FailureView { error: failure.to_string(), exit_code: failure.exit_code() };
        match (self, serde_json::to_string_pretty(&error)) {
            (Self::Json, Ok(json)) => eprintln!("{json}"),
            _ => eprintln!("comfreymast: {failure}"),
        }
        ExitCode::from(failure.exit_code())
    }

    /// Prints `value` as JSON, or `header` and `rows` as a table.
    pub(crate) fn print(
        self,
        value: &impl Serialize,
        header: &[&str],
        rows: &[Vec<String>],
    ) -> Result<(), Failure> {
        match self {
            Self::Json => write_line(&serde_json::to_string_pretty(value)?),
            Self::Table => write_line(&format_table(header, rows)),
        }
    }
}

#[derive(Serialize)]
struct Done<'a> {
    done: &'a str,
}

#[derive(Serialize)]
struct FailureView {
    error: String,
    exit_code: u8,
}

/// Writes `text` and a line break to standard output. A broken pipe is not an error: a reader such
/// as `head` closes the pipe when it has read enough.
pub(crate) fn write_line(text: &str) -> Result<(), Failure> {
    let mut output = std::io::stdout().lock();
    match writeln!(output, "{text}").and_then(|()| output.flush()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result.map_err(Failure::Output),
    }
}

fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let row_cells = rows.iter().map(Vec::as_slice);
    let width = |column: usize| {
        let widths = row_cells.clone().filter_map(|row| row.get(column)).map(String::len);
        widths.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..header.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells.zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let header_line = line(&mut header.iter().copied());
    let lines = rows.iter().map(|row| line(&mut row.iter().map(String::as_str)));
    std::iter::once(header_line).chain(lines).collect::<Vec<_>>().join("\n")
}
