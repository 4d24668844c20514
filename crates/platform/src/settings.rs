use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use comfreymast_base::{DaemonName, DataCentre};
use derive_more::{Display, Error, From};
use serde::Deserialize;

/// The variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "COMFREYMAST_SETTINGS";

/// The path of the settings file, if the platform names one.
#[must_use]
pub fn settings_path() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)
}

/// Why the settings of a VM cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read the settings: {_0}")]
    Read(std::io::Error),
    /// The file does not decode, or lacks a field.
    #[display("the settings do not decode: {_0}")]
    Decode(serde_json::Error),
    /// No port is free for daemons to talk on.
    #[display("the settings leave no port for other daemons")]
    NoPeerPort,
}

/// What the platform tells a process about its VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// The VM's name.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers_addr: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready_addr: SocketAddr,
    /// Where other daemons and scrapers of metrics connect.
    pub peers_addr: SocketAddr,
    /// The platform's store.
    pub store_addr: SocketAddr,
    /// Where other daemons may listen for their peers; these may be old or down.
    pub seed_addrs: Vec<SocketAddr>,
    /// How long the VM waits between SIGTERM and SIGKILL.
    pub grace_ms: u64,
    /// The share of a service's requests that may be repeated, over all daemons.
    pub retry_ratio: f64,
    /// Repeats allowed on top of that in each window.
    pub retry_slack: f64,
    /// The window of the retry budget.
    pub retry_window_ms: u64,
}

impl VmSettings {
    /// Reads the file at `path`. Fields that it has beyond ours are left alone.
    ///
    /// # Errors
    ///
    /// Any [`SettingsError`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::decode(&std::fs::read(path)?)
    }

    /// Decodes the settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Decode`] or [`SettingsError::NoPeerPort`].
    pub fn decode(bytes: &[u8]) -> Result<Self, SettingsError> {
        let file: SettingsFile = serde_json::from_slice(bytes)?;
        let peer_port = *file.port_range.first().ok_or(SettingsError::NoPeerPort)?;
        Ok(Self {
            name: DaemonName::from(file.node),
            data_centre: DataCentre::from(file.zone),
            callers_addr: file.listen.front,
            ready_addr: file.listen.ready,
            peers_addr: SocketAddr::new(file.ip, peer_port),
            store_addr: file.platform.address,
            seed_addrs: seed_addrs(&file.seeds, peer_port),
            grace_ms: seconds_to_ms(file.bounds.grace_s),
            retry_ratio: file.bounds.retry_budget_ratio,
            retry_slack: file.bounds.budget_slack,
            retry_window_ms: seconds_to_ms(file.bounds.budget_window_s),
        })
    }
}

/// Daemons use the same port on every VM, so a seed's own port, which is another's, is left out.
fn seed_addrs(seeds: &[String], peer_port: u16) -> Vec<SocketAddr> {
    let seeds = seeds.iter().filter_map(|seed| seed.parse::<SocketAddr>().ok());
    seeds.map(|seed| SocketAddr::new(seed.ip(), peer_port)).collect()
}

fn seconds_to_ms(seconds: f64) -> u64 {
    const MS_PER_S: f64 = 1_000.0;
    (seconds * MS_PER_S) as u64
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsFile {
    node: String,
    ip: IpAddr,
    zone: String,
    listen: ListenFields,
    port_range: Vec<u16>,
    platform: PlatformFields,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    bounds: BoundsFields,
}

#[derive(Deserialize)]
struct ListenFields {
    front: SocketAddr,
    ready: SocketAddr,
}

#[derive(Deserialize)]
struct PlatformFields {
    address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct BoundsFields {
    grace_s: f64,
    retry_budget_ratio: f64,
    budget_slack: f64,
    budget_window_s: f64,
}

impl Default for BoundsFields {
    fn default() -> Self {
        Self { grace_s: 8.0, retry_budget_ratio: 0.1, budget_slack: 0.0, budget_window_s: 10.0 }
    }
}
