use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::failure::Failure;
use crate::flags::Explain;
use crate::output::write_line;

/// Changes of state up to this long before a request's last line are shown, as they may have
/// affected it.
const CONTEXT_MS: u64 = 10_000;
/// Codes of lines about a daemon's view of itself, the store and upstreams.
const STATE_CODES: std::ops::Range<u64> = 1_000..1_400;
/// Codes within [`STATE_CODES`] that concern a single request.
const REQUEST_CODES: std::ops::Range<u64> = 1_100..1_200;

/// One JSON line of a daemon's log.
struct Line {
    ts_ms: u64,
    source: String,
    fields: Value,
}

/// Runs `comfreymast explain`.
pub(crate) fn run(explain: &Explain) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in &explain.log {
        lines.extend(read_lines(path)?);
    }
    lines.sort_by_key(|line| line.ts_ms);
    let timeline = timeline(&lines, &explain.request);
    if timeline.is_empty() {
        return Err(Failure::NoLogLines { request: explain.request.clone() });
    }
    for line in timeline {
        write_line(&format_line(line))?;
    }
    Ok(())
}

/// Reads the JSON lines of a file. Log collectors put the daemon's name before the JSON; without
/// such a prefix, the file's name is the daemon's.
fn read_lines(path: &Path) -> Result<Vec<Line>, Failure> {
    let read_failure = |source| Failure::ReadFile { path: PathBuf::from(path), source };
    let text = std::fs::read(path).map_err(read_failure)?;
    let text = String::from_utf8_lossy(&text);
    let lines = text.lines().filter_map(|line| {
        let (prefix, json) = line.split_at(line.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let source =
            prefix.split_whitespace().last().map_or_else(|| file_stem(path), str::to_owned);
        Some(Line { ts_ms: fields["ts_ms"].as_u64()?, source, fields })
    });
    Ok(lines.collect())
}

fn file_stem(path: &Path) -> String {
    path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

/// Selects the lines of a request, and the changes of state that its daemons logged shortly before
/// the request's last line.
fn timeline<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let is_own = |line: &Line| line.fields["request"].as_str() == Some(request);
    let own: Vec<_> = lines.iter().filter(|line| is_own(line)).collect();
    let Some(last) = own.last() else { return Vec::new() };
    let context = last.ts_ms.saturating_sub(CONTEXT_MS)..=last.ts_ms;
    let is_context = |line: &Line| {
        let code = line.fields["code"].as_u64().unwrap_or(0);
        context.contains(&line.ts_ms)
            && STATE_CODES.contains(&code)
            && !REQUEST_CODES.contains(&code)
            && own.iter().any(|own| own.source == line.source)
    };
    lines.iter().filter(|line| is_own(line) || is_context(line)).collect()
}

fn format_line(line: &Line) -> String {
    let omitted = ["ts_ms", "level", "msg", "code", "request"];
    let fields = line.fields.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| !omitted.contains(&name.as_str()));
    let fields: Vec<_> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    let marker = if line.fields["request"].is_string() { '*' } else { ' ' };
    let code = line.fields["code"].as_u64().unwrap_or(0);
    let msg = line.fields["msg"].as_str().unwrap_or_default();
    format!("{marker} {} {} {code:04} {msg}: {}", line.ts_ms, line.source, fields.join(" "))
}
