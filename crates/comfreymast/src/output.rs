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

    /// Prints `value`: as JSON, or as the table made of `header` and `rows`.
    pub(crate) fn print(
        self,
        value: &impl Serialize,
        header: &[&str],
        rows: &[Vec<String>],
    ) -> Result<(), Failure> {
        match self {
            Self::Json => println!("{}", serde_json::to_string_pretty(value)?),
            Self::Table => print_table(header, rows),
        }
        Ok(())
    }
}

fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let cells = rows.iter().map(Vec::as_slice);
    let width = |column: usize| {
        let widths = cells.clone().filter_map(|row| row.get(column)).map(String::len);
        widths.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..header.len()).map(width).collect();
    let line = |texts: &mut dyn Iterator<Item = &str>| {
        let padded = texts.zip(&widths).map(|(text, width)| format!("{text:<width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(&mut header.iter().copied());
    for row in rows {
        line(&mut row.iter().map(String::as_str));
    }
}
