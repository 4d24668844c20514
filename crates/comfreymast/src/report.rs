use std::path::Path;

use comfreymast_burn::{BurnRate, Report, Row};
use comfreymast_net::empty;

use crate::api::ApiClient;
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

/// Runs the subcommands of `comfreymast report`.
pub(crate) fn run(flags: &Comfreymast, command: &ReportCmd, format: Format) -> Result<(), Failure> {
    match command {
        ReportCmd::Burn(burn) => {
            print_burn_report(&ApiClient::new(flags)?, burn.html.as_deref(), format)
        }
    }
}

/// Prints the report; fails afterwards if daemons are missing from it.
fn print_burn_report(api: &ApiClient, html: Option<&Path>, format: Format) -> Result<(), Failure> {
    let reply = api.call("GET", "/burn", empty())?;
    let report: Report = serde_json::from_slice(&reply)?;
    if let Some(path) = html {
        std::fs::write(path, report.html()?)
            .map_err(|source| Failure::WriteFile { path: path.to_owned(), source })?;
    }
    let rows: Vec<_> = report.rows.iter().map(row_cells).collect();
    format.print(&report, &HEADER, &rows)?;
    if report.is_complete() {
        return Ok(());
    }
    Err(Failure::IncompleteReport { missing: report.missing })
}

fn row_cells(row: &Row) -> Vec<String> {
    vec![
        row.key.organisation.to_string(),
        row.key.kind.to_string(),
        row.indicator.to_string(),
        row.bound_ms.map_or_else(|| "-".to_owned(), |bound_ms| bound_ms.to_string()),
        row.objective.to_string(),
        bad_of_total(row.short),
        format_rate(row.short),
        bad_of_total(row.long),
        format_rate(row.long),
        if row.is_burning() { "yes" } else { "no" }.to_owned(),
    ]
}

fn bad_of_total(burn: BurnRate) -> String {
    format!("{}/{}", burn.counts.bad, burn.counts.total)
}

fn format_rate(burn: BurnRate) -> String {
    burn.rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}
