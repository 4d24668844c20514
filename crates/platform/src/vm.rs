use std::net::SocketAddr;

use comfreymast_base::{DataCentre, Model, Service};
use serde::{Deserialize, Serialize};

/// One entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name, unique as long as the VM exists.
    pub name: String,
    /// What runs on it.
    pub role: VmRole,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// The address for callers' requests: a daemon's caller port, or an upstream's only port.
    pub addr: SocketAddr,
    /// The address on which a daemon accepts its peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers_addr: Option<SocketAddr>,
    /// The address on which a daemon accepts operators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators_addr: Option<SocketAddr>,
    /// The models that an engine has loaded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Model>,
    /// The service that a plain server belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Service>,
    /// Whether it is in use or about to shut down.
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
    /// A server of a plain service.
    Service,
}

/// Whether a VM is in use or about to shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to shut down: it gets no new work.
    Leaving,
}
