use std::net::SocketAddr;

use comfreymast_base::{DataCentre, Model, Service};
use serde::{Deserialize, Serialize};

/// One entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name, unique while it lives.
    pub name: String,
    /// What runs on it.
    pub role: VmRole,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Where callers' requests go: a daemon's caller port, or an upstream's only port.
    pub addr: SocketAddr,
    /// A daemon's port for peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers_addr: Option<SocketAddr>,
    /// A daemon's port for operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators_addr: Option<SocketAddr>,
    /// The models an engine has loaded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Model>,
    /// The service a plain server belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Service>,
    /// Whether it stays.
    pub state: VmState,
}

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// A comfreymast daemon.
    Daemon,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to go: it gets no new work.
    Leaving,
}
