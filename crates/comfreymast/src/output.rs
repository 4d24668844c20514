use std::io::{ErrorKind, Write};
use std::process::ExitCode;

use serde::Serialize;

use crate::failure::Failure;

/// How a command prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// For people.
    Table,
    /// For programs.
    Json,
}

impl Format {
    /// Reads `--format`.
    pub(crate) fn parse(flag: Option<&str>) -> Result<Self, Failure> {
        match flag {
            None | Some("table") => Ok(Self::Table),
            Some("json") => Ok(Self::Json),
            Some(_) => Err(Failure::Usage { flag: "--format", rule: "must be table or json" }),
        }
    }

    /// Prints that something was done.
    pub(crate) fn print_done(self, text: &str) -> Result<(), Failure> {
        match self {
            Self::Json => write_line(&serde_json::to_string_pretty(&Done { done: text })?),
            Self::Table => write_line(text),
        }
    }

    /// Prints why a command failed to standard error and returns its exit code.
    pub(crate) fn print_failure(self, failure: &Failure) -> ExitCode {
        let error = FailureView { error: failure.to_string(), exit_code: failure.code() };
        match (self, serde_json::to_string_pretty(&error)) {
            (Self::Json, Ok(json)) => eprintln!("{json}"),
            _ => eprintln!("comfreymast: {failure}"),
        }
        ExitCode::from(failure.code())
    }

    /// Prints `value`: as JSON, or as the table made of `header` and `rows`.
    pub(crate) fn print(
        self,
        value: &impl Serialize,
        header: &[&str],
        rows: &[Vec<String>],
    ) -> Result<(), Failure> {
        match self {
            Self::Json => write_line(&serde_json::to_string_pretty(value)?),
            Self::Table => write_line(&table(header, rows)),
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

/// Writes one text to standard output. A reader that has closed it, such as `head`, wants no more.
pub(crate) fn write_line(text: &str) -> Result<(), Failure> {
    let mut output = std::io::stdout().lock();
    match writeln!(output, "{text}").and_then(|()| output.flush()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written.map_err(Failure::Output),
    }
}

fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let cells = rows.iter().map(Vec::as_slice);
    let width = |column: usize| {
        let widths = cells.clone().filter_map(|row| row.get(column)).map(String::len);
        widths.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..header.len()).map(width).collect();
    let line = |texts: &mut dyn Iterator<Item = &str>| {
        let padded = texts.zip(&widths).map(|(text, width)| format!("{text:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let first = line(&mut header.iter().copied());
    let rest = rows.iter().map(|row| line(&mut row.iter().map(String::as_str)));
    std::iter::once(first).chain(rest).collect::<Vec<_>>().join("\n")
}
