use std::path::Path;

use comfreymast_burn::{BurnRate, Report, Row};
use comfreymast_net::empty;

use crate::api::Api;
use crate::failure::Failure;
use crate::flags::{Comfreymast, ReportCmd};
use crate::output::Format;

const HEADER: [&str; 10] = [
    "ORGANISATION",
    "KIND",
    "INDICATOR",
    "BOUND_MS",
    "OBJECTIVE",
    "SHORT_BAD",
    "SHORT_BURN",
    "LONG_BAD",
    "LONG_BURN",
    "BURNING",
];

/// `comfreymast report …`.
pub(crate) fn run(flags: &Comfreymast, command: &ReportCmd, format: Format) -> Result<(), Failure> {
    match command {
        ReportCmd::Burn(burn) => print_burn(&Api::new(flags)?, burn.html.as_deref(), format),
    }
}

/// Prints the report, and fails afterwards if daemons are missing from it.
fn print_burn(api: &Api, html: Option<&Path>, format: Format) -> Result<(), Failure> {
    let reply = api.call("GET", "/burn", empty())?;
    let report: Report = serde_json::from_slice(&reply)?;
    if let Some(path) = html {
        std::fs::write(path, report.html()?)
            .map_err(|source| Failure::Write { path: path.to_owned(), source })?;
    }
    let rows: Vec<_> = report.rows.iter().map(cells).collect();
    format.print(&report, &HEADER, &rows)?;
    if report.is_complete() {
        return Ok(());
    }
    Err(Failure::Missing { missing: report.missing })
}

fn cells(row: &Row) -> Vec<String> {
    vec![
        row.key.organisation.to_string(),
        row.key.kind.to_string(),
        row.indicator.to_string(),
        row.bound_ms.map_or_else(|| "-".to_owned(), |bound_ms| bound_ms.to_string()),
        row.objective.to_string(),
        bad(row.short),
        rate(row.short),
        bad(row.long),
        rate(row.long),
        if row.is_burning() { "yes" } else { "no" }.to_owned(),
    ]
}

fn bad(burn: BurnRate) -> String {
    format!("{}/{}", burn.counts.bad, burn.counts.total)
}

fn rate(burn: BurnRate) -> String {
    burn.rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}
