use std::collections::BTreeMap;
use std::fmt::Write;

use crate::{BurnRate, PlotError, Report, Row, SeriesKey, plot};

const STYLE: &str = "body{font:15px/1.4 sans-serif;margin:2em;max-width:1200px}\
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}\
td:first-child,th:first-child{text-align:left}.burning{background:#f8d7d7}\
.missing{background:#f8d7d7;padding:.6em}figure{display:inline-block;margin:0 1em 1em 0}";

impl Report {
    /// Renders the report as one self-contained HTML page.
    ///
    /// # Errors
    ///
    /// [`PlotError`] if a plot cannot be drawn.
    pub fn html(&self) -> Result<String, PlotError> {
        let mut page = String::new();
        let _ = write!(
            page,
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Service-level burn</title><style>{STYLE}</style></head><body>\n\
             <h1>Service-level burn</h1>\n"
        );
        self.write_summary(&mut page);
        for (key, rows) in self.rows_by_key() {
            self.write_series(&mut page, key, &rows)?;
        }
        page.push_str("</body></html>\n");
        Ok(page)
    }

    fn rows_by_key(&self) -> BTreeMap<&SeriesKey, Vec<&Row>> {
        let mut by_key = BTreeMap::<_, Vec<_>>::new();
        for row in &self.rows {
            by_key.entry(&row.key).or_default().push(row);
        }
        by_key
    }

    fn write_summary(&self, page: &mut String) {
        const MS_PER_MINUTE: u64 = 60_000;
        let _ = writeln!(
            page,
            "<p>Windows of {} and {} minutes; {} daemons answered. A burn rate of 1 spends the \
             error budget exactly; a row is marked when both windows are above it.</p>",
            self.short_window_ms / MS_PER_MINUTE,
            self.long_window_ms / MS_PER_MINUTE,
            self.daemons.len(),
        );
        if !self.is_complete() {
            let missing = escape(&self.missing.join(", "));
            let _ = writeln!(
                page,
                "<p class=\"missing\">No figure holds what these daemons served: {missing}</p>"
            );
        }
    }

    fn write_series(
        &self,
        page: &mut String,
        key: &SeriesKey,
        rows: &[&Row],
    ) -> Result<(), PlotError> {
        let organisation = escape(key.organisation.as_str());
        let kind = escape(key.kind.as_str());
        let _ = writeln!(page, "<h2>{organisation}: {kind}</h2>\n<table>");
        page.push_str(
            "<tr><th>indicator</th><th>bound (ms)</th><th>objective</th><th>short: bad/all</th>\
             <th>short burn</th><th>long: bad/all</th><th>long burn</th></tr>\n",
        );
        for row in rows {
            write_row(page, row);
        }
        page.push_str("</table>\n");
        write_figure(page, "Burn rates", &plot::burn_rates(rows)?);
        for distribution in
            self.distributions.iter().filter(|distribution| distribution.key == *key)
        {
            let caption = format!("{}, {} measured", distribution.indicator, distribution.count);
            write_figure(page, &caption, &plot::distribution(distribution)?);
        }
        Ok(())
    }
}

fn write_row(page: &mut String, row: &Row) {
    let class = if row.is_burning() { " class=\"burning\"" } else { "" };
    let bound_ms = row.bound_ms.map(|bound_ms| bound_ms.to_string()).unwrap_or_default();
    let _ = write!(
        page,
        "<tr{class}><td>{}</td><td>{bound_ms}</td><td>{}</td>",
        row.indicator, row.objective
    );
    write_burn_rate(page, row.short);
    write_burn_rate(page, row.long);
    page.push_str("</tr>\n");
}

fn write_burn_rate(page: &mut String, burn: BurnRate) {
    let rate = burn.rate.map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"));
    let _ = write!(page, "<td>{}/{}</td><td>{rate}</td>", burn.counts.bad, burn.counts.total);
}

fn write_figure(page: &mut String, caption: &str, svg: &str) {
    let caption = escape(caption);
    let _ = writeln!(page, "<figure>{svg}<figcaption>{caption}</figcaption></figure>");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
