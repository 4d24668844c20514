use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use comfreymast_check::{
    Difference, Finding, RegisteredUpstream, Severity, Surroundings, check, differences,
};
use comfreymast_net::Spawner;
use comfreymast_platform::{KeyedRecord, StoreClient, StoreError, Topic, decode_upstream};
use serde::{Deserialize, Serialize};

use crate::failure::Failure;
use crate::flags::Check;
use crate::output::{Format, write_line};

const THREADS: usize = 1;
const CONFIGURATION_KEY: &str = "config";
const WARNINGS: u8 = 1;
const ERRORS: u8 = 2;
/// The exit code if the document cannot be read or compared.
pub(crate) const NOT_CHECKED: u8 = ERRORS;
const BYTES_PER_MB: u64 = 1_000_000;

/// What a check found.
#[derive(Debug, Serialize)]
struct Report {
    valid: bool,
    findings: Vec<Finding>,
    /// What changes from the version in force; absent if it is not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    differences: Option<Vec<Difference>>,
}

/// What is in the store.
#[derive(Default)]
struct Stored {
    /// The version in force; `None` if there is none.
    configuration: Option<Vec<u8>>,
    upstreams: Vec<RegisteredUpstream>,
}

/// The part of a VM's settings that says where data centres are.
#[derive(Deserialize)]
struct RegionFields {
    #[serde(default)]
    zones: BTreeMap<String, String>,
}

/// Runs `comfreymast check`. It reads files and the store, and writes to standard output alone.
pub(crate) fn run(flags: &Check, format: Format) -> Result<ExitCode, Failure> {
    let document = read_file(&flags.file)?;
    let stored = flags.store.as_deref().map(read_store).transpose()?;
    let mut surroundings = Surroundings::default();
    if let Some(memory_mb) = flags.memory_mb {
        surroundings.memory_bytes = memory_mb.saturating_mul(BYTES_PER_MB);
    }
    if let Some(path) = &flags.settings {
        let fields: RegionFields = serde_json::from_slice(&read_file(path)?)?;
        surroundings.regions = fields.zones;
    }
    let in_force = match (&flags.against, &stored) {
        (Some(_), Some(_)) => {
            let rule = "cannot be given beside --store";
            return Err(Failure::Usage { flag: "--against", rule });
        }
        (Some(path), None) => Some(read_file(path)?),
        (None, Some(stored)) => stored.configuration.clone(),
        (None, None) => None,
    };
    surroundings.upstreams = stored.map(|stored| stored.upstreams);
    let mut findings = check(&document, &surroundings);
    let is_readable = !findings.iter().any(|finding| finding.code == "rejected");
    let found = in_force.filter(|_| is_readable).map(|before| differences(&before, &document));
    let differences = match found.transpose() {
        Ok(differences) => differences,
        Err(rejected) => {
            findings.push(unreadable_version(&rejected));
            None
        }
    };
    findings.extend(differences.iter().flatten().filter_map(ignored_version));
    let is_valid = !findings.iter().any(|finding| finding.severity == Severity::Error);
    let exit_code = match (is_valid, findings.is_empty()) {
        (false, _) => ExitCode::from(ERRORS),
        (true, false) if flags.deny_warnings => ExitCode::from(WARNINGS),
        (true, _) => ExitCode::SUCCESS,
    };
    let report = Report { valid: is_valid, findings, differences };
    match if flags.json { Format::Json } else { format } {
        Format::Json => write_line(&serde_json::to_string_pretty(&report)?)?,
        Format::Table => print_text(&flags.file, &report)?,
    }
    Ok(exit_code)
}

/// Daemons go on with the version in force whatever happens to what it is compared with.
fn unreadable_version(rejected: &Finding) -> Finding {
    Finding {
        severity: Severity::Warning,
        code: "no-version-in-force",
        location: String::new(),
        line: None,
        message: format!("the version in force cannot be compared: {}", rejected.message),
    }
}

/// A document whose version is not higher is ignored by daemons.
fn ignored_version(difference: &Difference) -> Option<Finding> {
    (difference.code == "version-not-higher").then(|| Finding {
        severity: Severity::Error,
        code: difference.code,
        location: difference.subject.clone(),
        line: None,
        message: difference.message.clone(),
    })
}

fn read_file(path: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).map_err(|source| Failure::ReadFile { path: path.to_owned(), source })
}

/// Reads the configuration in force and the entries of upstreams.
fn read_store(addr: &str) -> Result<Stored, Failure> {
    let rule = "must be IP:PORT";
    let addr: SocketAddr = addr.parse().map_err(|_| Failure::Usage { flag: "--store", rule })?;
    let read = async |spawner| {
        let mut store = StoreClient::new(spawner, addr);
        let operators = newest(&mut store, Topic::Operators).await?;
        let upstreams = newest(&mut store, Topic::Upstreams).await?;
        Ok::<_, StoreError>((operators, upstreams))
    };
    let (operators, upstreams) = Spawner::run(THREADS, read).map_err(Failure::Store)?;
    let configuration = operators.into_iter().find(|record| record.key == CONFIGURATION_KEY);
    Ok(Stored {
        configuration: configuration.and_then(|record| record.value).map(|value| value.to_vec()),
        upstreams: upstreams.iter().filter_map(registered).collect(),
    })
}

/// The newest records of a topic; none if nothing was ever written to it.
async fn newest(store: &mut StoreClient, topic: Topic) -> Result<Vec<KeyedRecord>, StoreError> {
    match store.newest(topic).await {
        Ok(newest) => Ok(newest.records),
        Err(StoreError::NoTopic { .. }) => Ok(Vec::new()),
        Err(error) => Err(error),
    }
}

fn registered(record: &KeyedRecord) -> Option<RegisteredUpstream> {
    let entry = decode_upstream(&record.key, record.value.as_ref()?).ok()?;
    Some(RegisteredUpstream {
        service: entry.service.as_str().to_owned(),
        data_centre: entry.data_centre.as_str().to_owned(),
    })
}

fn print_text(path: &Path, report: &Report) -> Result<(), Failure> {
    for finding in &report.findings {
        let severity = match finding.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        let line = finding.line.map(|line| format!(":{line}")).unwrap_or_default();
        let location = match finding.location.as_str() {
            "" => String::new(),
            location => format!(" {location}:"),
        };
        let Finding { code, message, .. } = finding;
        write_line(&format!("{}{line}: {severity}[{code}]:{location} {message}", path.display()))?;
    }
    for Difference { subject, message, .. } in report.differences.iter().flatten() {
        write_line(&format!("change: {subject}: {message}"))?;
    }
    if report.findings.is_empty() {
        write_line("the document is sound")?;
    }
    Ok(())
}
