use comfreymast_fleet::Configuration;
use comfreymast_platform::decode_configuration;
use serde_json::Value;

use crate::line_index::LineIndex;
use crate::{Finding, Severity};

/// A document that daemons can use: as it is written, and as they read it.
#[derive(Debug)]
pub(crate) struct Document {
    pub(crate) value: Value,
    pub(crate) read: Configuration,
    lines: LineIndex,
}

impl Document {
    /// Reads a document as a daemon does.
    pub(crate) fn read(bytes: &[u8]) -> Result<Self, Finding> {
        let rejected = |line, message| Finding {
            severity: Severity::Error,
            code: "rejected",
            location: String::new(),
            line,
            message,
        };
        let value: Value = serde_json::from_slice(bytes)
            .map_err(|error| rejected(Some(error.line()), format!("is no JSON: {error}")))?;
        let read = decode_configuration(bytes).map_err(|error| {
            let line = match &error {
                comfreymast_platform::ConfigurationError::Decode(error) => error.line(),
            };
            let message =
                format!("daemons reject the document and keep the version in force: {error}");
            rejected(Some(line).filter(|line| *line > 0), message)
        })?;
        Ok(Self { value, read, lines: LineIndex::new(bytes) })
    }

    /// A finding at `location`.
    pub(crate) fn finding(
        &self,
        severity: Severity,
        code: &'static str,
        location: String,
        message: String,
    ) -> Finding {
        let line = self.lines.line(&location).or(Some(1));
        Finding { severity, code, location, line, message }
    }

    /// The elements of the list `name`, with their locations.
    pub(crate) fn list<'a>(&'a self, name: &'a str) -> impl Iterator<Item = (String, &'a Value)> {
        elements(&self.value, name, String::new())
    }
}

/// The elements of the list `name` of `value`, which is at `location`, with their locations.
pub(crate) fn elements<'a>(
    value: &'a Value,
    name: &'a str,
    location: String,
) -> impl Iterator<Item = (String, &'a Value)> {
    let list = value[name].as_array().into_iter().flatten().enumerate();
    let prefix = if location.is_empty() { String::new() } else { format!("{location}.") };
    list.map(move |(index, element)| (format!("{prefix}{name}[{index}]"), element))
}

/// The text of the field `name`, empty if there is none.
pub(crate) fn text<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().unwrap_or_default()
}

/// The texts of the list `name`; `None` if there is no list.
pub(crate) fn texts<'a>(value: &'a Value, name: &str) -> Option<Vec<&'a str>> {
    Some(value[name].as_array()?.iter().filter_map(Value::as_str).collect())
}
