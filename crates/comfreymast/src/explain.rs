use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::failure::Failure;
use crate::flags::Explain;
use crate::output::write_line;

/// How long before a request's last line changes of belief may have mattered to it.
const CONTEXT_MS: u64 = 10_000;
/// Codes of lines that tell what a daemon believes of itself, the store and upstreams.
const BELIEF_CODES: std::ops::Range<u64> = 1_000..1_400;
/// Codes of lines about requests, which are in this range but tell of one request only.
const REQUEST_CODES: std::ops::Range<u64> = 1_100..1_200;

/// One line of a daemon's log.
struct Line {
    ts_ms: u64,
    source: String,
    fields: Value,
}

/// `comfreymast explain`.
pub(crate) fn run(explain: &Explain) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in &explain.log {
        lines.extend(read(path)?);
    }
    lines.sort_by_key(|line| line.ts_ms);
    let story = story(&lines, &explain.request);
    if story.is_empty() {
        return Err(Failure::NoLines { request: explain.request.clone() });
    }
    for line in story {
        write_line(&shown(line))?;
    }
    Ok(())
}

/// Reads the lines of JSON in a file. What stands before the JSON, as log collectors put it, names
/// the daemon; else the file does.
fn read(path: &Path) -> Result<Vec<Line>, Failure> {
    let file = |source| Failure::File { path: PathBuf::from(path), source };
    let text = std::fs::read(path).map_err(file)?;
    let text = String::from_utf8_lossy(&text);
    let lines = text.lines().filter_map(|line| {
        let (before, json) = line.split_at(line.find('{')?);
        let fields: Value = serde_json::from_str(json).ok()?;
        let source = before.split_whitespace().last().map_or_else(|| name(path), str::to_owned);
        Some(Line { ts_ms: fields["ts_ms"].as_u64()?, source, fields })
    });
    Ok(lines.collect())
}

fn name(path: &Path) -> String {
    path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

/// The lines of a request, and what its daemons came to believe shortly before its last one.
fn story<'a>(lines: &'a [Line], request: &str) -> Vec<&'a Line> {
    let is_own = |line: &Line| line.fields["request"].as_str() == Some(request);
    let own: Vec<_> = lines.iter().filter(|line| is_own(line)).collect();
    let Some(last) = own.last() else { return Vec::new() };
    let context = last.ts_ms.saturating_sub(CONTEXT_MS)..=last.ts_ms;
    let is_context = |line: &Line| {
        let code = line.fields["code"].as_u64().unwrap_or(0);
        context.contains(&line.ts_ms)
            && BELIEF_CODES.contains(&code)
            && !REQUEST_CODES.contains(&code)
            && own.iter().any(|own| own.source == line.source)
    };
    lines.iter().filter(|line| is_own(line) || is_context(line)).collect()
}

fn shown(line: &Line) -> String {
    let hidden = ["ts_ms", "level", "msg", "code", "request"];
    let fields = line.fields.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| !hidden.contains(&name.as_str()));
    let fields: Vec<_> = fields.map(|(name, value)| format!("{name}={value}")).collect();
    let mark = if line.fields["request"].is_string() { '*' } else { ' ' };
    let code = line.fields["code"].as_u64().unwrap_or(0);
    let msg = line.fields["msg"].as_str().unwrap_or_default();
    format!("{mark} {} {} {code:04} {msg}: {}", line.ts_ms, line.source, fields.join(" "))
}
