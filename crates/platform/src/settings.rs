use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

use comfreymast_base::{DaemonName, DataCentre, Region};
use derive_more::{Display, Error, From};
use serde::Deserialize;
use serde_json::{Map, Value};

/// The environment variable that holds the path of the settings file.
const SETTINGS_PATH_VARIABLE: &str = "COMFREYMAST_SETTINGS";

/// The path of the settings file, if the environment variable is set.
#[must_use]
pub fn settings_path() -> Option<PathBuf> {
    std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from)
}

const BYTES_PER_MB: f64 = 1_000_000.0;
const BYTES_PER_S_PER_MBPS: f64 = 125_000.0;

/// Why the settings of a VM cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read the settings: {_0}")]
    Read(std::io::Error),
    /// The file is not valid JSON, or a field is missing or has the wrong type.
    #[display("the settings do not decode: {_0}")]
    Decode(serde_json::Error),
    /// The port range is empty, so there is no port for connections between daemons.
    #[display("the settings leave no port for other daemons")]
    NoPeerPort,
}

/// The settings that the platform gives a process about its VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// The VM's name.
    pub name: DaemonName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub callers_addr: SocketAddr,
    /// The address for readiness probes of the load balancer.
    pub ready_addr: SocketAddr,
    /// The address for other daemons and for metrics scrapers.
    pub peers_addr: SocketAddr,
    /// The address of the platform's store.
    pub store_addr: SocketAddr,
    /// Addresses at which other daemons may accept peers; some may be outdated or down.
    pub seed_addrs: Vec<SocketAddr>,
    /// The time between SIGTERM and SIGKILL when the VM stops the process.
    pub grace_ms: u64,
    /// The time after an upstream announced that it leaves within which it may get new requests.
    pub leave_ms: u64,
    /// The time after the evacuation of a data centre was written within which its upstreams may still get
    /// requests; `None` if the platform states no bound.
    pub evacuation_ms: Option<u64>,
    /// The region of each data centre, as far as the platform states it.
    pub regions: BTreeMap<DataCentre, Region>,
    /// The region of this VM.
    pub own_region: Option<Region>,
    /// The share of a service's requests that may be retried, over all daemons.
    pub retry_ratio: f64,
    /// The number of retries allowed on top of that share in each window.
    pub retry_slack: f64,
    /// The length of the retry budget's window.
    pub retry_window_ms: u64,
    /// In no second may a cold upstream get more than `cold_over` times the requests that it tolerates a second, and
    /// `cold_slack` more, from all daemons together.
    pub cold_over: f64,
    /// See `cold_over`.
    pub cold_slack: f64,
    /// The memory that the process may use.
    pub memory_bytes: u64,
    /// How many descriptors the process may have open; `None` if that is not limited.
    pub max_descriptors: Option<usize>,
    /// The rate of the VM's link; `None` if it is not known.
    pub link_bytes_per_s: Option<u64>,
}

impl VmSettings {
    /// The region of a data centre; `None` if it is not known.
    #[must_use]
    pub fn region_of(&self, data_centre: &DataCentre) -> Option<&Region> {
        let own = self.own_region.as_ref().filter(|_| *data_centre == self.data_centre);
        self.regions.get(data_centre).or(own)
    }

    /// Reads the file at `path`. Unknown fields are ignored.
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
            leave_ms: file.bounds.drain_ms as u64,
            evacuation_ms: file.bounds.evac_ms.map(|ms| ms as u64),
            regions: regions(&file.zones),
            own_region: file.region.as_str().map(Region::from),
            retry_ratio: file.bounds.retry_budget_ratio,
            retry_slack: file.bounds.budget_slack,
            retry_window_ms: seconds_to_ms(file.bounds.budget_window_s),
            cold_over: file.bounds.cold_over,
            cold_slack: file.bounds.cold_slack,
            memory_bytes: (file.limits.memory_mb * BYTES_PER_MB) as u64,
            max_descriptors: file.limits.max_fds,
            link_bytes_per_s: file
                .limits
                .link_mbps
                .map(|mbps| (mbps * BYTES_PER_S_PER_MBPS) as u64),
        })
    }
}

/// Daemons use the same peer port on every VM. The port in a seed belongs to another process and is
/// replaced.
fn seed_addrs(seeds: &[String], peer_port: u16) -> Vec<SocketAddr> {
    let seeds = seeds.iter().filter_map(|seed| seed.parse::<SocketAddr>().ok());
    seeds.map(|seed| SocketAddr::new(seed.ip(), peer_port)).collect()
}

/// The regions of data centres. An entry that names no region is left out, so that its data centre counts as
/// one of unknown region.
fn regions(zones: &Value) -> BTreeMap<DataCentre, Region> {
    let named = zones.as_object().into_iter().flat_map(Map::iter);
    let named = named.filter_map(|(zone, region)| Some((zone.as_str(), region.as_str()?)));
    named.map(|(zone, region)| (DataCentre::from(zone), Region::from(region))).collect()
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
    /// Any other form than the expected one counts as absent.
    #[serde(default)]
    region: Value,
    #[serde(default)]
    zones: Value,
    listen: ListenFields,
    port_range: Vec<u16>,
    platform: PlatformFields,
    #[serde(default)]
    seeds: Vec<String>,
    #[serde(default)]
    bounds: BoundsFields,
    #[serde(default)]
    limits: LimitsFields,
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
struct LimitsFields {
    memory_mb: f64,
    max_fds: Option<usize>,
    link_mbps: Option<f64>,
}

impl Default for LimitsFields {
    fn default() -> Self {
        Self { memory_mb: 512.0, max_fds: None, link_mbps: None }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct BoundsFields {
    grace_s: f64,
    drain_ms: f64,
    evac_ms: Option<f64>,
    retry_budget_ratio: f64,
    budget_slack: f64,
    budget_window_s: f64,
    cold_over: f64,
    cold_slack: f64,
}

impl Default for BoundsFields {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            drain_ms: 2_000.0,
            evac_ms: None,
            retry_budget_ratio: 0.1,
            budget_slack: 0.0,
            budget_window_s: 10.0,
            cold_over: 1.5,
            cold_slack: 5.0,
        }
    }
}
